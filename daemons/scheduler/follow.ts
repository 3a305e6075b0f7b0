/**
 * Follows all keys with a prefix: lists them once, then watches for changes.
 *
 * @module
 */

import { sleep } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type {
  Change,
  Item,
  KeyValue,
  StoreFailure,
} from "@dragonflyledge/platform";

/** The store answers a watch without changes after this long. */
const WATCH_WAIT: Milliseconds = 1000;
const RETRY_DELAY: Milliseconds = 150;

/** A call of a follower that failed. */
export interface FollowFailure extends StoreFailure {
  call: "list" | "watch";
  /** Time from the call to its failure. */
  duration: Milliseconds;
}

/** Follows a prefix of the store until it is stopped. */
export interface Follower {
  /** Monotonic time up to which the store's state is known. */
  freshAt(): Milliseconds;
  /** Whether a list has been received. */
  isListed(): boolean;
  /** Whether the last call to the store failed. */
  isFailing(): boolean;
  /** Lists again, and then watches the keys with `prefix`. */
  restart(prefix: string): void;
  stop(): void;
}

/** Creates a follower; it starts with the first `restart`. */
export function follow(fields: {
  store: KeyValue;
  /** Prefix of the items that are listed at each restart. */
  listPrefix: string;
  clock: Clock;
  timer: Timer;
  /** Pause after changes, so that one answer carries several. */
  pause: () => Milliseconds;
  /** Called with the items of a list that was begun at `revision`. */
  onList: (items: Item[], revision: number) => void;
  onChanges: (changes: Change[]) => void;
  /**
   * Called with the first failure and each one of an answer that began, and with
   * undefined at recovery.
   */
  onTrouble: (failure: FollowFailure | undefined) => void;
}): Follower {
  const { store, clock, timer } = fields;
  let freshAt = -Infinity;
  let listed = false;
  let generation = 0;
  let troubled = false;

  function reportTrouble(
    call: FollowFailure["call"],
    sentAt: Milliseconds,
    failure: StoreFailure,
  ): void {
    const isFirst = !troubled;
    troubled = true;
    if (!isFirst && !failure.receivedBytes) return;
    fields.onTrouble({ ...failure, call, duration: clock.now() - sentAt });
  }

  function reportAnswer(): void {
    if (!troubled) return;
    troubled = false;
    fields.onTrouble(undefined);
  }

  async function list(own: number): Promise<number | undefined> {
    while (own === generation) {
      const sentAt = clock.now();
      const answer = await store.list(fields.listPrefix);
      if (own !== generation) return undefined;
      if (answer.isOk()) {
        reportAnswer();
        fields.onList(answer.value.items, answer.value.revision);
        listed = true;
        freshAt = sentAt;
        return answer.value.revision;
      }
      reportTrouble("list", sentAt, answer.error);
      await sleep({ timer, delay: RETRY_DELAY });
    }
    return undefined;
  }

  async function watchChanges(own: number, prefix: string): Promise<void> {
    let after = await list(own);
    while (own === generation && after !== undefined) {
      const sentAt = clock.now();
      const answer = await store.watch({ prefix, after, wait: WATCH_WAIT });
      if (own !== generation) return;
      if (answer.isErr()) {
        reportTrouble("watch", sentAt, answer.error);
        await sleep({ timer, delay: RETRY_DELAY });
        continue;
      }
      reportAnswer();
      if (answer.value.kind === "compacted") {
        after = await list(own);
        continue;
      }
      freshAt = sentAt;
      after = answer.value.revision;
      if (answer.value.changes.length === 0) continue;
      fields.onChanges(answer.value.changes);
      const pause = fields.pause();
      if (pause > 0) await sleep({ timer, delay: pause });
    }
  }

  const restart = (prefix: string) => {
    generation++;
    void watchChanges(generation, prefix);
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
