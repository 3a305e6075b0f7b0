/**
 * Performs the reducer's effects that call the store, and dispatches the
 * results as events.
 *
 * @module
 */

import { ErrorCode, OutcomeKind, Reason, SECOND } from "@dragonflyledge/model";
import type {
  Claim,
  Clock,
  EntryEffect,
  EntryEvent,
  Milliseconds,
  StepError,
  Timer,
} from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";
import { NOT_SENT } from "@dragonflyledge/store";
import type { Records } from "./records.ts";

/** Delay before outcomes are written again after the store was unavailable. */
const SETTLE_RETRY_DELAY: Milliseconds = SECOND;
/**
 * Maximum number of outcomes that wait for the store. Beyond it, the oldest is
 * dropped and counted in the metric `claims.dropped`.
 */
const MAX_UNSETTLED_CLAIMS = 1000;
/** Maximum number of claims without an outcome whose creation time is kept. */
const MAX_CREATION_TIMES = 10_000;

/** An effect that this module performs. */
export type StoreEffect = Extract<
  EntryEffect,
  {
    kind:
      | "claim"
      | "settleClaim"
      | "readClaim"
      | "writeJob"
      | "loadJobs"
      | "writeHomes"
      | "fetchConfiguration"
      | "audit";
  }
>;

/** Performs store effects. Outcomes of claims are written one after another. */
export interface StoreEffects {
  perform(effect: StoreEffect): void;
  /** Ends the retries; a write that is under way is not tried again. */
  close(): void;
}

/** Creates the object that performs store effects through `records`. */
export function createStoreEffects(fields: {
  records: Records;
  clock: Clock;
  timer: Timer;
  observer: Observer;
  dispatch: (event: EntryEvent) => void;
}): StoreEffects {
  const { records, clock, timer, observer, dispatch } = fields;
  const unsettled: Claim[] = [];
  /**
   * Creation times of claims by request, since the reducer has no wall clock.
   */
  const created = new Map<string, string>();
  let settling = false;
  let closed = false;
  let cancelRetry = () => {};

  function countFailure(error: StepError): void {
    observer.count("store.failures", 1, { code: error.code, step: error.step });
  }

  /**
   * Sets the creation time of a claim. A repeated claim and its outcome get the
   * time of the first write.
   */
  function withCreated(claim: Claim): Claim {
    if (claim.created !== "") return claim;
    const time = created.get(claim.request) ?? clock.date().toISOString();
    created.set(claim.request, time);
    if (created.size > MAX_CREATION_TIMES) {
      created.delete(created.keys().next().value!);
    }
    return { ...claim, created: time };
  }

  async function claim(claims: Claim[]): Promise<void> {
    const results = await records.createClaims(claims.map(withCreated));
    if (results.isErr()) countFailure(results.error);
    dispatch({
      kind: "claimsAnswered",
      now: clock.now(),
      requests: claims.map((one) => one.request),
      results: results.unwrapOr(undefined),
    });
  }

  /** Writes the waiting outcomes in order, and retries after an outage. */
  async function settle(): Promise<void> {
    if (settling) return;
    settling = true;
    while (unsettled.length > 0) {
      const result = await records.settleClaim(unsettled[0]!);
      if (result.isErr()) {
        countFailure(result.error);
        if (result.error.code === ErrorCode.StoreUnavailable) break;
      } else if (result.value === "too-large") {
        // Without an outcome in the claim, repeated requests would wait for one
        // until the claim expires.
        unsettled[0] = withoutAnswer(unsettled[0]!);
        continue;
      }
      unsettled.shift();
    }
    settling = false;
    if (unsettled.length === 0 || closed) return;
    cancelRetry();
    cancelRetry = timer.after(SETTLE_RETRY_DELAY, () => void settle());
  }

  function queueOutcome(claim: Claim): void {
    unsettled.push(withCreated(claim));
    created.delete(claim.request);
    if (unsettled.length > MAX_UNSETTLED_CLAIMS) {
      unsettled.shift();
      observer.count("claims.dropped", 1, {});
    }
    void settle();
  }

  async function readClaim(
    effect: Extract<StoreEffect, { kind: "readClaim" }>,
  ): Promise<void> {
    const claim = await records.readClaim(effect);
    if (claim.isErr()) countFailure(claim.error);
    dispatch({
      kind: "claimRead",
      now: clock.now(),
      request: effect.request,
      claim: claim.unwrapOr(undefined),
    });
  }

  async function writeJob(
    effect: Extract<StoreEffect, { kind: "writeJob" }>,
  ): Promise<void> {
    const result = await records.writeJob(effect);
    const base = {
      kind: "jobWritten" as const,
      job: effect.record.id,
      write: effect.write,
    };
    if (result.isErr()) {
      countFailure(result.error);
      const unsent = result.error.step === NOT_SENT;
      const failed = {
        result: unsent ? "not-sent" as const : "unavailable" as const,
        revision: 0,
      };
      return dispatch({ ...base, ...failed, now: clock.now() });
    }
    const written = result.value;
    if (written.kind === "stored") {
      const { revision } = written;
      return dispatch({
        ...base,
        now: clock.now(),
        result: "stored",
        revision,
      });
    }
    dispatch({
      ...base,
      now: clock.now(),
      result: "conflict",
      revision: written.current?.revision ?? 0,
      current: written.current?.record,
    });
  }

  async function loadJobs(): Promise<void> {
    const jobs = await records.listJobs();
    if (jobs.isErr()) return countFailure(jobs.error);
    dispatch({ kind: "jobsLoaded", now: clock.now(), jobs: jobs.value });
  }

  async function writeHomes(
    effect: Extract<StoreEffect, { kind: "writeHomes" }>,
  ): Promise<void> {
    const result = await records.writeHomes(effect.homes);
    if (result.isErr()) countFailure(result.error);
    dispatch({
      kind: "homesWritten",
      now: clock.now(),
      version: effect.homes.version,
      result: result.isOk() ? result.value.kind : "unavailable",
    });
  }

  async function fetchConfiguration(): Promise<void> {
    const read = await records.readConfiguration();
    if (read.isErr()) return countFailure(read.error);
    const configuration = read.value?.configuration;
    if (configuration === undefined) return;
    const now = clock.now();
    dispatch({ kind: "configurationSeen", now, configuration });
  }

  function perform(effect: StoreEffect): void {
    switch (effect.kind) {
      case "claim":
        void claim(effect.claims);
        return;
      case "settleClaim":
        return queueOutcome(effect.claim);
      case "readClaim":
        void readClaim(effect);
        return;
      case "writeJob":
        void writeJob(effect);
        return;
      case "loadJobs":
        void loadJobs();
        return;
      case "writeHomes":
        void writeHomes(effect);
        return;
      case "fetchConfiguration":
        void fetchConfiguration();
        return;
      case "audit":
        records.appendAudit(effect.record);
    }
  }

  function close(): void {
    closed = true;
    cancelRetry();
  }

  return { perform, close };
}

/**
 * Replaces an outcome that is too large for the store by an unknown outcome.
 * The work ran, but repeated requests cannot get its answer.
 */
function withoutAnswer(claim: Claim): Claim {
  const reason = Reason.AnswerTooLong;
  return { ...claim, outcome: { kind: OutcomeKind.Unknown, reason } };
}
