/**
 * Encoding of messages as frames of limited length, and their validation.
 *
 * @module
 */

export * from "./frame.ts";
export { checkMessage } from "./message_schema.ts";
