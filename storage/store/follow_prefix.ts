/**
 * Local copy of all items under a prefix, kept up to date by a watch.
 *
 * @module
 */

import {
  ErrorCode,
  type Milliseconds,
  type Random,
  SECOND,
  StepError,
  type Timer,
} from "@dragonflyledge/model";
import type { Change, Item, Store, Watch } from "./store.ts";

/** Copy of the items under a prefix, updated until `stop` is called. */
export interface PrefixCopy {
  /** Items by key. They stay as they were while the store is unavailable. */
  items(): ReadonlyMap<string, Item>;
  /** Whether the first listing has been applied. */
  ready(): boolean;
  /** Ends the updates. */
  stop(): void;
}

/** Delays before a failed watch is started again; they double each time. */
const initialRetryDelay = 200;
const maxRetryDelay = 5 * SECOND;
/** Delay before a watch that reached its lifetime is started again. */
const resumeDelay = 100;

/**
 * Keeps a copy of all items whose keys start with `prefix`. The items are
 * listed after the watch has started, so that no change is missed between the
 * two. A listing or change that is older than the copy is ignored. Delays
 * before a new watch are shortened at random by up to half, so that processes
 * do not call the store at the same moment.
 *
 * @param fields.onChange receives only what differs from the copy
 * @param fields.onReady called once the first listing has been applied
 * @param fields.onError receives the error that ended a watch or listing; the
 * copy retries by itself
 */
export function followPrefix(
  { store, prefix, timer, random, onChange, onReady, onError }: {
    store: Store;
    prefix: string;
    timer: Timer;
    random: Random;
    onChange?: (changes: Change[]) => void;
    onReady?: () => void;
    onError?: (error: StepError) => void;
  },
): PrefixCopy {
  const items = new Map<string, Item>();
  /** The copy contains all changes up to this revision of the store. */
  let copiedRevision = 0;
  let ready = false;
  let stopped = false;
  let failures = 0;
  let watch: Watch | undefined;
  let cancelResume = () => {};

  function start(): void {
    /** Changes received before the listing; undefined once it is applied. */
    let pending: Change[] | undefined = [];
    let ended = false;
    const end = (error: StepError | undefined) => {
      if (ended || stopped) return;
      ended = true;
      watch?.stop();
      resume(error);
    };
    watch = store.watch({
      prefix,
      onStart: () => void list(),
      onChange(changes) {
        if (pending) pending.push(...changes);
        else applyChanges(changes);
      },
      onEnd: end,
    });

    async function list(): Promise<void> {
      const listing = await store.listAt(prefix);
      if (ended || stopped) return;
      if (listing.isErr()) return end(listing.error);
      if (!applyListing(listing.value)) return end(staleListingError(prefix));
      failures = 0;
      const received = pending ?? [];
      pending = undefined;
      applyChanges(received);
      if (ready) return;
      ready = true;
      onReady?.();
    }
  }

  function resume(error: StepError | undefined): void {
    if (error) onError?.(error);
    const wait: Milliseconds = error
      ? Math.min(
        maxRetryDelay,
        initialRetryDelay * 2 ** Math.min(10, failures++),
      )
      : resumeDelay;
    cancelResume = timer.after(wait * (0.5 + random() / 2), start);
  }

  /** Replaces the copy by a listing. Returns false if the copy is newer. */
  function applyListing(
    listing: { items: Item[]; at: number },
  ): boolean {
    if (listing.at < copiedRevision) return false;
    const listed = new Set(listing.items.map((item) => item.key));
    const gone = [...items.keys()].filter((key) => !listed.has(key));
    copiedRevision = listing.at;
    update([
      ...listing.items.filter(isNewer),
      ...gone.map((key) => ({
        key,
        value: undefined,
        revision: copiedRevision,
      })),
    ]);
    return true;
  }

  function applyChanges(changes: Change[]): void {
    const fresh = changes.filter((change) => change.revision > copiedRevision);
    if (fresh.length === 0) return;
    copiedRevision = Math.max(...fresh.map((change) => change.revision));
    update(fresh);
  }

  const isNewer = (item: Item) =>
    item.revision > (items.get(item.key)?.revision ?? 0);

  /** Updates the copy and reports the changes. */
  function update(changes: Change[]): void {
    for (const { key, value, revision } of changes) {
      if (value === undefined) items.delete(key);
      else items.set(key, { key, value, revision });
    }
    if (changes.length > 0) onChange?.(changes);
  }

  start();
  return {
    items: () => items,
    ready: () => ready,
    stop() {
      stopped = true;
      cancelResume();
      watch?.stop();
    },
  };
}

function staleListingError(prefix: string): StepError {
  const code = ErrorCode.StoreAnswer;
  const message = `the listing of ${prefix} is older than the copy`;
  return new StepError({ code, step: "follow", peer: prefix, message });
}
