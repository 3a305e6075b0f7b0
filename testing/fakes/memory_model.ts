/**
 * In-memory model of a store like etcd: one revision for each transaction that
 * changes something, leases that lapse by the clock, and subscriptions.
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

/** State of the in-memory store, which the fake etcd server uses as well. */
export interface MemoryModel {
  revision(): number;
  get(key: string): Item | undefined;
  list(prefix: string): Item[];
  /**
   * Returns what a lagging replica would answer: the items that `covers`
   * selects, and their revision, as they were before the last change of these
   * items.
   */
  readStale(covers: (key: string) => boolean): { items: Item[]; at: number };
  /** Runs a transaction and notifies the subscribers of its changes. */
  transact<T>(run: (transaction: Transaction) => T): T;
  hasLease(lease: string): boolean;
  /** Creates a lease of the given length and returns its ID. */
  grant(length: Milliseconds): string;
  /**
   * Renews the lease for its full length, which is returned. Returns
   * `undefined` if there is no such lease.
   */
  renew(lease: string): Milliseconds | undefined;
  /** Deletes the lease and its keys. Returns whether the lease existed. */
  revoke(lease: string): boolean;
  /**
   * Calls `listener` with the changes under `prefix` of each transaction. The
   * returned function ends the subscription.
   */
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

/** Creates an empty model. Its revision is 1 at first, as in etcd. */
export function createMemoryModel(
  { clock, timer }: { clock: Clock; timer: Timer },
): MemoryModel {
  const cells = new Map<string, StoredItem>();
  /**
   * For each key, its item before its last change, and that change's revision.
   */
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
    const recordChange = (key: string, value: string | undefined) => {
      before.set(key, { item: cells.get(key), changed: next });
      changes.push({ key, value, revision: next });
    };
    const result = run({
      get(key) {
        const cell = cells.get(key);
        return cell && toItem(cell);
      },
      put(key, value, lease) {
        recordChange(key, value);
        cells.set(key, { key, value, revision: next, lease });
      },
      remove(key) {
        if (!cells.has(key)) return;
        recordChange(key, undefined);
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

  /**
   * Deletes lapsed leases. Needed where the clock has advanced and the timers
   * of the leases have not been called.
   */
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
