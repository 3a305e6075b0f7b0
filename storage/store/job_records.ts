/**
 * Job records: owner, fencing epoch and state, changed by compare-and-swap.
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

/** A record with the revision of its last change. */
export interface StoredJob {
  record: JobRecord;
  revision: number;
}

/** What became of the write of a record. */
export type JobWriteResult =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: StoredJob | undefined };

/** Job records in the store. */
export interface JobRecords {
  /** Writes records in one call; revision 0 creates. */
  write(
    jobs: StoredJob[],
    patience?: Milliseconds,
  ): Promise<Result<JobWriteResult[], StepError>>;
  read(job: JobId): Promise<Result<StoredJob | undefined, StepError>>;
  list(): Promise<Result<StoredJob[], StepError>>;
}

/**
 * Returns the records.
 *
 * @param fields.onMalformed told of records that `list` leaves out
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
    async write(jobs, patience) {
      const writes = jobs.map(({ record, revision }) => ({
        key: keyOf(record.id),
        value: record,
        revision,
      }));
      const written = await writer.write(writes, patience);
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
