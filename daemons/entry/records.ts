/**
 * Interface to the records that an entry reads and writes in the store.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { AuditFilter, AuditLine } from "@dragonflyledge/audit";
import type {
  BreakerState,
  ConfigurationRecord,
  HomesWriteResult,
  JobWriteResult,
  Settlement,
  StoredJob,
  SubmissionResult,
} from "@dragonflyledge/store";
import type {
  AuditRecord,
  Claim,
  ClaimResult,
  Configuration,
  EntryPresence,
  HomesTable,
  Milliseconds,
  StepError,
} from "@dragonflyledge/model";

/** Callbacks for changes of records that the entry follows. */
export interface RecordHandlers {
  onConfiguration: (configuration: Configuration) => void;
  onHomes: (homes: HomesTable) => void;
  onEntries: (entries: EntryPresence[]) => void;
  /** The lease of this entry has been renewed until the given time. */
  onLease: (validUntil: Milliseconds) => void;
}

/** Statistics of the calls to the store. */
export interface StoreStatistics {
  /** Number of calls since the process started, by operation. */
  calls: Record<string, number>;
  breaker: BreakerState;
}

/** Typed access to the store. Errors have a code `DFL_STORE_...`. */
export interface Records {
  /** Claims idempotency keys, and returns a result for each claim. */
  createClaims(claims: Claim[]): Promise<Result<ClaimResult[], StepError>>;
  /** Stores the outcome of a claimed request. */
  settleClaim(claim: Claim): Promise<Result<Settlement, StepError>>;
  readClaim(
    fields: { team: string; key: string },
  ): Promise<Result<Claim | undefined, StepError>>;
  /** Writes a job record if its revision is current; revision 0 creates it. */
  writeJob(job: StoredJob): Promise<Result<JobWriteResult, StepError>>;
  readJob(job: string): Promise<Result<StoredJob | undefined, StepError>>;
  listJobs(): Promise<Result<StoredJob[], StepError>>;
  readConfiguration(): Promise<
    Result<ConfigurationRecord | undefined, StepError>
  >;
  /** Stores a configuration whose version is the current one plus one. */
  submitConfiguration(
    record: ConfigurationRecord,
  ): Promise<Result<SubmissionResult, StepError>>;
  /** Returns all configuration versions, oldest first. */
  listConfigurations(): Promise<Result<ConfigurationRecord[], StepError>>;
  /** Replaces the homes table if its version is the stored one plus one. */
  writeHomes(
    homes: HomesTable,
  ): Promise<Result<HomesWriteResult, StepError>>;
  /**
   * Registers the entry, and follows the configuration, the homes table and the
   * list of live entries.
   */
  follow(handlers: RecordHandlers): void;
  /** Adds a record to the audit trail, which is written later in batches. */
  appendAudit(record: AuditRecord): void;
  readAudit(filter: AuditFilter): Promise<Result<AuditLine[], StepError>>;
  /** Returns the number of calls to the store and the state of its breaker. */
  statistics(): StoreStatistics;
  /** Ends the presence of the entry and writes buffered audit records. */
  close(): Promise<void>;
}
