/**
 * JSON values stored with the ID of their write, so that a write whose answer
 * was lost can be told from one that never took effect.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  ErrorCode,
  type Milliseconds,
  type Random,
  SECOND,
  StepError,
  STORE_VALUE_LIMIT,
  type Timer,
} from "@dragonflyledge/model";
import { NOT_SENT } from "./guarded_store.ts";
import type { Item, LeaseId, Store, Write, WriteResult } from "./store.ts";

/** A conditional write of a JSON value; an undefined one deletes the key. */
export interface ValueWrite {
  key: string;
  value: unknown;
  /** Revision that the key must have; 0 if the key must not exist. */
  revision: number;
  lease?: LeaseId;
}

/** A stored value with its revision and the ID of the write that stored it. */
export interface StoredValue {
  key: string;
  value: unknown;
  /** Revision of the last change. */
  revision: number;
  /** ID of the write: the identity of its writer and a counter. */
  write: string;
}

/** Result of one write; a conflict carries the current value. */
export type ValueWriteResult =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: StoredValue | undefined };

/** Reads and writes JSON values. Errors are those of the store. */
export interface ValueWriter {
  /**
   * Applies the writes in one call. If the answer is lost, the call is sent
   * again. Each write is conditional, so it cannot take effect twice, and a
   * conflict returns the current value with the ID of its write, which shows
   * whether the first call stored it. Fails with `DFL_STORE_UNAVAILABLE` if it
   * is still unknown after `timeout` whether the writes took effect, and with
   * `DFL_USAGE` if the values exceed the size limit of a call.
   */
  write(
    writes: ValueWrite[],
    timeout?: Milliseconds,
  ): Promise<Result<ValueWriteResult[], StepError>>;
  /** Reads one value; undefined if the key does not exist. */
  read(key: string): Promise<Result<StoredValue | undefined, StepError>>;
  /** Lists the values under a prefix, without malformed ones. */
  list(prefix: string): Promise<Result<StoredValue[], StepError>>;
  /** Returns the size in bytes that a value takes in the store. */
  sizeOf(value: unknown): number;
}

/**
 * Delays before a call is sent again; they double from the first to the last.
 */
const initialRetryDelay = 50;
const maxRetryDelay = 1 * SECOND;

/**
 * Creates a writer.
 *
 * @param fields.identity ID and incarnation of this process, such as
 * `entry-1.7`; no other process may ever use it
 * @param fields.timeout default time for resolving a lost answer; 4 s
 * @param fields.onMalformed receives an error for each value that `list` leaves
 * out
 */
export function createValueWriter(
  {
    store,
    clock,
    timer,
    random,
    identity,
    timeout: defaultTimeout = 4 * SECOND,
    onMalformed = () => {},
  }: {
    store: Store;
    clock: Clock;
    timer: Timer;
    random: Random;
    identity: string;
    timeout?: Milliseconds;
    onMalformed?: (error: StepError) => void;
  },
): ValueWriter {
  let count = 0;

  /** Sends the writes again until the store confirms or refuses them. */
  async function resolveLostAnswer(
    writes: Write[],
    lost: StepError,
    deadline: Milliseconds,
  ): Promise<Result<WriteResult[], StepError>> {
    let error = lost;
    for (
      let wait = initialRetryDelay;;
      wait = Math.min(maxRetryDelay, wait * 2)
    ) {
      const delay = wait * (0.5 + random() / 2);
      if (clock.now() + delay > deadline) return err(unconfirmedWrite(error));
      await new Promise<void>((done) => void timer.after(delay, done));
      const result = await store.write(writes);
      if (result.isOk() || !isTransient(result.error)) return result;
      error = result.error;
    }
  }

  return {
    async write(values, timeout = defaultTimeout) {
      const id = `${identity}.${++count}`;
      const encoded = encodeValueWrites(values, id);
      if (encoded.isErr()) return err(encoded.error);
      const deadline = clock.now() + timeout;
      let result = await store.write(encoded.value);
      if (result.isErr() && mayHaveTakenEffect(result.error)) {
        result = await resolveLostAnswer(encoded.value, result.error, deadline);
      }
      return result.andThen((results) => interpretResults(values, results, id));
    },
    read: async (key) =>
      (await store.get(key)).andThen((item) =>
        item ? decodeValue(item) : ok(undefined)
      ),
    list: async (prefix) =>
      (await store.list(prefix)).map((items) =>
        decodeValues(items, onMalformed)
      ),
    sizeOf: (value) => Buffer.byteLength(serializeValue(value, identity)) + 16,
  };
}

function mayHaveTakenEffect({ code, step }: StepError): boolean {
  return code === ErrorCode.StoreUnavailable && step !== NOT_SENT;
}

function isTransient({ code }: StepError): boolean {
  return code === ErrorCode.StoreUnavailable || code === ErrorCode.StoreBudget;
}

function unconfirmedWrite(cause: StepError): StepError {
  return new StepError({
    code: ErrorCode.StoreUnavailable,
    step: "write",
    peer: cause.peer,
    message: "the store did not confirm the write in time",
    hint: "The write may have taken effect. Read the key before deciding.",
    cause,
  });
}

function serializeValue(value: unknown, write: string): string {
  return JSON.stringify({ write, value });
}

/**
 * Encodes the writes of one call; `DFL_USAGE` if they exceed the size limit.
 */
function encodeValueWrites(
  values: ValueWrite[],
  id: string,
): Result<Write[], StepError> {
  const writes = values.map((value): Write => ({
    ...value,
    value: value.value === undefined
      ? undefined
      : serializeValue(value.value, id),
  }));
  const sizes = writes.map((write) => Buffer.byteLength(write.value ?? ""));
  const total = sizes.reduce((sum, size) => sum + size, 0);
  if (total <= STORE_VALUE_LIMIT) return ok(writes);
  const largest = writes[sizes.indexOf(Math.max(...sizes))]!.key;
  return err(
    new StepError({
      code: ErrorCode.Usage,
      step: "write",
      peer: largest,
      message: `a write of ${total} bytes, most of them for ${largest}, ` +
        `exceeds the limit of ${STORE_VALUE_LIMIT} bytes`,
      hint: "Store a smaller value, or fewer values in one call.",
    }),
  );
}

function interpretResults(
  values: ValueWrite[],
  results: WriteResult[],
  id: string,
): Result<ValueWriteResult[], StepError> {
  const interpreted: ValueWriteResult[] = [];
  for (const [index, result] of results.entries()) {
    const outcome = interpretResult(values[index]!, result, id);
    if (outcome.isErr()) return err(outcome.error);
    interpreted.push(outcome.value);
  }
  return ok(interpreted);
}

function interpretResult(
  { value, revision }: ValueWrite,
  result: WriteResult,
  id: string,
): Result<ValueWriteResult, StepError> {
  if (result.kind === "stored") return ok(result);
  if (!result.current) {
    // The key is absent, as the deletion asked, even if another call deleted
    // it.
    const deleted = value === undefined;
    return ok(
      deleted ? { kind: "stored", revision } : {
        kind: "conflict",
        current: undefined,
      },
    );
  }
  return decodeValue(result.current).map((current): ValueWriteResult =>
    current.write === id
      ? { kind: "stored", revision: current.revision }
      : { kind: "conflict", current }
  );
}

/** Decodes the items, and reports malformed ones so that the others remain. */
function decodeValues(
  items: Item[],
  onMalformed: (error: StepError) => void,
): StoredValue[] {
  return items.flatMap((item) => {
    const value = decodeValue(item);
    if (value.isOk()) return [value.value];
    onMalformed(value.error);
    return [];
  });
}

function decodeValue(
  { key, value, revision }: Item,
): Result<StoredValue, StepError> {
  try {
    const parsed: unknown = JSON.parse(value);
    if (typeof parsed === "object" && parsed !== null && "write" in parsed) {
      const { write, value } = parsed as { write: unknown; value: unknown };
      if (typeof write === "string" && value !== undefined) {
        return ok({ key, value, revision, write });
      }
    }
  } catch {
    // Reported as malformed below.
  }
  return err(
    new StepError({
      code: ErrorCode.StoreAnswer,
      step: "decode",
      peer: key,
      message: `the value of ${key} is malformed`,
      hint: "Another program may write under the prefix of this deployment.",
    }),
  );
}
