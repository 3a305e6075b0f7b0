/**
 * Follows all keys below a prefix: a list first, then its changes.
 *
 * @module
 */

import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Change, Item, KeyValue } from "@dragonflyledge/platform";

/** The store holds a watch on which nothing changes for this long. */
const WATCH_WAIT: Milliseconds = 1000;
const RETRY_DELAY: Milliseconds = 150;

/** A running follower. */
export interface Follower {
  /** Steady time up to which the store's state is known. */
  freshAt(): Milliseconds;
  /** Whether a list was taken in. */
  isListed(): boolean;
  /** Whether the store left the last call without success. */
  isFailing(): boolean;
  /** Lists again, and goes on with another prefix. */
  restart(prefix: string): void;
  stop(): void;
}

/** Follows `prefix` until it is stopped. */
export function follow(fields: {
  store: KeyValue;
  /** All items below this prefix are listed at each start. */
  listPrefix: string;
  clock: Clock;
  timer: Timer;
  /** Pause between two watches, in which changes collect. */
  pause: () => Milliseconds;
  onList: (items: Item[]) => void;
  onChanges: (changes: Change[]) => void;
  onTrouble: (reason: string | undefined) => void;
}): Follower {
  const { store, clock, timer } = fields;
  let freshAt = -Infinity;
  let listed = false;
  let generation = 0;
  let troubled = false;

  const sleep = (delay: Milliseconds) =>
    new Promise<void>((resolve) => {
      timer.after(delay, resolve);
    });

  function note(reason: string | undefined): void {
    if (troubled === (reason !== undefined)) return;
    troubled = reason !== undefined;
    fields.onTrouble(reason);
  }

  async function list(own: number): Promise<number | undefined> {
    while (own === generation) {
      const sentAt = clock.now();
      const answer = await store.list(fields.listPrefix);
      if (own !== generation) return undefined;
      if (answer.isOk()) {
        note(undefined);
        fields.onList(answer.value.items);
        listed = true;
        freshAt = sentAt;
        return answer.value.revision;
      }
      note(answer.error.reason);
      await sleep(RETRY_DELAY);
    }
    return undefined;
  }

  async function run(own: number, prefix: string): Promise<void> {
    let after = await list(own);
    while (own === generation && after !== undefined) {
      const sentAt = clock.now();
      const answer = await store.watch({ prefix, after, wait: WATCH_WAIT });
      if (own !== generation) return;
      if (answer.isErr()) {
        note(answer.error.reason);
        await sleep(RETRY_DELAY);
        continue;
      }
      note(undefined);
      if (answer.value.kind === "compacted") {
        after = await list(own);
        continue;
      }
      freshAt = sentAt;
      after = answer.value.revision;
      if (answer.value.changes.length === 0) continue;
      fields.onChanges(answer.value.changes);
      const pause = fields.pause();
      if (pause > 0) await sleep(pause);
    }
  }

  const restart = (prefix: string) => {
    generation++;
    void run(generation, prefix);
  };
  return {
    freshAt: () => freshAt,
    isListed: () => listed,
    isFailing: () => troubled,
    restart,
    stop: () => {
      generation++;
    },
  };
}
