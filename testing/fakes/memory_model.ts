/**
 * In-memory model of an etcd-like store: one revision for each transaction,
 * leases that lapse with the clock, and subscriptions.
 *
 * @module
 */

import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Change, Item } from "@dragonflyledge/store";

/** Operations inside one transaction. */
export interface Transaction {
  get(key: string): Item | undefined;
  put(key: string, value: string, lease?: string): void;
  remove(key: string): void;
}

/** The state that the in-memory store and the etcd server share. */
export interface MemoryModel {
  revision(): number;
  get(key: string): Item | undefined;
  list(prefix: string): Item[];
  /** What a lagging replica would answer: before the last change there. */
  readStale(covers: (key: string) => boolean): { items: Item[]; at: number };
  transact<T>(run: (transaction: Transaction) => T): T;
  hasLease(lease: string): boolean;
  grant(length: Milliseconds): string;
  /** Remaining time after the renewal; undefined if the lease is gone. */
  renew(lease: string): Milliseconds | undefined;
  /** Deletes the lease and its keys; false if there is none. */
  revoke(lease: string): boolean;
  subscribe(prefix: string, listener: (changes: Change[]) => void): () => void;
  /** Cancels the timers of all leases. */
  stop(): void;
}

interface StoredItem extends Item {
  lease?: string;
}
interface Lease {
  length: Milliseconds;
  due: Milliseconds;
  cancel: () => void;
}

/** Returns an empty model. Revisions start at 1, as in etcd. */
export function createMemoryModel(
  { clock, timer }: { clock: Clock; timer: Timer },
): MemoryModel {
  const cells = new Map<string, StoredItem>();
  const before = new Map<string, { item: Item | undefined; changed: number }>();
  const leases = new Map<string, Lease>();
  const listeners = new Set<
    { prefix: string; listener: (changes: Change[]) => void }
  >();
  let revision = 1;
  let leaseCount = 0;

  function transact<T>(run: (transaction: Transaction) => T): T {
    const changes: Change[] = [];
    const next = revision + 1;
    const note = (key: string, value: string | undefined) => {
      before.set(key, { item: cells.get(key), changed: next });
      changes.push({ key, value, revision: next });
    };
    const result = run({
      get(key) {
        const cell = cells.get(key);
        return cell && toItem(cell);
      },
      put(key, value, lease) {
        note(key, value);
        cells.set(key, { key, value, revision: next, lease });
      },
      remove(key) {
        if (!cells.has(key)) return;
        note(key, undefined);
        cells.delete(key);
      },
    });
    if (changes.length > 0) {
      revision = next;
      notify(changes);
    }
    return result;
  }

  function notify(changes: Change[]): void {
    for (const { prefix, listener } of [...listeners]) {
      const seen = changes.filter((change) => change.key.startsWith(prefix));
      if (seen.length > 0) listener(seen);
    }
  }

  function schedule(id: string, length: Milliseconds): void {
    leases.get(id)?.cancel();
    const cancel = timer.after(length, () => void revoke(id));
    leases.set(id, { length, due: clock.now() + length, cancel });
  }

  /** Guards against a clock that moved without calling the timers. */
  function expire(): void {
    for (const [id, lease] of [...leases]) {
      if (lease.due <= clock.now()) revoke(id);
    }
  }

  function revoke(id: string): boolean {
    const lease = leases.get(id);
    if (!lease) return false;
    lease.cancel();
    leases.delete(id);
    transact((transaction) => {
      for (const cell of [...cells.values()]) {
        if (cell.lease === id) transaction.remove(cell.key);
      }
    });
    return true;
  }

  function list(covers: (key: string) => boolean): Item[] {
    expire();
    return [...cells.values()].filter((cell) => covers(cell.key))
      .map(toItem).sort(compareKeys);
  }

  return {
    revision: () => revision,
    get(key) {
      expire();
      const cell = cells.get(key);
      return cell && toItem(cell);
    },
    list: (prefix) => list((key) => key.startsWith(prefix)),
    readStale(covers) {
      const changed = [...before].filter(([key]) => covers(key));
      const last = Math.max(1, ...changed.map(([, past]) => past.changed));
      const items = list(covers).filter((item) => item.revision < last);
      for (const [, past] of changed) {
        if (past.changed === last && past.item) items.push(toItem(past.item));
      }
      return { items: items.sort(compareKeys), at: last - 1 };
    },
    transact(run) {
      expire();
      return transact(run);
    },
    hasLease(lease) {
      expire();
      return leases.has(lease);
    },
    grant(length) {
      const id = String(7587000000000000000n + BigInt(++leaseCount));
      schedule(id, length);
      return id;
    },
    renew(id) {
      expire();
      const lease = leases.get(id);
      if (lease) schedule(id, lease.length);
      return lease?.length;
    },
    revoke,
    subscribe(prefix, listener) {
      const entry = { prefix, listener };
      listeners.add(entry);
      return () => void listeners.delete(entry);
    },
    stop() {
      for (const lease of leases.values()) lease.cancel();
    },
  };
}

function toItem({ key, value, revision }: Item): Item {
  return { key, value, revision };
}

function compareKeys(left: Item, right: Item): number {
  return left.key < right.key ? -1 : left.key > right.key ? 1 : 0;
}
