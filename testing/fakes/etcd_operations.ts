/**
 * Operations of the etcd v3 JSON gateway, performed on the in-memory model.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { STORE_VALUE_LIMIT } from "@dragonflyledge/model";
import {
  type Change,
  type Item,
  MAX_WRITES_PER_CALL,
} from "@dragonflyledge/store";
import { isObject } from "./http.ts";
import type { MemoryModel, Transaction } from "./memory_model.ts";

/** Error that the gateway answers with: HTTP status and gRPC code. */
export class GatewayError extends Error {
  readonly status: number;
  readonly code: number;

  constructor(status: number, code: number, message: string) {
    super(message);
    this.status = status;
    this.code = code;
  }
}

type JsonObject = Record<string, unknown>;

/** Creates the header that every answer contains. */
export function createHeader(revision: number): JsonObject {
  const ids = { cluster_id: "1", member_id: "1", raft_term: "2" };
  return { ...ids, revision: String(revision) };
}

/**
 * Decodes a base64 key or value; an absent one is empty.
 *
 * @throws GatewayError if the value is not a string
 */
export function decodeText(value: unknown): string {
  if (value === undefined) return "";
  if (typeof value !== "string") throw invalid("bytes must be base64");
  return Buffer.from(value, "base64").toString();
}

/**
 * Decodes the key or the prefix that a range request addresses.
 *
 * @returns the key, and whether it is exact or a prefix
 * @throws GatewayError if the range does not cover exactly one prefix
 */
export function decodeTarget(
  fields: JsonObject,
): { key: string; exact: boolean } {
  const key = decodeText(fields.key);
  if (fields.range_end === undefined) return { key, exact: true };
  const end = Buffer.from(String(fields.range_end), "base64");
  const prefixEnd = Buffer.from(key);
  // The store adapter only requests ranges that cover exactly one prefix.
  prefixEnd[prefixEnd.length - 1]! += 1;
  if (!end.equals(prefixEnd)) throw invalid("the range is not a prefix");
  return { key, exact: false };
}

/** Encodes a key-value pair. Like the gateway, it leaves out an empty value. */
export function encodeItem({ key, value, revision }: Item): JsonObject {
  return {
    key: Buffer.from(key).toString("base64"),
    mod_revision: String(revision),
    ...(value === "" ? {} : { value: Buffer.from(value).toString("base64") }),
  };
}

/** Encodes the answer to a range request. */
export function encodeRange(items: Item[], revision: number): JsonObject {
  const found = items.length === 0
    ? {}
    : { kvs: items.map(encodeItem), count: String(items.length) };
  return { header: createHeader(revision), ...found };
}

/** Encodes an event of a watch. */
export function encodeChange({ key, value, revision }: Change): JsonObject {
  const kv = encodeItem({ key, value: value ?? "", revision });
  return value === undefined ? { type: "DELETE", kv } : { kv };
}

/**
 * Performs a transaction and its nested transactions.
 *
 * @returns the answer of the gateway
 * @throws GatewayError if the gateway would refuse the transaction, or if an
 *   operation is not supported here
 */
export function performTransaction(
  model: MemoryModel,
  fields: JsonObject,
): JsonObject {
  checkTransaction(model, fields, new Set());
  const answer = model.transact((transaction) => runBranch(transaction, fields))
    .answer;
  return answer(model.revision());
}

/** Answer that is encoded once the revision of the transaction is known. */
type PendingAnswer = { answer: (revision: number) => JsonObject };

function runBranch(
  transaction: Transaction,
  fields: JsonObject,
): PendingAnswer {
  const succeeded = toObjects(fields.compare).every((compare) =>
    isComparisonTrue(transaction, compare)
  );
  const operations = toObjects(succeeded ? fields.success : fields.failure);
  const parts = operations.map((operation) =>
    runOperation(transaction, operation)
  );
  return {
    answer: (revision) => ({
      header: createHeader(revision),
      ...(succeeded ? { succeeded } : {}),
      responses: parts.map((part) => part.answer(revision)),
    }),
  };
}

function runOperation(
  transaction: Transaction,
  operation: JsonObject,
): PendingAnswer {
  const { requestPut, requestRange, requestDeleteRange, requestTxn } =
    operation;
  if (isObject(requestTxn)) {
    const inner = runBranch(transaction, requestTxn);
    return { answer: (at) => ({ response_txn: inner.answer(at) }) };
  }
  if (isObject(requestPut)) {
    const lease = requestPut.lease;
    const key = decodeText(requestPut.key);
    const leaseId = lease === undefined ? undefined : String(lease);
    transaction.put(key, decodeText(requestPut.value), leaseId);
    return { answer: (at) => ({ response_put: { header: createHeader(at) } }) };
  }
  if (isObject(requestDeleteRange)) {
    const key = decodeText(requestDeleteRange.key);
    const deleted = transaction.get(key) ? { deleted: "1" } : {};
    transaction.remove(key);
    const answer = (at: number) => ({
      response_delete_range: { header: createHeader(at), ...deleted },
    });
    return { answer };
  }
  if (isObject(requestRange)) {
    const item = transaction.get(decodeText(requestRange.key));
    const answer = (at: number) => ({
      response_range: encodeRange(item ? [item] : [], at),
    });
    return { answer };
  }
  throw invalid("unknown operation");
}

function isComparisonTrue(
  transaction: Transaction,
  compare: JsonObject,
): boolean {
  const revision = transaction.get(decodeText(compare.key))?.revision ?? 0;
  if ((compare.result ?? "EQUAL") !== "EQUAL") throw invalid("compare result");
  if (compare.target === "MOD") {
    return String(revision) === (compare.mod_revision ?? "0");
  }
  const wanted = compare.target === "CREATE"
    ? compare.create_revision
    : compare.version;
  if ((wanted ?? "0") !== "0") throw invalid("unsupported compare target");
  return revision === 0;
}

function checkTransaction(
  model: MemoryModel,
  fields: JsonObject,
  keys: Set<string>,
): void {
  const branches = [toObjects(fields.success), toObjects(fields.failure)];
  const sizes = [...branches, toObjects(fields.compare)].map((part) =>
    part.length
  );
  if (Math.max(...sizes) > MAX_WRITES_PER_CALL) {
    throw invalid("etcdserver: too many operations in txn request");
  }
  for (const operation of branches.flat()) {
    const { requestPut, requestDeleteRange, requestTxn } = operation;
    if (isObject(requestTxn)) checkTransaction(model, requestTxn, keys);
    if (isObject(requestPut)) checkPut(model, requestPut);
    const changed = requestPut ?? requestDeleteRange;
    if (!isObject(changed)) continue;
    const key = decodeText(changed.key);
    if (keys.has(key)) {
      throw invalid("etcdserver: duplicate key given in txn request");
    }
    keys.add(key);
  }
}

function checkPut(model: MemoryModel, put: JsonObject): void {
  if (Buffer.byteLength(decodeText(put.value)) > STORE_VALUE_LIMIT) {
    throw invalid("etcdserver: request is too large");
  }
  if (put.lease !== undefined && !model.hasLease(String(put.lease))) {
    throw leaseNotFound();
  }
}

/** Creates the error of an operation on a lease that does not exist. */
export function leaseNotFound(): GatewayError {
  return new GatewayError(404, 5, "etcdserver: requested lease not found");
}

/** Creates the error of a request that is invalid or not supported here. */
export function invalid(message: string): GatewayError {
  return new GatewayError(400, 3, message);
}

function toObjects(value: unknown): JsonObject[] {
  return Array.isArray(value) ? value.filter(isObject) : [];
}
