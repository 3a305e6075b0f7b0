/**
 * The current configuration and its history in the store.
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

/** One accepted version of the configuration. */
export interface ConfigurationRecord {
  configuration: Configuration;
  /** Name of the operator who submitted it. */
  actor: string;
  /** Time of the submission in ISO 8601, only for display. */
  submitted: string;
}

/** Result of a submission. */
export type SubmissionResult =
  | { kind: "stored" }
  /**
   * Another submission took this version, or the version is not the current one
   * plus one. `winner` is the stored record.
   */
  | { kind: "conflict"; winner: ConfigurationRecord | undefined };

/** Configuration versions in the store. Errors are those of the store. */
export interface ConfigurationRecords {
  /** Reads the current version; undefined if none was submitted. */
  read(): Promise<Result<ConfigurationRecord | undefined, StepError>>;
  /** Reads one version; undefined if it does not exist. */
  readVersion(
    version: number,
  ): Promise<Result<ConfigurationRecord | undefined, StepError>>;
  /** Returns all stored versions, oldest first. */
  history(): Promise<Result<ConfigurationRecord[], StepError>>;
  /**
   * Makes `configuration` current if its version is the current one plus one.
   */
  submit(
    record: ConfigurationRecord,
  ): Promise<Result<SubmissionResult, StepError>>;
}

/**
 * Creates the access to configuration records. A version is written in one call
 * to the key of the current version and to its key in the history.
 */
export function createConfigurationRecords(
  { writer, prefix }: { writer: ValueWriter; prefix: string },
): ConfigurationRecords {
  const current = `${prefix}config/current`;
  const parent = `${prefix}config/history/`;
  // Versions are padded with zeros, so that keys sort in the order of versions.
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
    // A version is in the history if and only if it has been current.
    const written = await writer.write([
      { key: current, value: record, revision },
      { key, value: record, revision: 0 },
    ]);
    if (written.isErr()) return err(written.error);
    const [, kept] = written.value;
    // The history key decides whether the version was accepted: if the answer
    // was lost, a later version may already have replaced this one as current.
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
