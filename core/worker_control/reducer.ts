/**
 * Reducer of an agent, which controls the runs of one worker on behalf of the
 * leader.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import { recordCrash } from "./crash.ts";
import { callToken } from "./fence.ts";
import { noteGrantEnd } from "./grant.ts";
import {
  computeLeaseEnd,
  latestEarlierLeaseEnd,
  recordExtension,
} from "./lease.ts";
import { log } from "./log.ts";
import { applyOrders } from "./orders.ts";
import {
  CALL_DELAY_LIMIT,
  hasMisdirected,
  haveAllAcceptedStop,
  noteStartSettled,
} from "./open_starts.ts";
import { sendReportIfDue } from "./report.ts";
import { sendDueCalls, updateFromLists } from "./run_control.ts";
import { ControlPhase, HOLD_WAIT } from "./state.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlledWorker,
  ControlState,
  ControlTimes,
} from "./state.ts";
import {
  applyAnnouncement,
  markLeaving,
  replaceIncarnation,
} from "./worker.ts";

/** Delay before a hold or a stop call that failed is repeated. */
const HOLD_RETRY_DELAY: Milliseconds = 150;
/** Failed hold calls in a row after which the worker counts as unreachable. */
const FAILED_HOLD_LIMIT = 2;
/** A worker that still answers this long after a deregistration sent none. */
const LEAVE_DURATION: Milliseconds = 1000;

/** Reducer of an agent, with its state. */
export interface WorkerControl {
  /** Applies an event, and returns the effects that the caller carries out. */
  reduce(event: ControlEvent): ControlEffect[];
  readonly state: ControlState;
}

/**
 * Creates the reducer of an agent that has not heard from a worker yet.
 * `process` names the process, and differs for each one.
 */
export function createWorkerControl(
  fields: { process: string; times: ControlTimes; failureDomain?: string },
): WorkerControl {
  const state: ControlState = {
    process: fields.process,
    times: fields.times,
    failureDomain: fields.failureDomain,
    epoch: 0,
    answeredReport: -Infinity,
    reportSentAt: -Infinity,
    released: false,
    releasedAt: -Infinity,
    grantEnd: 0,
    hasGrant: false,
    suspended: 0,
    runs: new Map(),
    openStarts: new Map(),
    hold: { callPending: false, nextCallAt: 0, failures: 0, refused: false },
    emptied: [],
    crashes: [],
    withheldCrashes: new Set(),
    lastReportAt: 0,
    reportDue: true,
    effects: [],
  };
  return {
    reduce: (event) => {
      state.effects = [];
      state.startedAt ??= event.now;
      noteSuspension(state, event.suspended ?? state.suspended);
      noteGrantEnd(state, event.now);
      applyEvent(state, event);
      markIfEmptied(state, event.now);
      sendHoldIfDue(state, event.now);
      sendDueCalls(state, event.now);
      sendReportIfDue(state, event.now);
      return state.effects;
    },
    state,
  };
}

function applyEvent(state: ControlState, event: ControlEvent): void {
  const { now } = event;
  switch (event.kind) {
    case "announced":
      return applyAnnouncement(state, event.announcement, now);
    case "left":
      return markLeaving(state, event.id, now);
    case "orders":
      return applyOrders(state, event);
    case "held":
      return applyHoldAnswer(state, event);
    case "holdFailed":
      return applyHoldFailure(state, event);
    case "startAnswered":
    case "stopAnswered":
      return applyCallAnswer(state, event);
    case "linked":
      state.reportDue = true;
      return;
    case "tick":
      return;
  }
}

/** Shortens the grant by the time for which the machine was suspended. */
function noteSuspension(state: ControlState, total: Milliseconds): void {
  if (total <= state.suspended) return;
  const duration = total - state.suspended;
  state.suspended = total;
  state.grantEnd -= duration;
  state.reportDue = true;
  log(state, "The machine was suspended.", { duration: Math.round(duration) });
}

/** Takes over the lists of the worker's answer to a hold call. */
function applyHoldAnswer(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "held" }>,
): void {
  const { worker } = state;
  if (!worker || worker.state.key !== event.worker) {
    return noteLateAnswer(state, event);
  }
  state.hold.callPending = false;
  if (event.born > worker.state.born) {
    replaceIncarnation(state, event.born, event.now);
    return;
  }
  if (event.born < worker.state.born) {
    state.hold.nextCallAt = event.now + HOLD_RETRY_DELAY;
    return;
  }
  state.hold.failures = 0;
  state.hold.nextCallAt = event.now;
  noteAnswerAfterDeregistration(state, worker, event);
  if (state.hold.silence) state.reportDue = true;
  state.hold.silence = undefined;
  worker.clock = { value: event.clock, at: event.now };
  if (!worker.state.reachable) {
    log(state, "Worker answers again.", { worker: worker.state.key });
    state.reportDue = true;
  }
  worker.state.reachable = true;
  state.emptied = state.emptied.filter((key) => key !== worker.state.key);
  const before = listsFingerprint(worker);
  worker.running = event.running;
  worker.answeredAt = event.now;
  worker.listedAt = new Map(event.running.map((each) => {
    const key = runKey(each);
    return [key, worker.listedAt.get(key) ?? event.now];
  }));
  worker.ended = event.ended.filter((end) => end.number > worker.acknowledged);
  worker.allEnds = event.allEnds;
  if (!worker.listed) {
    // The token of this call lets the worker do nothing for calls of earlier
    // holders from now on.
    worker.latestLeaseEnd = latestEarlierLeaseEnd(state, event.now);
  }
  worker.listed = true;
  if (listsFingerprint(worker) !== before) state.reportDue = true;
  updateFromLists(state, worker, event.sentAt);
  // The next lists are of use once the stops have been accepted.
  if (hasMisdirected(state)) {
    state.hold.nextCallAt = event.now + HOLD_RETRY_DELAY;
  }
}

/**
 * Returns text that differs whenever the lists warrant an immediate report:
 * when a run appears, disappears or ends, or when the worker answers again.
 * Checkpoints and progress of runs wait for the next regular report.
 */
function listsFingerprint(worker: ControlledWorker): string {
  const running = worker.running.map(runKey).join();
  const ended = worker.ended.map((each) => each.number).join();
  return `${worker.listed} ${worker.state.reachable} ${running} ${ended}`;
}

/**
 * Notes that a worker answers though its shutdown was announced. It may be about
 * to end, or the deregistration of a former incarnation arrived late.
 */
function noteAnswerAfterDeregistration(
  state: ControlState,
  worker: ControlledWorker,
  event: Extract<ControlEvent, { kind: "held" }>,
): void {
  if (worker.leftAt === undefined) return;
  state.hold.nextCallAt = event.now + HOLD_RETRY_DELAY;
  if (event.sentAt < worker.leftAt + LEAVE_DURATION) return;
  worker.leftAt = undefined;
  log(state, "The worker did not deregister itself.", {
    worker: worker.state.key,
  });
}

/** Counts a failed hold call; too many make the worker unreachable. */
function applyHoldFailure(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "holdFailed" }>,
): void {
  const { worker } = state;
  const { worker: key, reason, refused, connectionLost } = event;
  if (!worker || worker.state.key !== key) return noteLateAnswer(state, event);
  state.hold.callPending = false;
  if (!state.hold.silence && worker.leftAt === undefined) {
    const aliveAt = connectionLost ? event.now : worker.answeredAt;
    state.hold.silence = { aliveAt, failedAt: event.now };
    // The leader compares it with what other workers do at this moment.
    state.reportDue = true;
  }
  state.hold.nextCallAt = event.now + HOLD_RETRY_DELAY;
  state.hold.failures++;
  state.hold.refused = refused;
  if (state.hold.failures < FAILED_HOLD_LIMIT) return;
  if (!worker.state.reachable) return;
  worker.state.reachable = false;
  state.reportDue = true;
  log(state, "Worker does not answer.", { worker: key, reason });
}

/** Applies the worker's answer to a start or stop call. */
function applyCallAnswer(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "startAnswered" | "stopAnswered" }>,
): void {
  if (state.worker?.state.key !== event.worker) {
    return noteLateAnswer(state, event);
  }
  const control = state.runs.get(event.run);
  if (!control) return;
  control.callPending = false;
  control.nextCallAt = event.now;
  if (event.kind === "stopAnswered") {
    if (!event.stopped) {
      control.nextCallAt = event.now + HOLD_RETRY_DELAY;
      return;
    }
    // Lists that show the end may come before the answer to the stop.
    if (control.phase === ControlPhase.Ended) return;
    control.phase = ControlPhase.Stopped;
    control.answeredAt = event.now;
    if (control.misdirected && haveAllAcceptedStop(state)) {
      state.hold.nextCallAt = event.now;
    }
    return;
  }
  if (control.phase !== ControlPhase.Starting) return;
  const { outcome } = event;
  if (outcome.kind === "refused" && control.unansweredStarts === 0) {
    control.startSentAt = undefined;
    noteStartSettled(state, control);
  }
  log(state, "Start answered.", {
    run: event.run,
    outcome: outcome.kind,
    reason: outcome.kind === "refused" ? outcome.reason : "",
    unanswered: control.unansweredStarts,
  });
  if (outcome.kind === "started") {
    control.phase = ControlPhase.Started;
    control.answeredAt = event.now;
    control.startedAt = event.now;
  } else if (outcome.kind === "unknown") control.unansweredStarts++;
  else if (control.unansweredStarts > 0) {
    // An earlier start call without an answer may still be carried out. An
    // accepted stop rules that out.
    control.stopRequested = true;
  } else if (mayGetEarlierCalls(state, event.now)) {
    control.stopRequested = true;
    control.refusalReason = outcome.reason;
  } else {
    // The worker also refuses a run that has already ended, and the leader must
    // learn of that end rather than of a refusal. The next lists show which
    // case it is.
    control.phase = ControlPhase.Refusing;
    control.refusalReason = outcome.reason;
    control.answeredAt = event.now;
  }
}

/** Logs what became of a call to a former incarnation; it changes nothing. */
function noteLateAnswer(
  state: ControlState,
  event: Extract<ControlEvent, { worker: string }>,
): void {
  log(state, "Answer ignored.", {
    reason: "incarnation",
    answer: event.kind,
    worker: event.worker,
    run: "run" in event ? event.run : "",
  });
}

/**
 * Whether the worker may still carry out calls of an earlier process of this
 * agent.
 */
function mayGetEarlierCalls(state: ControlState, now: Milliseconds): boolean {
  return now < (state.startedAt ?? now) + CALL_DELAY_LIMIT;
}

/**
 * Marks the worker as empty, so that its runs can start elsewhere, once it has
 * ended or its lease has certainly ended.
 */
function markIfEmptied(state: ControlState, now: Milliseconds): void {
  const { worker } = state;
  if (!worker || state.emptied.includes(worker.state.key)) return;
  const left = worker.leftAt !== undefined && state.hold.refused;
  const lapsed = !worker.state.reachable && now > worker.latestLeaseEnd;
  if (!left && !lapsed) return;
  // A worker that does not answer may be cut off; one that refuses connections
  // is not there.
  if (lapsed && state.hold.refused) recordCrash(state, worker, now);
  state.emptied.push(worker.state.key);
  worker.state.reachable = false;
  worker.running = [];
  state.runs.clear();
  state.reportDue = true;
  log(state, "Nothing can run on the worker any more.", {
    worker: worker.state.key,
    left,
  });
}

/** Calls the worker to extend its lease and to get its lists. */
function sendHoldIfDue(state: ControlState, now: Milliseconds): void {
  const { worker, hold } = state;
  const token = callToken(state);
  if (!worker || token === undefined) return;
  if (hold.callPending || now < hold.nextCallAt) return;
  hold.callPending = true;
  const leaving = worker.leftAt !== undefined;
  // The lease of an unreachable worker is not extended, so that it ends at a
  // known time. After a failed call, a later incarnation may get the next one,
  // for which a time on the former clock is far ahead.
  const until = hold.failures === 0 && worker.state.reachable && !leaving
    ? computeLeaseEnd(state, worker, now)
    : undefined;
  if (until !== undefined) recordExtension(state, worker);
  // These runs wait for the next lists, so that the call must return at once.
  const pending = leaving ||
    [...state.runs.values()].some((control) =>
      control.phase === ControlPhase.Stopped ||
      control.phase === ControlPhase.Started ||
      control.phase === ControlPhase.Refusing
    );
  state.effects.push({
    kind: "hold",
    worker: worker.state.key,
    id: worker.id,
    token,
    until,
    // After a failed call a later incarnation may answer under this id, whose
    // ends have the same numbers as those of the former one.
    acknowledged: hold.failures > 0 ? 0 : worker.acknowledged,
    wait: pending || !worker.listed || !worker.state.reachable ? 0 : HOLD_WAIT,
  });
}
