/**
 * What the entry keeps in the platform's store.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  AuditRecord,
  Claim,
  ClaimResult,
  Configuration,
  EntryPresence,
  HomesTable,
  JobRecord,
  Milliseconds,
  StepError,
} from "@dragonflyledge/model";

/** A job record with the revision of its last change. */
export interface StoredJob {
  record: JobRecord;
  revision: number;
}

/** What became of a write of a job record. */
export type JobWrite =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: StoredJob | undefined };

/** An accepted configuration with who submitted it and when. */
export interface ConfigurationRecord {
  configuration: Configuration;
  author: string;
  /** ISO 8601. */
  accepted: string;
}

/** What became of a submitted configuration. */
export type Submission =
  | { kind: "stored" }
  | { kind: "conflict"; current: ConfigurationRecord | undefined };

/** Typed access to the store. Errors are `DFL_STORE_...`. */
export interface Records {
  createClaims(claims: Claim[]): Promise<Result<ClaimResult[], StepError>>;
  settleClaim(claim: Claim): Promise<Result<void, StepError>>;
  readClaim(
    fields: { team: string; key: string },
  ): Promise<Result<Claim | undefined, StepError>>;
  writeJob(
    fields: { record: JobRecord; revision: number },
  ): Promise<Result<JobWrite, StepError>>;
  readJob(job: string): Promise<Result<StoredJob | undefined, StepError>>;
  listJobs(): Promise<Result<StoredJob[], StepError>>;
  readConfiguration(): Promise<
    Result<ConfigurationRecord | undefined, StepError>
  >;
  submitConfiguration(
    fields: { record: ConfigurationRecord; expected: number },
  ): Promise<Result<Submission, StepError>>;
  listConfigurations(): Promise<Result<ConfigurationRecord[], StepError>>;
  writeHomes(
    homes: HomesTable,
  ): Promise<Result<"stored" | "conflict", StepError>>;
  /** Follows the configuration, the homes table and the presence of entries. */
  follow(handlers: {
    onConfiguration: (configuration: Configuration) => void;
    onHomes: (homes: HomesTable) => void;
    onEntries: (entries: EntryPresence[]) => void;
    onLease: (validUntil: Milliseconds) => void;
  }): void;
  appendAudit(record: AuditRecord): void;
  readAudit(filter: AuditFilter): Promise<Result<unknown[], StepError>>;
  /** Gives up the presence and flushes what is buffered. */
  close(): Promise<void>;
}

/** Which records of the audit trail to read; absent fields match all. */
export interface AuditFilter {
  team?: string;
  worker?: string;
  kind?: string;
  /** ISO 8601. */
  since?: string;
  /** ISO 8601. */
  until?: string;
}
