/**
 * Copy of all items under a prefix that follows their changes.
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

/** A copy that is kept up to date until it is stopped. */
export interface PrefixCopy {
  /** The latest copy, kept while the store is unavailable. */
  items(): ReadonlyMap<string, Item>;
  /** Whether the first listing has been read. */
  ready(): boolean;
  stop(): void;
}

/** Waits before a watch is resumed after failures. */
const initialRetryDelay = 200;
const maxRetryDelay = 5 * SECOND;
/** A watch that ended by itself is resumed soon, but not by all at once. */
const resumeDelay = 100;

/**
 * Follows a prefix. The listing is read once the watch has started, so that no
 * change falls between them, and a listing or change older than the copy is
 * ignored. `onChange` gets only what differs from the copy.
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
  /** Everything up to this revision of the store is in the copy. */
  let copied = 0;
  let ready = false;
  let stopped = false;
  let failures = 0;
  let watch: Watch | undefined;
  let cancelResume = () => {};

  function start(): void {
    /** Changes that came before the listing; undefined once it is applied. */
    let early: Change[] | undefined = [];
    let over = false;
    const end = (error: StepError | undefined) => {
      if (over || stopped) return;
      over = true;
      watch?.stop();
      resume(error);
    };
    watch = store.watch({
      prefix,
      onStart: () => void list(),
      onChange(changes) {
        if (early) early.push(...changes);
        else applyChanges(changes);
      },
      onEnd: end,
    });

    async function list(): Promise<void> {
      const listing = await store.listAt(prefix);
      if (over || stopped) return;
      if (listing.isErr()) return end(listing.error);
      if (!applyListing(listing.value)) {
        return end(staleListingError(prefix));
      }
      failures = 0;
      const missed = early ?? [];
      early = undefined;
      applyChanges(missed);
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

  /** Takes over a listing; false if it is older than the copy. */
  function applyListing(
    listing: { items: Item[]; at: number },
  ): boolean {
    if (listing.at < copied) return false;
    const listed = new Set(listing.items.map((item) => item.key));
    const gone = [...items.keys()].filter((key) => !listed.has(key));
    copied = listing.at;
    report([
      ...listing.items.filter(isNewer),
      ...gone.map((key) => ({ key, value: undefined, revision: copied })),
    ]);
    return true;
  }

  function applyChanges(changes: Change[]): void {
    const fresh = changes.filter((change) => change.revision > copied);
    if (fresh.length === 0) return;
    copied = Math.max(...fresh.map((change) => change.revision));
    report(fresh);
  }

  const isNewer = (item: Item) =>
    item.revision > (items.get(item.key)?.revision ?? 0);

  function report(changes: Change[]): void {
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
