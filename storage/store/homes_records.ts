/**
 * The homes table in the store.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { ErrorCode, type HomesTable, StepError } from "@dragonflyledge/model";
import type { StoredValue, ValueWriter } from "./value_writer.ts";

/** Result of writing the table; a conflict carries the current table. */
export type HomesWriteResult =
  | { kind: "stored" }
  | { kind: "conflict"; current: HomesTable | undefined };

/** Access to the homes table. Errors are those of the store. */
export interface HomesRecords {
  /** Reads the table; undefined if none was written. */
  read(): Promise<Result<HomesTable | undefined, StepError>>;
  /** Replaces the table if its version is the stored one plus one. */
  write(homes: HomesTable): Promise<Result<HomesWriteResult, StepError>>;
}

/**
 * Creates the access to the homes table. It keeps the last table with its
 * revision, so that most writes need no read.
 */
export function createHomesRecords(
  { writer, prefix }: { writer: ValueWriter; prefix: string },
): HomesRecords {
  const key = `${prefix}homes`;
  let known: { homes: HomesTable; revision: number } | undefined;

  /** Decodes the stored table and keeps it. */
  function updateKnown(
    stored: StoredValue | undefined,
  ): Result<HomesTable | undefined, StepError> {
    if (!stored) {
      known = undefined;
      return ok(undefined);
    }
    return decodeTable(stored).map((homes) => {
      known = { homes, revision: stored.revision };
      return homes;
    });
  }

  async function read(): Promise<Result<HomesTable | undefined, StepError>> {
    return (await writer.read(key)).andThen(updateKnown);
  }

  async function write(
    homes: HomesTable,
  ): Promise<Result<HomesWriteResult, StepError>> {
    if (known?.homes.version !== homes.version - 1) {
      const current = await read();
      if (current.isErr()) return err(current.error);
      if ((current.value?.version ?? 0) !== homes.version - 1) {
        return ok({ kind: "conflict", current: current.value });
      }
    }
    const revision = known?.revision ?? 0;
    const written = await writer.write([{ key, value: homes, revision }]);
    if (written.isErr()) return err(written.error);
    const result = written.value[0]!;
    if (result.kind === "stored") {
      known = { homes, revision: result.revision };
      return ok({ kind: "stored" });
    }
    return updateKnown(result.current).map((current): HomesWriteResult => ({
      kind: "conflict",
      current,
    }));
  }

  return { read, write };
}

function decodeTable(
  { key, value }: StoredValue,
): Result<HomesTable, StepError> {
  const homes = value as Partial<HomesTable> | null;
  const valid = Number.isSafeInteger(homes?.version) &&
    Number.isSafeInteger(homes?.configurationVersion) &&
    Array.isArray(homes?.homes) && Array.isArray(homes.unplaced);
  if (valid) return ok(homes as HomesTable);
  const code = ErrorCode.StoreAnswer;
  const message = "the homes table is malformed";
  return err(new StepError({ code, step: "decode", peer: key, message }));
}
