/**
 * The configuration in force and its history.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Configuration,
  ErrorCode,
  StepError,
} from "@dragonflyledge/model";
import type { StoredValue, ValueWriter } from "./value_writer.ts";

/** One accepted version. */
export interface ConfigurationRecord {
  configuration: Configuration;
  /** Who submitted it. */
  actor: string;
  /** ISO 8601, for people. */
  submitted: string;
}

/** What became of a submission. */
export type SubmissionResult =
  | { kind: "stored" }
  /** Another version won, or the base of the submission is not current. */
  | { kind: "conflict"; winner: ConfigurationRecord | undefined };

/** Configuration versions in the store. */
export interface ConfigurationRecords {
  read(): Promise<Result<ConfigurationRecord | undefined, StepError>>;
  readVersion(
    version: number,
  ): Promise<Result<ConfigurationRecord | undefined, StepError>>;
  /** All versions that are kept, oldest first. */
  history(): Promise<Result<ConfigurationRecord[], StepError>>;
  /**
   * Makes `configuration` current if its version is the current one plus one.
   */
  submit(
    record: ConfigurationRecord,
  ): Promise<Result<SubmissionResult, StepError>>;
}

/** Returns the records. Both keys of a version are written in one call. */
export function createConfigurationRecords(
  { writer, prefix }: { writer: ValueWriter; prefix: string },
): ConfigurationRecords {
  const current = `${prefix}config/current`;
  const parent = `${prefix}config/history/`;
  // Padded, so that the order of keys is the order of versions.
  const keyOf = (version: number) => parent + String(version).padStart(12, "0");

  async function readKey(key: string) {
    return (await writer.read(key)).andThen((stored) =>
      stored ? decodeRecord(stored) : ok(undefined)
    );
  }

  async function submit(
    record: ConfigurationRecord,
  ): Promise<Result<SubmissionResult, StepError>> {
    const read = await writer.read(current);
    if (read.isErr()) return err(read.error);
    const { version } = record.configuration;
    const base = read.value ? decodeRecord(read.value) : ok(undefined);
    if (base.isErr()) return err(base.error);
    if (version !== (base.value?.configuration.version ?? 0) + 1) {
      return ok({ kind: "conflict", winner: base.value });
    }
    const revision = read.value?.revision ?? 0;
    const key = keyOf(version);
    // A version is in the history if and only if it was current.
    const written = await writer.write([
      { key: current, value: record, revision },
      { key, value: record, revision: 0 },
    ]);
    if (written.isErr()) return err(written.error);
    const [, kept] = written.value;
    // The history decides: a later version may have replaced this one before
    // a lost answer was resolved.
    if (kept?.kind === "stored") return ok({ kind: "stored" });
    return (await readKey(key)).map((winner): SubmissionResult => ({
      kind: "conflict",
      winner,
    }));
  }

  return {
    read: () => readKey(current),
    readVersion: (version) => readKey(keyOf(version)),
    async history() {
      const listed = await writer.list(parent);
      if (listed.isErr()) return err(listed.error);
      const records: ConfigurationRecord[] = [];
      for (const value of listed.value) {
        const record = decodeRecord(value);
        if (record.isErr()) return err(record.error);
        records.push(record.value);
      }
      return ok(records);
    },
    submit,
  };
}

function decodeRecord(
  { key, value }: StoredValue,
): Result<ConfigurationRecord, StepError> {
  const record = value as Partial<ConfigurationRecord> | null;
  const { configuration, actor, submitted } = record ?? {};
  const valid = typeof actor === "string" && typeof submitted === "string" &&
    Number.isSafeInteger(configuration?.version) &&
    Array.isArray(configuration?.teams) &&
    Array.isArray(configuration.classes) &&
    Array.isArray(configuration.services);
  if (valid) return ok(record as ConfigurationRecord);
  const code = ErrorCode.StoreAnswer;
  const message = `the configuration ${key} is malformed`;
  return err(new StepError({ code, step: "decode", peer: key, message }));
}
