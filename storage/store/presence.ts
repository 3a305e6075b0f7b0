/**
 * Presence of an entry: a key under a lease, and the list of live entries.
 *
 * @module
 */

import {
  type Clock,
  ENTRY_LEASE,
  ENTRY_RENEWAL_INTERVAL,
  type EntryPresence,
  ErrorCode,
  type Milliseconds,
  type Random,
  type StepError,
  type Timer,
} from "@dragonflyledge/model";
import { followPrefix } from "./follow_prefix.ts";
import type { Item, LeaseId, Store } from "./store.ts";

/** The own presence and the cached list of live entries. */
export interface Presence {
  /** Whether the own lease is valid for certain. Ask before acting on it. */
  isValid(): boolean;
  /** Time until which the lease is valid for certain; -Infinity if never. */
  validUntil(): Milliseconds;
  /** Live entries as last seen, kept while the store is unavailable. */
  entries(): EntryPresence[];
  /** Leaves at once, so that others need not wait for the lapse. */
  leave(): Promise<void>;
}

/** Wait before a failed renewal is tried again. */
const retryDelay = 500;

/**
 * Registers the entry and keeps its lease renewed.
 *
 * @param fields.prefix prefix of the deployment, such as `/dragonflyledge/`
 * @param fields.onValid told of each renewal
 * @param fields.onLapse told when the lease is no longer valid for certain
 * @param fields.onEntries told when the list of live entries changes
 */
export function createPresence(
  {
    store,
    prefix,
    entry,
    clock,
    timer,
    random,
    onValid,
    onLapse,
    onEntries,
    onError,
  }: {
    store: Store;
    prefix: string;
    entry: EntryPresence;
    clock: Clock;
    timer: Timer;
    random: Random;
    onValid?: (validUntil: Milliseconds) => void;
    onLapse?: () => void;
    onEntries?: (entries: EntryPresence[]) => void;
    onError?: (error: StepError) => void;
  },
): Presence {
  const parent = `${prefix}entries/`;
  const key = parent + encodeURIComponent(entry.id);
  const value = JSON.stringify(entry);
  let lease: LeaseId | undefined;
  let registered = false;
  let valid = false;
  let validUntil = -Infinity;
  /** Wall-clock time of the lapse: a suspended VM stops its monotonic clock. */
  let validUntilDate = -Infinity;
  let left = false;
  let cancelStep = () => {};
  let cancelLapse = () => {};

  const listEntries = () => [...following.items().values()].flatMap(parseEntry);
  const following = followPrefix({
    store,
    prefix: parent,
    timer,
    random,
    onChange: () => onEntries?.(listEntries()),
    onError,
  });

  const isValid = () =>
    !left && clock.now() < validUntil &&
    clock.date().getTime() < validUntilDate;

  /** The lease runs at least from the time at which the call was sent. */
  function extend(sent: Milliseconds, sentDate: number): void {
    validUntil = sent + ENTRY_LEASE;
    validUntilDate = sentDate + ENTRY_LEASE;
    if (!isValid()) return;
    valid = true;
    cancelLapse();
    cancelLapse = timer.after(validUntil - clock.now(), noteLapse);
    onValid?.(validUntil);
  }

  function noteLapse(): void {
    if (!valid || isValid()) return;
    valid = false;
    onLapse?.();
  }

  async function step(): Promise<void> {
    noteLapse();
    const sent = clock.now();
    const sentDate = clock.date().getTime();
    const error = await (registered ? renew() : register());
    if (left) return void (lease && await store.revokeLease(lease));
    if (error) onError?.(error);
    else extend(sent, sentDate);
    // A lease that is gone is replaced at once.
    const gone = error !== undefined && lease === undefined;
    schedule(gone && registered ? 0 : error ? retryDelay : undefined);
    if (gone) registered = false;
  }

  function schedule(wait: Milliseconds = ENTRY_RENEWAL_INTERVAL): void {
    const jitter = 0.9 + random() / 10;
    cancelStep = timer.after(wait * jitter, () => void step());
  }

  async function renew(): Promise<StepError | undefined> {
    const renewed = await store.renewLease(lease!);
    if (renewed.isOk()) return undefined;
    if (renewed.error.code === ErrorCode.StoreAnswer) dropLease();
    return renewed.error;
  }

  function dropLease(): void {
    lease = undefined;
    validUntil = -Infinity;
    noteLapse();
  }

  async function register(): Promise<StepError | undefined> {
    if (lease === undefined) {
      const granted = await store.grantLease(ENTRY_LEASE);
      if (granted.isErr()) return granted.error;
      lease = granted.value;
    } else {
      const error = await renew();
      if (error) return error;
    }
    return await writeKey(0);
  }

  /** Replaces what an earlier start, or a lost answer, left behind. */
  async function writeKey(revision: number): Promise<StepError | undefined> {
    const written = await store.write([{ key, value, revision, lease }]);
    if (written.isErr()) {
      if (written.error.code === ErrorCode.StoreAnswer) dropLease();
      return written.error;
    }
    const [result] = written.value;
    if (result?.kind !== "conflict") {
      registered = true;
      return undefined;
    }
    return await writeKey(result.current?.revision ?? 0);
  }

  void step();
  return {
    isValid,
    validUntil: () => validUntil,
    entries: listEntries,
    async leave() {
      left = true;
      cancelStep();
      cancelLapse();
      following.stop();
      const held = lease;
      lease = undefined;
      if (held !== undefined) await store.revokeLease(held);
    },
  };
}

/** Reads one presence; a malformed one is left out. */
function parseEntry(item: Item): EntryPresence[] {
  try {
    const value = JSON.parse(item.value) as Partial<EntryPresence> | null;
    const { id, incarnation, address, httpAddress } = value ?? {};
    const valid = typeof id === "string" && typeof incarnation === "number" &&
      typeof address === "string" && typeof httpAddress === "string";
    return valid ? [{ id, incarnation, address, httpAddress }] : [];
  } catch {
    return [];
  }
}
