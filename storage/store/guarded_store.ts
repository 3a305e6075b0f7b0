/**
 * Guard in front of the store: circuit breaker, call budget, coalescing of
 * equal reads, and refusal of answers older than a revision seen before.
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

/** Rate of calls that one process may make. */
export interface Budget {
  readsPerSecond: number;
  writesPerSecond: number;
  /** A call that would have to wait longer for its turn is refused. */
  maxWait: Milliseconds;
}

/**
 * Default budget of one process. The platform accepts several hundred writes
 * and about 2,000 reads a second in total. Five entries stay within half of
 * that.
 */
export const DEFAULT_BUDGET: Budget = {
  readsPerSecond: 200,
  writesPerSecond: 40,
  maxWait: 500,
};

/** Numbers of calls since the process started, for metrics. */
export interface StoreCounters {
  get: number;
  list: number;
  write: number;
  lease: number;
  watch: number;
  /** Calls that ended with `DFL_STORE_UNAVAILABLE`. */
  failed: number;
  /** Calls that the breaker refused. */
  refused: number;
  /** Calls that the budget refused. */
  overBudget: number;
  /** Calls that were delayed by the budget or after a recovery. */
  held: number;
  /** Reads that shared the call of an equal read. */
  coalesced: number;
  /** Answers that were refused because they were older than one seen before. */
  stale: number;
  /** Watches that are open now. */
  watching: number;
}

/** A guarded store with its counters and the state of its breaker. */
export interface GuardedStore extends Store {
  readonly counters: Readonly<StoreCounters>;
  breakerState(): BreakerState;
}

/** `step` of errors of calls that were never sent to the store. */
export const NOT_SENT = "admit";

/**
 * Time after the breaker closes in which calls are delayed at random, so that
 * they do not all reach the store at once.
 */
const recoveryDuration = 1 * SECOND;

/** Kind of a call. Lease calls are never delayed, since leases expire. */
type CallKind = "get" | "list" | "write" | "lease" | "watch";

/**
 * Creates a store that passes calls on to `store` within the limits of the
 * guard. Refused calls fail with `DFL_STORE_UNAVAILABLE` (breaker) or
 * `DFL_STORE_BUDGET` (budget) and the step `NOT_SENT`; stale answers fail with
 * `DFL_STORE_ANSWER`.
 *
 * @param fields.timeout deadline of each call, also for a store without
 * deadlines of its own; default 3 s
 * @param fields.peer name of the store in errors
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
  const revisions = createRevisionTracker();
  const createBudget = (perSecond: number) =>
    createCallBudget({
      clock,
      perSecond,
      burst: perSecond,
      maxWait: budget.maxWait,
    });
  const reads = createBudget(budget.readsPerSecond);
  const writes = createBudget(budget.writesPerSecond);
  /** Reads under way, by key. */
  const pendingReads = new Map<string, Promise<Result<Reading, StepError>>>();

  const fail = (code: ErrorCode, step: string, message: string) =>
    err(new StepError({ code, step, peer, message }));
  const sleep = (delay: Milliseconds) =>
    new Promise<void>((done) => void timer.after(delay, done));

  function refuse() {
    counters.refused++;
    const message = "the circuit breaker is open because the store is failing";
    return fail(ErrorCode.StoreUnavailable, NOT_SENT, message);
  }

  /** Waits until a call may be sent; fails if the guard refuses it. */
  async function admit(kind: CallKind): Promise<Result<void, StepError>> {
    if (breaker.refuses()) return refuse();
    const calls = kind === "write" || kind === "lease" ? writes : reads;
    if (kind === "lease") calls.charge();
    else {
      const waited = await hold(calls);
      if (waited.isErr()) return waited;
    }
    return breaker.admit() ? ok(undefined) : refuse();
  }

  /** Waits for a token of the budget, and longer after a recovery. */
  async function hold(
    calls: CallBudget,
  ): Promise<Result<void, StepError>> {
    const wait = calls.take();
    if (wait === undefined) {
      counters.overBudget++;
      const message =
        `the call budget would delay the call for more than ${budget.maxWait} ms`;
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

  /**
   * Sends a call once it is admitted, and reports its result to the breaker.
   */
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

  /**
   * Ends the call after `timeout`. A probe without an end would leave the
   * breaker half-open for good.
   */
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

  function rejectStale(step: string, key: string) {
    counters.stale++;
    const message = `the answer for ${key} is older than one seen before`;
    return fail(ErrorCode.StoreAnswer, step, message);
  }

  async function readFresh(key: string): Promise<Result<Reading, StepError>> {
    let floor = 0;
    const result = await perform("get", () => {
      floor = revisions.highestRevision();
      return store.getAt(key);
    });
    if (result.isErr()) return result;
    const stale = revisions.isStaleReading(key, result.value, floor);
    if (stale) return rejectStale("get", key);
    if (result.value.item) revisions.record(key, result.value.item.revision);
    return result;
  }

  const getAt: Store["getAt"] = (key) => {
    const running = pendingReads.get(key);
    if (running) {
      counters.coalesced++;
      return running;
    }
    const call = readFresh(key).finally(() => {
      if (pendingReads.get(key) === call) pendingReads.delete(key);
    });
    pendingReads.set(key, call);
    return call;
  };

  const listAt: Store["listAt"] = async (prefix) => {
    let floor = 0;
    const result = await perform("list", () => {
      floor = revisions.highestRevision();
      return store.listAt(prefix);
    });
    if (result.isErr()) return result;
    const stale = revisions.isStaleListing(result.value, floor);
    if (stale) return rejectStale("list", prefix);
    for (const item of result.value.items) {
      revisions.record(item.key, item.revision);
    }
    return result;
  };

  const write: Store["write"] = async (batch) => {
    const result = await perform("write", () => store.write(batch));
    // A read under way may have been answered before the write, so later reads
    // must not share its answer.
    for (const { key } of batch) pendingReads.delete(key);
    if (result.isErr()) return result;
    result.value.forEach((outcome, index) => {
      const key = batch[index]!.key;
      const revision = outcome.kind === "stored"
        ? outcome.revision
        : outcome.current?.revision;
      if (revision !== undefined) revisions.record(key, revision);
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
        checkBreaker: () => breaker.state() === "closed" ? undefined : refuse(),
        record: revisions.record,
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
