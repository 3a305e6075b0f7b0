/**
 * Guard in front of the store: circuit breaker, call budget, coalescing of
 * equal reads, and refusal of answers that are older than what was seen.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  ErrorCode,
  type Milliseconds,
  type Random,
  SECOND,
  StepError,
  type Timer,
} from "@dragonflyledge/model";
import { type BreakerState, createBreaker } from "./breaker.ts";
import { type CallBudget, createCallBudget } from "./call_budget.ts";
import { createRevisionTracker } from "./freshness.ts";
import { startGuardedWatch } from "./guarded_watch.ts";
import type { Reading, Store } from "./store.ts";

/** Calls that one process may make. */
export interface Budget {
  readsPerSecond: number;
  writesPerSecond: number;
  /** Longest wait of a call for its turn. */
  maxWait: Milliseconds;
}

/**
 * Budget of one process. The platform accepts several hundred writes and about
 * 2,000 reads a second in total; five entries stay within half of that.
 */
export const DEFAULT_BUDGET: Budget = {
  readsPerSecond: 200,
  writesPerSecond: 40,
  maxWait: 500,
};

/** Counts since the start, for metrics. */
export interface StoreCounters {
  get: number;
  list: number;
  write: number;
  lease: number;
  watch: number;
  /** Calls that ended with `DFL_STORE_UNAVAILABLE`. */
  failed: number;
  /** Calls that the open breaker refused. */
  refused: number;
  /** Calls that the budget refused, and those that it held. */
  overBudget: number;
  held: number;
  coalesced: number;
  /** Answers that were not believed. */
  stale: number;
  /** Watches that wait now. */
  watching: number;
}

/** A guarded store with its figures. */
export interface GuardedStore extends Store {
  readonly counters: Readonly<StoreCounters>;
  breakerState(): BreakerState;
}

/** Step of errors for calls that were certainly not sent. */
export const NOT_SENT = "admit";

/** How long calls are spread after the store has come back. */
const recoveryDuration = 1 * SECOND;

/** Kind of a call; lease calls are neither held nor spread, since leases lapse. */
type CallKind = "get" | "list" | "write" | "lease" | "watch";

/**
 * Returns the guard.
 *
 * @param fields.timeout deadline of each call, for stores that have none
 */
export function createGuardedStore(
  {
    store,
    clock,
    timer,
    random,
    budget = DEFAULT_BUDGET,
    timeout = 3 * SECOND,
    peer = "store",
  }: {
    store: Store;
    clock: Clock;
    timer: Timer;
    random: Random;
    budget?: Budget;
    timeout?: Milliseconds;
    peer?: string;
  },
): GuardedStore {
  const counters = createCounters();
  const breaker = createBreaker({ clock, random });
  const freshness = createRevisionTracker();
  const bucket = (perSecond: number) =>
    createCallBudget({
      clock,
      perSecond,
      burst: perSecond,
      maxWait: budget.maxWait,
    });
  const reads = bucket(budget.readsPerSecond);
  const writes = bucket(budget.writesPerSecond);
  const reading = new Map<string, Promise<Result<Reading, StepError>>>();

  const fail = (code: ErrorCode, step: string, message: string) =>
    err(new StepError({ code, step, peer, message }));
  const sleep = (delay: Milliseconds) =>
    new Promise<void>((done) => void timer.after(delay, done));

  function refuse() {
    counters.refused++;
    const message = "the store is failing; calls wait for a probe";
    return fail(ErrorCode.StoreUnavailable, NOT_SENT, message);
  }

  /** Waits for the turn of a call. */
  async function admit(kind: CallKind): Promise<Result<void, StepError>> {
    if (breaker.refuses()) return refuse();
    const calls = kind === "write" || kind === "lease" ? writes : reads;
    if (kind === "lease") calls.charge();
    else {
      const held = await hold(calls);
      if (held.isErr()) return held;
    }
    return breaker.admit() ? ok(undefined) : refuse();
  }

  async function hold(calls: CallBudget): Promise<Result<void, StepError>> {
    const wait = calls.take();
    if (wait === undefined) {
      counters.overBudget++;
      const message = `over the call budget for more than ${budget.maxWait} ms`;
      return fail(ErrorCode.StoreBudget, NOT_SENT, message);
    }
    const recovered = breaker.closedAt() + recoveryDuration;
    const spread = Math.max(0, recovered - clock.now()) * random();
    if (wait + spread > 0) {
      counters.held++;
      await sleep(wait + spread);
    }
    return ok(undefined);
  }

  async function perform<T>(
    kind: CallKind,
    run: () => Promise<Result<T, StepError>>,
  ): Promise<Result<T, StepError>> {
    const admitted = await admit(kind);
    if (admitted.isErr()) return err(admitted.error);
    counters[kind]++;
    const result = await withDeadline(kind, run);
    const failed = result.isErr() &&
      result.error.code === ErrorCode.StoreUnavailable;
    if (!failed) breaker.succeed();
    else {
      counters.failed++;
      breaker.fail();
    }
    return result;
  }

  /** Ends each call, so that a probe cannot leave the breaker half-open. */
  function withDeadline<T>(
    kind: CallKind,
    run: () => Promise<Result<T, StepError>>,
  ): Promise<Result<T, StepError>> {
    return new Promise((resolve) => {
      const end = (message: string) =>
        resolve(fail(ErrorCode.StoreUnavailable, kind, message));
      const cancel = timer.after(
        timeout,
        () => end(`no answer within ${timeout} ms`),
      );
      Promise.resolve().then(run).then(resolve)
        .catch((cause: unknown) => end(`the call failed: ${cause}`))
        .finally(cancel);
    });
  }

  function disbelieve(step: string, key: string) {
    counters.stale++;
    const message = `the answer for ${key} is older than one seen before`;
    return fail(ErrorCode.StoreAnswer, step, message);
  }

  async function readFresh(key: string): Promise<Result<Reading, StepError>> {
    let floor = 0;
    const result = await perform("get", () => {
      floor = freshness.highestRevision();
      return store.getAt(key);
    });
    if (result.isErr()) return result;
    const stale = freshness.isStaleReading(key, result.value, floor);
    if (stale) return disbelieve("get", key);
    if (result.value.item) {
      freshness.record(key, result.value.item.revision);
    }
    return result;
  }

  const getAt: Store["getAt"] = (key) => {
    const running = reading.get(key);
    if (running) {
      counters.coalesced++;
      return running;
    }
    const call = readFresh(key).finally(() => {
      if (reading.get(key) === call) reading.delete(key);
    });
    reading.set(key, call);
    return call;
  };

  const listAt: Store["listAt"] = async (prefix) => {
    let floor = 0;
    const result = await perform("list", () => {
      floor = freshness.highestRevision();
      return store.listAt(prefix);
    });
    if (result.isErr()) return result;
    const stale = freshness.isStaleListing(result.value, floor);
    if (stale) return disbelieve("list", prefix);
    for (const item of result.value.items) {
      freshness.record(item.key, item.revision);
    }
    return result;
  };

  const write: Store["write"] = async (batch) => {
    const result = await perform("write", () => store.write(batch));
    // A read that is under way may have been answered before the write.
    for (const { key } of batch) reading.delete(key);
    if (result.isErr()) return result;
    result.value.forEach((outcome, index) => {
      const key = batch[index]!.key;
      const revision = outcome.kind === "stored"
        ? outcome.revision
        : outcome.current?.revision;
      if (revision !== undefined) freshness.record(key, revision);
    });
    return result;
  };

  return {
    counters,
    breakerState: breaker.state,
    getAt,
    listAt,
    listKeys: (prefix) => perform("list", () => store.listKeys(prefix)),
    write,
    get: async (key) => (await getAt(key)).map(({ item }) => item),
    list: async (prefix) => (await listAt(prefix)).map(({ items }) => items),
    grantLease: (length) => perform("lease", () => store.grantLease(length)),
    renewLease: (lease) => perform("lease", () => store.renewLease(lease)),
    revokeLease: (lease) => perform("lease", () => store.revokeLease(lease)),
    watch: (fields) =>
      startGuardedWatch({
        ...fields,
        store,
        counters,
        admit: () => hold(reads),
        refused: () => breaker.state() === "closed" ? undefined : refuse(),
        note: freshness.record,
      }),
  };
}

function createCounters(): StoreCounters {
  return {
    get: 0,
    list: 0,
    write: 0,
    lease: 0,
    watch: 0,
    failed: 0,
    refused: 0,
    overBudget: 0,
    held: 0,
    coalesced: 0,
    stale: 0,
    watching: 0,
  };
}
