/**
 * The narrow interface to the platform's key-value service.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { Milliseconds, StepError } from "@dragonflyledge/model";

/** Writes in one call. etcd refuses transactions with more by default. */
export const MAX_WRITES_PER_CALL = 128;

/** A stored value. `revision` is the revision of its last change. */
export interface Item {
  key: string;
  value: string;
  revision: number;
}

/** Identity of a lease in the store. */
export type LeaseId = string;

/** One conditional write. */
export interface Write {
  key: string;
  /** New value, or undefined to delete the key. */
  value: string | undefined;
  /** Revision that must be current; 0 if the key must not exist. */
  revision: number;
  lease?: LeaseId;
}

/** What became of one conditional write. */
export type WriteResult =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: Item | undefined };

/** Change that a watch reports; `value` is undefined for a deletion. */
export interface Change {
  key: string;
  value: string | undefined;
  revision: number;
}

/** One read with the revision of the whole store at which it was made. */
export interface Reading {
  item: Item | undefined;
  at: number;
}

/** Items of a prefix with the revision of the store at which they were read. */
export interface Listing {
  items: Item[];
  at: number;
}

/** A key with the revision of its last change. */
export interface KeyRevision {
  key: string;
  revision: number;
}

/** A running watch. */
export interface Watch {
  stop(): void;
}

/**
 * Operations on the store. Every operation is one call to the service. A
 * write whose answer was lost fails with `DFL_STORE_UNAVAILABLE`: it may have
 * taken effect, so that the caller reads it back by its identity.
 */
export interface Store {
  get(key: string): Promise<Result<Item | undefined, StepError>>;
  /** Items whose keys start with `prefix`, in order of key. */
  list(prefix: string): Promise<Result<Item[], StepError>>;
  /** Like `get`; `at` proves how fresh an absent key is. */
  getAt(key: string): Promise<Result<Reading, StepError>>;
  /** Like `list`; `at` proves how fresh the absence of keys is. */
  listAt(prefix: string): Promise<Result<Listing, StepError>>;
  /** Keys that start with `prefix`, in order, without their values. */
  listKeys(prefix: string): Promise<Result<KeyRevision[], StepError>>;
  /**
   * Applies each write on its own condition, all in one call. The keys must
   * differ, and there may be `WRITES_PER_CALL` of them.
   */
  write(writes: Write[]): Promise<Result<WriteResult[], StepError>>;
  grantLease(length: Milliseconds): Promise<Result<LeaseId, StepError>>;
  /** Fails with `DFL_STORE_ANSWER` if the lease no longer exists. */
  renewLease(lease: LeaseId): Promise<Result<Milliseconds, StepError>>;
  revokeLease(lease: LeaseId): Promise<Result<void, StepError>>;
  /**
   * Reports changes under `prefix`. Every change after `onStart` is reported
   * unless the watch ends. After `onEnd` the watch is over, and the caller
   * lists and watches again. `stop` does not call `onEnd`.
   */
  watch(fields: {
    prefix: string;
    onStart?: () => void;
    onChange: (changes: Change[]) => void;
    onEnd: (error: StepError | undefined) => void;
  }): Watch;
}
