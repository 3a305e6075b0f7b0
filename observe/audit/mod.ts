/**
 * Audit trail, kept in segments of limited size in the platform store.
 *
 * @module
 */

export * from "./audit_trail.ts";
export * from "./follow_audit.ts";
export { readAudit } from "./read_audit.ts";
export { type AuditFilter, type AuditLine, SEGMENT_SIZE } from "./segment.ts";
export { DROPPED_KIND } from "./line_buffer.ts";
