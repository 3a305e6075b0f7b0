/**
 * The narrow interface to the platform's key-value service.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { Milliseconds, StepError } from "@dragonflyledge/model";

/**
 * Maximum number of writes in one call. By default, etcd refuses transactions
 * with more operations.
 */
export const MAX_WRITES_PER_CALL = 128;

/**
 * A key with its value. `revision` is the store revision of its last change.
 */
export interface Item {
  key: string;
  value: string;
  revision: number;
}

/** Identifier that the store assigned to a lease. */
export type LeaseId = string;

/** One write that is applied only if its key has the expected revision. */
export interface Write {
  key: string;
  /** New value, or undefined to delete the key. */
  value: string | undefined;
  /** Revision that the key must have; 0 if the key must not exist. */
  revision: number;
  /** Lease whose end deletes the key; without one the key stays. */
  lease?: LeaseId;
}

/** Result of one conditional write; a conflict carries the current item. */
export type WriteResult =
  | { kind: "stored"; revision: number }
  | { kind: "conflict"; current: Item | undefined };

/** Change reported by a watch; `value` is undefined for a deletion. */
export interface Change {
  key: string;
  value: string | undefined;
  revision: number;
}

/** Result of reading one key; `at` is the store revision of the read. */
export interface Reading {
  item: Item | undefined;
  at: number;
}

/** Result of listing a prefix; `at` is the store revision of the read. */
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
  /** Ends the watch without calling its `onEnd`. */
  stop(): void;
}

/**
 * Operations on the store. Each operation makes one call to the service and
 * returns errors as a `StepError`. A write whose answer was lost fails with
 * `DFL_STORE_UNAVAILABLE`. It may have taken effect, so the caller must find
 * out by reading the key.
 */
export interface Store {
  /** Reads one key; undefined if it does not exist. */
  get(key: string): Promise<Result<Item | undefined, StepError>>;
  /** Returns the items whose keys start with `prefix`, ordered by key. */
  list(prefix: string): Promise<Result<Item[], StepError>>;
  /**
   * Like `get`, with the store revision, which shows how recent the answer is
   * even if the key does not exist.
   */
  getAt(key: string): Promise<Result<Reading, StepError>>;
  /**
   * Like `list`, with the store revision, which shows how recent the answer is
   * even if keys are missing from it.
   */
  listAt(prefix: string): Promise<Result<Listing, StepError>>;
  /** Returns the keys that start with `prefix` in order, without values. */
  listKeys(prefix: string): Promise<Result<KeyRevision[], StepError>>;
  /**
   * Checks the condition of each write separately and applies those that hold,
   * all in one call. The results are in the order of the writes. The keys must
   * differ, and there must be at most `MAX_WRITES_PER_CALL` of them.
   */
  write(writes: Write[]): Promise<Result<WriteResult[], StepError>>;
  /** Creates a lease that expires after `length` unless it is renewed. */
  grantLease(length: Milliseconds): Promise<Result<LeaseId, StepError>>;
  /**
   * Renews the lease and returns its remaining time in milliseconds. Fails with
   * `DFL_STORE_ANSWER` if the lease no longer exists.
   */
  renewLease(lease: LeaseId): Promise<Result<Milliseconds, StepError>>;
  /** Ends the lease and deletes the keys attached to it. */
  revokeLease(lease: LeaseId): Promise<Result<void, StepError>>;
  /**
   * Reports changes of keys that start with `prefix`. From `onStart` until
   * `onEnd`, every change is reported. After `onEnd` the watch reports nothing
   * more, and the caller has to list the prefix and watch it again. `stop` does
   * not call `onEnd`.
   */
  watch(fields: {
    prefix: string;
    onStart?: () => void;
    onChange: (changes: Change[]) => void;
    onEnd: (error: StepError | undefined) => void;
  }): Watch;
}
