/**
 * Operations of the etcd v3 JSON gateway on the in-memory model.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { STORE_VALUE_LIMIT } from "@dragonflyledge/model";
import { type Change, type Item, WRITES_PER_CALL } from "@dragonflyledge/store";
import { isObject } from "./http.ts";
import type { MemoryModel, Transaction } from "./memory_model.ts";

/** Refusal as the gateway reports it: HTTP status and gRPC code. */
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

/** Returns the header that every answer carries. */
export function createHeader(revision: number): JsonObject {
  const ids = { cluster_id: "1", member_id: "1", raft_term: "2" };
  return { ...ids, revision: String(revision) };
}

/** Decodes a base64 key or value. */
export function decodeText(value: unknown): string {
  if (value === undefined) return "";
  if (typeof value !== "string") throw invalidRequest("bytes must be base64");
  return Buffer.from(value, "base64").toString();
}

/** Key and whether it stands for its whole prefix. */
export function decodeTarget(
  fields: JsonObject,
): { key: string; exact: boolean } {
  const key = decodeText(fields.key);
  if (fields.range_end === undefined) return { key, exact: true };
  const end = Buffer.from(String(fields.range_end), "base64");
  const wanted = Buffer.from(key);
  // Only ranges that cover exactly one prefix are needed.
  wanted[wanted.length - 1]! += 1;
  if (!end.equals(wanted)) throw invalidRequest("the range is not a prefix");
  return { key, exact: false };
}

/** Key-value pair as the gateway writes it; zero fields are left out. */
export function encodeItem({ key, value, revision }: Item): JsonObject {
  return {
    key: Buffer.from(key).toString("base64"),
    mod_revision: String(revision),
    ...(value === "" ? {} : { value: Buffer.from(value).toString("base64") }),
  };
}

/** Answer to a range. */
export function encodeRange(items: Item[], revision: number): JsonObject {
  const found = items.length === 0
    ? {}
    : { kvs: items.map(encodeItem), count: String(items.length) };
  return { header: createHeader(revision), ...found };
}

/** Event of a watch. */
export function encodeChange({ key, value, revision }: Change): JsonObject {
  const kv = encodeItem({ key, value: value ?? "", revision });
  return value === undefined ? { type: "DELETE", kv } : { kv };
}

/** Performs a transaction with its nested transactions. */
export function performTransaction(
  model: MemoryModel,
  fields: JsonObject,
): JsonObject {
  checkTransaction(model, fields, new Set());
  const answer = model.transact((transaction) => runBranch(transaction, fields))
    .answer;
  return answer(model.revision());
}

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
  throw invalidRequest("unknown operation");
}

function isComparisonTrue(
  transaction: Transaction,
  compare: JsonObject,
): boolean {
  const revision = transaction.get(decodeText(compare.key))?.revision ?? 0;
  if ((compare.result ?? "EQUAL") !== "EQUAL") {
    throw invalidRequest("compare result");
  }
  if (compare.target === "MOD") {
    return String(revision) === (compare.mod_revision ?? "0");
  }
  const wanted = compare.target === "CREATE"
    ? compare.create_revision
    : compare.version;
  if ((wanted ?? "0") !== "0") throw invalidRequest("compare target");
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
  if (Math.max(...sizes) > WRITES_PER_CALL) {
    throw invalidRequest("etcdserver: too many operations in txn request");
  }
  for (const operation of branches.flat()) {
    const { requestPut, requestDeleteRange, requestTxn } = operation;
    if (isObject(requestTxn)) checkTransaction(model, requestTxn, keys);
    if (isObject(requestPut)) checkPut(model, requestPut);
    const changed = requestPut ?? requestDeleteRange;
    if (!isObject(changed)) continue;
    const key = decodeText(changed.key);
    if (keys.has(key)) {
      throw invalidRequest("etcdserver: duplicate key given in txn request");
    }
    keys.add(key);
  }
}

function checkPut(model: MemoryModel, put: JsonObject): void {
  if (Buffer.byteLength(decodeText(put.value)) > STORE_VALUE_LIMIT) {
    throw invalidRequest("etcdserver: request is too large");
  }
  if (put.lease !== undefined && !model.hasLease(String(put.lease))) {
    throw leaseNotFound();
  }
}

/** Refusal of an operation on a lease that is gone. */
export function leaseNotFound(): GatewayError {
  return new GatewayError(404, 5, "etcdserver: requested lease not found");
}

/** Refusal of a request that is not understood. */
export function invalidRequest(message: string): GatewayError {
  return new GatewayError(400, 3, message);
}

function toObjects(value: unknown): JsonObject[] {
  return Array.isArray(value) ? value.filter(isObject) : [];
}
