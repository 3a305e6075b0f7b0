/**
 * In-memory store with fault injection.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  ErrorCode,
  type Milliseconds,
  StepError,
  STORE_VALUE_LIMIT,
  type Timer,
} from "@dragonflyledge/model";
import {
  type Item,
  type Listing,
  MAX_WRITES_PER_CALL,
  type Store,
  type Write,
  type WriteResult,
} from "@dragonflyledge/store";
import { createMemoryModel, type MemoryModel } from "./memory_model.ts";
import { createSystemTime } from "./system_timer.ts";

/** Faults of the store. A test sets and clears them at any time. */
export interface StoreFaults {
  /** Every call fails, and running watches end. */
  down: boolean;
  /**
   * While `down` is set, the fake etcd server leaves calls unanswered instead
   * of closing their connections.
   */
  hang: boolean;
  /** Calls are performed and answered after this time. */
  delay: Milliseconds;
  /**
   * This many writes and lease calls take effect, and their answers are lost.
   */
  lostAnswers: number;
  /** This many reads are answered as by a lagging replica. */
  staleReads: number;
  /** Stale answers contain the current revision of the store. */
  hideStaleness: boolean;
}

/** One call as the store received it. */
export interface StoreCall {
  kind: "get" | "list" | "write" | "grant" | "renew" | "revoke" | "watch";
  /** Key, prefix or lease. The keys of a write are joined with commas. */
  key: string;
  at: Milliseconds;
}

/** In-memory store whose faults a test controls. */
export interface MemoryStore extends Store {
  readonly faults: StoreFaults;
  /** All calls since the start, in order. */
  readonly calls: StoreCall[];
  readonly model: MemoryModel;
  readonly timer: Timer;
  /** Deletes a lease and its keys, as if its holder had failed to renew it. */
  lapse(lease: string): void;
  /** Ends all running watches. */
  endWatches(): void;
  /** Calls `task` when `endWatches` is called or the store goes down. */
  onWatchesEnd(task: () => void): () => void;
  /** Appends a call to `calls`. */
  record(kind: StoreCall["kind"], key: string): void;
  /**
   * Reads one key if `exact` is set, and otherwise all keys that begin with
   * `prefix`. The stale-read faults apply.
   */
  read(prefix: string, exact: boolean): Listing;
  /** Performs writes directly, without faults and without recording a call. */
  apply(writes: Write[]): Result<WriteResult[], StepError>;
  /** Cancels the timers of all leases. */
  stop(): void;
}

/** Creates an empty store. The default `timer` is that of the system. */
export function createMemoryStore(
  { clock, timer = createSystemTime() }: { clock: Clock; timer?: Timer },
): MemoryStore {
  const model = createMemoryModel({ clock, timer });
  const calls: StoreCall[] = [];
  const endings = new Set<() => void>();
  const endWatches = () => [...endings].forEach((end) => end());
  const faults = createFaults(endWatches);
  const record: MemoryStore["record"] = (kind, key) =>
    void calls.push({ kind, key, at: clock.now() });

  /** Records a call, waits for the delay, and performs it with its faults. */
  async function call<T>(
    kind: StoreCall["kind"],
    key: string,
    run: () => Result<T, StepError>,
  ): Promise<Result<T, StepError>> {
    record(kind, key);
    if (faults.delay > 0) {
      await new Promise<void>((done) => void timer.after(faults.delay, done));
    }
    if (faults.down) return err(unavailable(kind, "the store is down"));
    const result = run();
    const losesAnswer = !["get", "list"].includes(kind) &&
      faults.lostAnswers > 0;
    if (!losesAnswer) return await Promise.resolve(result);
    faults.lostAnswers--;
    return err(unavailable(kind, "the answer was lost"));
  }

  function read(prefix: string, exact: boolean): Listing {
    const covers = (key: string) =>
      exact ? key === prefix : key.startsWith(prefix);
    if (faults.staleReads > 0) {
      faults.staleReads--;
      const stale = model.readStale(covers);
      return faults.hideStaleness ? { ...stale, at: model.revision() } : stale;
    }
    const items = model.list(prefix).filter((item) => covers(item.key));
    return { items, at: model.revision() };
  }

  const getAt: Store["getAt"] = (key) =>
    call("get", key, () => {
      const { items, at } = read(key, true);
      return ok({ item: items[0], at });
    });
  const listAt: Store["listAt"] = (prefix) =>
    call("list", prefix, () => ok(read(prefix, false)));

  return {
    faults,
    calls,
    model,
    timer,
    record,
    read,
    endWatches,
    onWatchesEnd(task) {
      endings.add(task);
      return () => void endings.delete(task);
    },
    apply: (writes) => applyWrites(model, writes),
    lapse: (lease) => void model.revoke(lease),
    stop: () => model.stop(),
    getAt,
    listAt,
    get: async (key) => (await getAt(key)).map((reading) => reading.item),
    list: async (prefix) =>
      (await listAt(prefix)).map((listing) => listing.items),
    listKeys: async (prefix) =>
      (await listAt(prefix)).map(({ items }) =>
        items.map(({ key, revision }) => ({ key, revision }))
      ),
    write: (writes) =>
      call(
        "write",
        writes.map((write) => write.key).join(","),
        () => applyWrites(model, writes),
      ),
    grantLease: (length) =>
      call("grant", "", () => ok(model.grant(Math.ceil(length / 1000) * 1000))),
    renewLease: (lease) =>
      call("renew", lease, () => {
        const remaining = model.renew(lease);
        return remaining === undefined
          ? err(refused("renew", `lease ${lease} does not exist`))
          : ok(remaining);
      }),
    revokeLease: (lease) =>
      call(
        "revoke",
        lease,
        () =>
          model.revoke(lease)
            ? ok(undefined)
            : err(refused("revoke", `lease ${lease} does not exist`)),
      ),
    watch({ prefix, onStart, onChange, onEnd }) {
      record("watch", prefix);
      let stopped = false;
      let unsubscribe = () => {};
      const stop = () => {
        stopped = true;
        endings.delete(end);
        unsubscribe();
      };
      const end = () => {
        stop();
        onEnd(unavailable("watch", "the watch ended"));
      };
      endings.add(end);
      queueMicrotask(() => {
        if (stopped) return;
        if (faults.down) return end();
        unsubscribe = model.subscribe(prefix, onChange);
        onStart?.();
      });
      return { stop };
    },
  };
}

/** Creates faults that are all off. Setting `down` calls `onDown`. */
function createFaults(onDown: () => void): StoreFaults {
  let down = false;
  return {
    get down() {
      return down;
    },
    set down(value) {
      down = value;
      if (value) onDown();
    },
    hang: false,
    delay: 0,
    lostAnswers: 0,
    staleReads: 0,
    hideStaleness: false,
  };
}

/** Performs the writes whose revision matches, in one transaction. */
function applyWrites(
  model: MemoryModel,
  writes: Write[],
): Result<WriteResult[], StepError> {
  const problem = findProblem(model, writes);
  if (problem) return err(refused("write", problem));
  const results = model.transact((transaction) =>
    writes.map((write): Item | "stored" | "absent" => {
      const current = transaction.get(write.key);
      if ((current?.revision ?? 0) !== write.revision) {
        return current ?? "absent";
      }
      if (write.value === undefined) transaction.remove(write.key);
      else transaction.put(write.key, write.value, write.lease);
      return "stored";
    })
  );
  return ok(results.map((result): WriteResult => {
    if (result === "stored") {
      return { kind: "stored", revision: model.revision() };
    }
    const current = result === "absent" ? undefined : result;
    return { kind: "conflict", current };
  }));
}

/** Returns why the store would refuse the writes, or `undefined`. */
function findProblem(
  model: MemoryModel,
  writes: Write[],
): string | undefined {
  if (writes.length > MAX_WRITES_PER_CALL) return "too many operations";
  if (new Set(writes.map((write) => write.key)).size < writes.length) {
    return "duplicate key given in txn request";
  }
  for (const { value, lease } of writes) {
    if (Buffer.byteLength(value ?? "") > STORE_VALUE_LIMIT) {
      return "request is too large";
    }
    if (lease && !model.hasLease(lease)) return "requested lease not found";
  }
  return undefined;
}

function unavailable(step: string, message: string): StepError {
  const code = ErrorCode.StoreUnavailable;
  return new StepError({ code, step, peer: "memory store", message });
}

function refused(step: string, message: string): StepError {
  const code = ErrorCode.StoreAnswer;
  return new StepError({ code, step, peer: "memory store", message });
}
