/**
 * Presence of an entry in the store: a key attached to a lease that is renewed
 * while the entry runs. The keys of all entries form the list of live entries.
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

/** Presence of this entry, and a cached list of live entries. */
export interface Presence {
  /**
   * Whether the lease of this entry is certainly valid. Check this right before
   * each action that depends on the lease.
   */
  isValid(): boolean;
  /**
   * Time until which the lease is certainly valid, which may be in the past;
   * -Infinity if there is no known lease.
   */
  validUntil(): Milliseconds;
  /** Live entries as last seen. They stay while the store is unavailable. */
  entries(): EntryPresence[];
  /** Revokes the lease, so that others need not wait until it expires. */
  leave(): Promise<void>;
}

/** Delay in milliseconds before a failed renewal is tried again. */
const retryDelay = 500;

/**
 * Registers the entry and keeps its lease renewed.
 *
 * @param fields.prefix prefix of the deployment, such as `/dragonflyledge/`
 * @param fields.onValid called after each renewal
 * @param fields.onLapse called when the lease is no longer certainly valid
 * @param fields.onEntries called when the list of live entries changes
 * @param fields.onError called when a call to the store fails; it is retried
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
  /**
   * Wall-clock time until which the lease is valid. It is checked as well,
   * because the monotonic clock stands still while a VM is suspended.
   */
  let validUntilDate = -Infinity;
  let left = false;
  let cancelRenewal = () => {};
  let cancelLapse = () => {};

  const listEntries = () =>
    [...entriesCopy.items().values()].flatMap(parseEntry);
  const entriesCopy = followPrefix({
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

  /**
   * Extends the validity after a renewal. It counts from the time at which the
   * call was sent, because the store may have renewed the lease right then.
   */
  function extend(sent: Milliseconds, sentDate: number): void {
    validUntil = sent + ENTRY_LEASE;
    validUntilDate = sentDate + ENTRY_LEASE;
    if (!isValid()) return;
    valid = true;
    cancelLapse();
    cancelLapse = timer.after(validUntil - clock.now(), checkLapse);
    onValid?.(validUntil);
  }

  /** Calls `onLapse` once after the validity has ended. */
  function checkLapse(): void {
    if (!valid || isValid()) return;
    valid = false;
    onLapse?.();
  }

  /** Renews the lease, or registers the entry, and schedules the next time. */
  async function renewOrRegister(): Promise<void> {
    checkLapse();
    const sent = clock.now();
    const sentDate = clock.date().getTime();
    const error = await (registered ? renew() : register());
    if (left) return void (lease && await store.revokeLease(lease));
    if (error) onError?.(error);
    else extend(sent, sentDate);
    // A lease that no longer exists is replaced at once.
    const gone = error !== undefined && lease === undefined;
    schedule(gone && registered ? 0 : error ? retryDelay : undefined);
    if (gone) registered = false;
  }

  function schedule(wait: Milliseconds = ENTRY_RENEWAL_INTERVAL): void {
    const jitter = 0.9 + random() / 10;
    cancelRenewal = timer.after(wait * jitter, () => void renewOrRegister());
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
    checkLapse();
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

  /**
   * Writes the key. On a conflict it replaces the key, which an earlier start
   * of this entry or a write with a lost answer has left.
   */
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

  void renewOrRegister();
  return {
    isValid,
    validUntil: () => validUntil,
    entries: listEntries,
    async leave() {
      left = true;
      cancelRenewal();
      cancelLapse();
      entriesCopy.stop();
      const held = lease;
      lease = undefined;
      if (held !== undefined) await store.revokeLease(held);
    },
  };
}

/** Decodes the presence of an entry; an empty list if it is malformed. */
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
