/**
 * What the entry keeps in the platform's store.
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

/** What an entry learns from the store while it runs. */
export interface RecordHandlers {
  onConfiguration: (configuration: Configuration) => void;
  onHomes: (homes: HomesTable) => void;
  onEntries: (entries: EntryPresence[]) => void;
  /** The own lease is valid until the given time. */
  onLease: (validUntil: Milliseconds) => void;
}

/** What the store cost so far. */
export interface StoreStatistics {
  calls: Record<string, number>;
  breaker: BreakerState;
}

/** Typed access to the store. Errors are `DFL_STORE_...`. */
export interface Records {
  createClaims(claims: Claim[]): Promise<Result<ClaimResult[], StepError>>;
  settleClaim(claim: Claim): Promise<Result<Settlement, StepError>>;
  readClaim(
    fields: { team: string; key: string },
  ): Promise<Result<Claim | undefined, StepError>>;
  writeJob(job: StoredJob): Promise<Result<JobWriteResult, StepError>>;
  readJob(job: string): Promise<Result<StoredJob | undefined, StepError>>;
  listJobs(): Promise<Result<StoredJob[], StepError>>;
  readConfiguration(): Promise<
    Result<ConfigurationRecord | undefined, StepError>
  >;
  submitConfiguration(
    record: ConfigurationRecord,
  ): Promise<Result<SubmissionResult, StepError>>;
  listConfigurations(): Promise<Result<ConfigurationRecord[], StepError>>;
  writeHomes(
    homes: HomesTable,
  ): Promise<Result<HomesWriteResult, StepError>>;
  /** Follows the configuration, the homes table and the presence of entries. */
  follow(handlers: RecordHandlers): void;
  appendAudit(record: AuditRecord): void;
  readAudit(filter: AuditFilter): Promise<Result<AuditLine[], StepError>>;
  /** Calls to the store since the start by operation, and its breaker. */
  statistics(): StoreStatistics;
  /** Gives up the presence and flushes what is buffered. */
  close(): Promise<void>;
}
