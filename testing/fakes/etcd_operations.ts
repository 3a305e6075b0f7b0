/**
 * Operations of the etcd v3 JSON gateway on the in-memory model.
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

type Fields = Record<string, unknown>;

/** Returns the header that every answer carries. */
export function header(revision: number): Fields {
  const ids = { cluster_id: "1", member_id: "1", raft_term: "2" };
  return { ...ids, revision: String(revision) };
}

/** Decodes a base64 key or value. */
export function decodeText(value: unknown): string {
  if (value === undefined) return "";
  if (typeof value !== "string") throw invalid("bytes must be base64");
  return Buffer.from(value, "base64").toString();
}

/** Key and whether it stands for its whole prefix. */
export function decodeTarget(fields: Fields): { key: string; exact: boolean } {
  const key = decodeText(fields.key);
  if (fields.range_end === undefined) return { key, exact: true };
  const end = Buffer.from(String(fields.range_end), "base64");
  const wanted = Buffer.from(key);
  // Only ranges that cover exactly one prefix are needed.
  wanted[wanted.length - 1]! += 1;
  if (!end.equals(wanted)) throw invalid("the range is not a prefix");
  return { key, exact: false };
}

/** Key-value pair as the gateway writes it; zero fields are left out. */
export function encodeItem({ key, value, revision }: Item): Fields {
  return {
    key: Buffer.from(key).toString("base64"),
    mod_revision: String(revision),
    ...(value === "" ? {} : { value: Buffer.from(value).toString("base64") }),
  };
}

/** Answer to a range. */
export function encodeRange(items: Item[], revision: number): Fields {
  const found = items.length === 0
    ? {}
    : { kvs: items.map(encodeItem), count: String(items.length) };
  return { header: header(revision), ...found };
}

/** Event of a watch. */
export function encodeChange({ key, value, revision }: Change): Fields {
  const kv = encodeItem({ key, value: value ?? "", revision });
  return value === undefined ? { type: "DELETE", kv } : { kv };
}

/** Performs a transaction with its nested transactions. */
export function performTransaction(model: MemoryModel, fields: Fields): Fields {
  checkTransaction(model, fields, new Set());
  const answer = model.transact((transaction) => runBranch(transaction, fields))
    .answer;
  return answer(model.revision());
}

type Answer = { answer: (revision: number) => Fields };

function runBranch(transaction: Transaction, fields: Fields): Answer {
  const succeeded = list(fields.compare).every((compare) =>
    holds(transaction, compare)
  );
  const operations = list(succeeded ? fields.success : fields.failure);
  const parts = operations.map((operation) => runOne(transaction, operation));
  return {
    answer: (revision) => ({
      header: header(revision),
      ...(succeeded ? { succeeded } : {}),
      responses: parts.map((part) => part.answer(revision)),
    }),
  };
}

function runOne(transaction: Transaction, operation: Fields): Answer {
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
    return { answer: (at) => ({ response_put: { header: header(at) } }) };
  }
  if (isObject(requestDeleteRange)) {
    const key = decodeText(requestDeleteRange.key);
    const deleted = transaction.get(key) ? { deleted: "1" } : {};
    transaction.remove(key);
    const answer = (at: number) => ({
      response_delete_range: { header: header(at), ...deleted },
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

function holds(transaction: Transaction, compare: Fields): boolean {
  const revision = transaction.get(decodeText(compare.key))?.revision ?? 0;
  if ((compare.result ?? "EQUAL") !== "EQUAL") throw invalid("compare result");
  if (compare.target === "MOD") {
    return String(revision) === (compare.mod_revision ?? "0");
  }
  const wanted = compare.target === "CREATE"
    ? compare.create_revision
    : compare.version;
  if ((wanted ?? "0") !== "0") throw invalid("compare target");
  return revision === 0;
}

function checkTransaction(
  model: MemoryModel,
  fields: Fields,
  keys: Set<string>,
): void {
  const branches = [list(fields.success), list(fields.failure)];
  const sizes = [...branches, list(fields.compare)].map((part) => part.length);
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

function checkPut(model: MemoryModel, put: Fields): void {
  if (Buffer.byteLength(decodeText(put.value)) > STORE_VALUE_LIMIT) {
    throw invalid("etcdserver: request is too large");
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
export function invalid(message: string): GatewayError {
  return new GatewayError(400, 3, message);
}

function list(value: unknown): Fields[] {
  return Array.isArray(value) ? value.filter(isObject) : [];
}
