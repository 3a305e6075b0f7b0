/**
 * Follows all keys with a prefix: lists them once, then watches for changes, and
 * lists them again where the missed changes may be too long to read.
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

/** A watch without changes is answered when the last known state is this old. */
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
  /** Monotonic time as of which the store's state is known. */
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
  /**
   * Whether to list again after each failed call, and after changes that hold
   * several values of a key. A watch returns all of them, so that with large
   * values its answer grows faster than a slow link carries it; a list has only
   * the last one of each key.
   */
  listsWhenBehind: boolean;
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

  /**
   * Waits for changes after a revision and passes them on. Returns the revision
   * from which to go on; undefined if the keys must be listed again.
   */
  async function watch(
    own: number,
    prefix: string,
    after: number,
  ): Promise<number | undefined> {
    const sentAt = clock.now();
    const age = sentAt - freshAt;
    const wait = Math.max(0, Math.round(WATCH_WAIT - age));
    const answer = await store.watch({ prefix, after, wait });
    if (own !== generation) return undefined;
    if (answer.isErr()) {
      reportTrouble("watch", sentAt, answer.error);
      await sleep({ timer, delay: RETRY_DELAY });
      // The whole answer may be too long to arrive; the pages of a list are not.
      const isIncomplete = answer.error.receivedBytes !== undefined;
      return fields.listsWhenBehind || isIncomplete ? undefined : after;
    }
    reportAnswer();
    if (answer.value.kind === "compacted") return undefined;
    const { changes, revision } = answer.value;
    if (changes.length === 0) {
      // The store waited for changes all the while.
      freshAt = Math.min(sentAt + wait, clock.now());
      return revision;
    }
    freshAt = sentAt;
    fields.onChanges(changes);
    const pause = fields.pause();
    if (pause > 0) await sleep({ timer, delay: pause });
    const isBehind = fields.listsWhenBehind && hasRepeatedKey(changes);
    return isBehind ? undefined : revision;
  }

  async function listAndWatch(own: number, prefix: string): Promise<void> {
    let after: number | undefined;
    while (own === generation) {
      after = after === undefined
        ? await list(own)
        : await watch(own, prefix, after);
    }
  }

  const restart = (prefix: string) => {
    generation++;
    void listAndWatch(generation, prefix);
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

/** Whether several of the changes concern the same key. */
function hasRepeatedKey(changes: Change[]): boolean {
  const keys = changes.map((change) =>
    change.kind === "put" ? change.item.key : change.key
  );
  return new Set(keys).size < keys.length;
}
