/**
 * Encoding of the etcd v3 JSON gateway: keys and values are base64, 64-bit
 * numbers are strings, and fields with a zero value are left out.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Change, Item, Write, WriteResult } from "./store.ts";

/** Thrown for an answer that does not follow the protocol. */
export class MalformedAnswer extends Error {}

type Fields = Record<string, unknown>;

/** Encodes a key or value as base64. */
export function encodeText(text: string): string {
  return Buffer.from(text).toString("base64");
}

/**
 * Encodes the range of all keys that start with `prefix`. Throws a `RangeError`
 * if the prefix is empty.
 */
export function encodePrefixRange(prefix: string): Fields {
  const end = Buffer.from(prefix);
  if (end.length === 0) throw new RangeError("the prefix must not be empty");
  // UTF-8 has no byte 0xff, so the last byte can always be increased by one.
  end[end.length - 1]! += 1;
  return { key: encodeText(prefix), range_end: end.toString("base64") };
}

/**
 * Encodes a transaction in which each write is a nested transaction with its
 * own condition. A nested transaction whose condition fails reads the key.
 */
export function encodeWrites(writes: Write[]): Fields {
  return {
    success: writes.map((write) => ({ requestTxn: encodeWrite(write) })),
  };
}

function encodeWrite({ key, value, revision, lease }: Write): Fields {
  const name = encodeText(key);
  const compare = revision === 0
    ? { target: "VERSION", version: "0" }
    : { target: "MOD", mod_revision: String(revision) };
  const put = { key: name, value: encodeText(value ?? ""), lease };
  return {
    compare: [{ key: name, result: "EQUAL", ...compare }],
    success: [
      value === undefined
        ? { requestDeleteRange: { key: name } }
        : { requestPut: put },
    ],
    failure: [{ requestRange: { key: name } }],
  };
}

/**
 * Decodes the results of the nested transactions, in the order of the writes.
 * Throws `MalformedAnswer` if the answer does not match the writes.
 */
export function decodeWriteResults(
  answer: unknown,
  writes: Write[],
): WriteResult[] {
  const outer = expectObject(answer);
  const responses = expectArray(outer.responses);
  if (responses.length !== writes.length) {
    throw new MalformedAnswer(
      `the answer has ${responses.length} results for ${writes.length} writes`,
    );
  }
  const revision = decodeStoreRevision(outer);
  return writes.map((write, index): WriteResult => {
    const inner = expectObject(expectObject(responses[index]).response_txn);
    if (inner.succeeded === true) return { kind: "stored", revision };
    const range = expectObject(expectArray(inner.responses)[0]).response_range;
    const [current] = decodeItems(range);
    if (current && current.key !== write.key) {
      throw new MalformedAnswer("a result is for another key");
    }
    return { kind: "conflict", current };
  });
}

/** Decodes the items of a range answer. */
export function decodeItems(answer: unknown): Item[] {
  return expectArray(expectObject(answer).kvs).map(decodeItem);
}

function decodeItem(value: unknown): Item {
  const fields = expectObject(value);
  const revision = decodeInt64(fields.mod_revision);
  if (revision < 1) throw new MalformedAnswer("an item has no revision");
  return {
    key: decodeText(fields.key),
    value: decodeText(fields.value),
    revision,
  };
}

/** Decodes the changes in one message of a watch. */
export function decodeChanges(result: Fields): Change[] {
  return expectArray(result.events).map((event): Change => {
    const { type, kv } = expectObject(event);
    const item = decodeItem(kv);
    return type === "DELETE" ? { ...item, value: undefined } : item;
  });
}

/**
 * Returns the revision of the whole store at the time of the answer. Throws
 * `MalformedAnswer` if the header has none.
 */
export function decodeStoreRevision(answer: unknown): number {
  const revision = decodeInt64(
    expectObject(expectObject(answer).header).revision,
  );
  if (revision < 1) throw new MalformedAnswer("the answer has no revision");
  return revision;
}

/** Returns the value if it is an object, and throws otherwise. */
export function expectObject(value: unknown): Fields {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as Fields;
  }
  throw new MalformedAnswer("a field is not an object");
}

/** Decodes a 64-bit number. The gateway leaves out zeros, so absent is 0. */
export function decodeInt64(value: unknown): number {
  if (value === undefined) return 0;
  const number = typeof value === "string" ? Number(value) : NaN;
  if (Number.isSafeInteger(number)) return number;
  throw new MalformedAnswer("a field is not a 64-bit number");
}

function decodeText(value: unknown): string {
  if (value === undefined) return "";
  if (typeof value === "string") return Buffer.from(value, "base64").toString();
  throw new MalformedAnswer("a field is not text");
}

function expectArray(value: unknown): unknown[] {
  if (value === undefined) return [];
  if (Array.isArray(value)) return value;
  throw new MalformedAnswer("a field is not a list");
}
