/**
 * Job records in the store. A record holds the owner, fencing epoch and state
 * of a job, and is changed by compare-and-swap.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  ErrorCode,
  type JobId,
  type JobRecord,
  JobState,
  type Milliseconds,
  StepError,
} from "@dragonflyledge/model";
import type {
  StoredValue,
  ValueWriter,
  ValueWriteResult,
} from "./value_writer.ts";

/** A job record with the revision of its last change. */
export interface StoredJob {
  record: JobRecord;
  revision: number;
}

/** Result of writing one record; a conflict carries the current record. */
export type JobWriteResult =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: StoredJob | undefined };

/** Access to job records. Errors are those of the store. */
export interface JobRecords {
  /**
   * Writes the records in one call, each if its revision is current; revision 0
   * creates the record. A lost answer is resolved for up to `timeout`.
   */
  write(
    jobs: StoredJob[],
    timeout?: Milliseconds,
  ): Promise<Result<JobWriteResult[], StepError>>;
  /** Reads one record; undefined if the job does not exist. */
  read(job: JobId): Promise<Result<StoredJob | undefined, StepError>>;
  /** Lists all records, without malformed ones. */
  list(): Promise<Result<StoredJob[], StepError>>;
}

/**
 * Creates the access to job records.
 *
 * @param fields.onMalformed receives an error for each record that `list`
 * leaves out
 */
export function createJobRecords(
  { writer, prefix, onMalformed = () => {} }: {
    writer: ValueWriter;
    prefix: string;
    onMalformed?: (error: StepError) => void;
  },
): JobRecords {
  const parent = `${prefix}jobs/`;
  const keyOf = (job: JobId) => parent + encodeURIComponent(job);

  function interpret(
    result: ValueWriteResult,
  ): Result<JobWriteResult, StepError> {
    if (result.kind === "stored") return ok(result);
    if (!result.current) return ok({ kind: "conflict", current: undefined });
    return decodeJob(result.current).map((current) => ({
      kind: "conflict",
      current,
    }));
  }

  return {
    async write(jobs, timeout) {
      const writes = jobs.map(({ record, revision }) => ({
        key: keyOf(record.id),
        value: record,
        revision,
      }));
      const written = await writer.write(writes, timeout);
      if (written.isErr()) return err(written.error);
      const results: JobWriteResult[] = [];
      for (const one of written.value) {
        const result = interpret(one);
        if (result.isErr()) return err(result.error);
        results.push(result.value);
      }
      return ok(results);
    },
    read: async (job) =>
      (await writer.read(keyOf(job))).andThen((stored) =>
        stored ? decodeJob(stored) : ok(undefined)
      ),
    list: async () =>
      (await writer.list(parent)).map((values) =>
        values.flatMap((value) => {
          const job = decodeJob(value);
          if (job.isOk()) return [job.value];
          onMalformed(job.error);
          return [];
        })
      ),
  };
}

function decodeJob(
  { key, value, revision }: StoredValue,
): Result<StoredJob, StepError> {
  const record = value as Partial<JobRecord> | null;
  const valid = typeof record?.id === "string" &&
    typeof record.spec === "object" && record.spec !== null &&
    typeof record.epoch === "number" && typeof record.owner === "string" &&
    typeof record.ownerIncarnation === "number" &&
    typeof record.started === "boolean" && Array.isArray(record.failedOn) &&
    Object.values<unknown>(JobState).includes(record.state);
  if (valid) return ok({ record: record as JobRecord, revision });
  const code = ErrorCode.StoreAnswer;
  const message = `the job record ${key} is malformed`;
  return err(new StepError({ code, step: "decode", peer: key, message }));
}
