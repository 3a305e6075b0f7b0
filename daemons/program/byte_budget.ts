/**
 * Budget of the bytes that clients make a process hold. It decides who may hold
 * more and who has to give up what they hold; it does no input or output.
 *
 * Load pattern: many clients at a time that send bodies of legal size and stop
 * short of their end. Of these the slowest and largest are given up first, and
 * no owner can take the last place of another.
 *
 * @module
 */

import type { Clock } from "@dragonflyledge/model";

/** Why bytes are refused: for the whole budget or for the owner's part of it. */
export type Shortage = "budget" | "owner";

/** What one request holds of the budget. */
export interface Holding {
  /** Takes more bytes; returns why if it can't. */
  take(bytes: number): Shortage | undefined;
  /** Assigns what is held to another owner. */
  assign(owner: string): void;
  /** Keeps the holding from being given up, since it is complete. */
  complete(): void;
  /** Returns all bytes; further ones can't be taken. */
  release(): void;
}

/** A budget that all listeners of a process share. */
export interface ByteBudget {
  /**
   * Begins a holding of `owner`: a team, or an address while the team is not
   * known. `onShed` is called if it has to be given up, which releases it.
   */
  open(fields: { owner: string; onShed: (why: Shortage) => void }): Holding;
  /** Bytes that are held now. */
  used(): number;
}

interface Entry {
  owner: string;
  bytes: number;
  since: number;
  incomplete: boolean;
  onShed: (why: Shortage) => void;
}

/**
 * Creates a budget.
 *
 * @param fields.capacity bytes that all may hold together
 * @param fields.ownerShare part of `capacity` that one owner may hold, 0 to 1
 */
export function createByteBudget(fields: {
  capacity: number;
  ownerShare: number;
  clock: Clock;
}): ByteBudget {
  const { capacity, clock } = fields;
  const ownerCapacity = capacity * fields.ownerShare;
  const entries = new Set<Entry>();
  const owners = new Map<string, number>();
  let used = 0;

  function add(entry: Entry, bytes: number): void {
    used += bytes;
    entry.bytes += bytes;
    const held = (owners.get(entry.owner) ?? 0) + bytes;
    if (held > 0) owners.set(entry.owner, held);
    else owners.delete(entry.owner);
  }

  function release(entry: Entry): void {
    if (!entries.delete(entry)) return;
    add(entry, -entry.bytes);
  }

  /** The incomplete entry that has held most bytes for longest. */
  function findWorst(owner: string): Entry | undefined {
    const now = clock.now();
    let worst: Entry | undefined;
    let worstCost = -1;
    for (const entry of entries) {
      if (!entry.incomplete || entry.owner !== owner) continue;
      const cost = entry.bytes * (now - entry.since + 1);
      if (cost <= worstCost) continue;
      worst = entry;
      worstCost = cost;
    }
    return worst;
  }

  /** The owner with most bytes of those with something to give up. */
  function findLargestOwner(): string | undefined {
    let largest: string | undefined;
    for (const entry of entries) {
      if (!entry.incomplete || entry.owner === largest) continue;
      const isLarger = largest === undefined ||
        owners.get(entry.owner)! > owners.get(largest)!;
      if (isLarger) largest = entry.owner;
    }
    return largest;
  }

  /** Gives up entries until `entry` can take `bytes`. */
  function take(entry: Entry, bytes: number): Shortage | undefined {
    if (!entries.has(entry)) return "budget";
    for (;;) {
      const held = owners.get(entry.owner) ?? 0;
      const exceedsOwner = held + bytes > ownerCapacity;
      if (!exceedsOwner && used + bytes <= capacity) break;
      const owner = exceedsOwner ? entry.owner : findLargestOwner();
      const worst = owner === undefined ? undefined : findWorst(owner);
      const fairShare = capacity / Math.max(2, owners.size);
      const why = exceedsOwner || held > fairShare ? "owner" : "budget";
      if (!worst || worst === entry) return why;
      release(worst);
      worst.onShed(exceedsOwner ? "owner" : "budget");
    }
    add(entry, bytes);
    return undefined;
  }

  return {
    open: ({ owner, onShed }) => {
      const since = clock.now();
      const entry = { owner, bytes: 0, since, incomplete: true, onShed };
      entries.add(entry);
      return {
        take: (bytes) => take(entry, bytes),
        assign: (next) => {
          const { bytes } = entry;
          add(entry, -bytes);
          entry.owner = next;
          add(entry, bytes);
        },
        complete: () => {
          entry.incomplete = false;
        },
        release: () => release(entry),
      };
    },
    used: () => used,
  };
}
