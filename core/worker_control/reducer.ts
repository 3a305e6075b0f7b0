/**
 * Reducer of an agent: controls the runs of one worker for the leader.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import { computeLeaseEnd, recordExtension } from "./lease.ts";
import { log } from "./log.ts";
import { applyOrders } from "./orders.ts";
import { sendDueCalls, updateFromLists } from "./run_control.ts";
import { ControlPhase } from "./state.ts";
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

/** A hold waits so long for an end before it is answered. */
const HOLD_WAIT: Milliseconds = 1000;
const HOLD_RETRY_DELAY: Milliseconds = 150;
/** Failed holds in a row after which the worker counts as unreachable. */
const FAILED_HOLD_LIMIT = 2;
/** A report is sent at least this often, to keep the grant. */
const REPORT_INTERVAL: Milliseconds = 800;
/** A call without an answer may be carried out so much later. */
const CALL_DELAY_LIMIT: Milliseconds = 12_000;
/** A worker that said it ends is gone after this. */
const LEAVE_DURATION: Milliseconds = 1000;

/** Controls one worker. */
export interface WorkerControl {
  reduce(event: ControlEvent): ControlEffect[];
  readonly state: ControlState;
}

/** Creates the reducer of an agent that knows no worker yet. */
export function createWorkerControl(
  fields: { times: ControlTimes },
): WorkerControl {
  const state: ControlState = {
    times: fields.times,
    epoch: 0,
    grantEnd: 0,
    runs: new Map(),
    hold: { callPending: false, nextCallAt: 0, failures: 0 },
    emptied: [],
    lastReportAt: 0,
    reportDue: true,
    effects: [],
  };
  return {
    reduce: (event) => {
      state.effects = [];
      state.startedAt ??= event.now;
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
      return applyOrders(state, event.orders, now);
    case "held":
      return applyHoldAnswer(state, event);
    case "holdFailed":
      return applyHoldFailure(state, event.worker, event.reason, now);
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

function applyHoldAnswer(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "held" }>,
): void {
  const { worker } = state;
  if (!worker || worker.state.key !== event.worker) return;
  state.hold.callPending = false;
  if (event.born > worker.state.born) {
    replaceIncarnation(state, event.born, event.now);
    return;
  }
  if (event.born < worker.state.born) return;
  state.hold.failures = 0;
  state.hold.nextCallAt = event.now;
  worker.clock = { value: event.clock, at: event.now };
  if (!worker.state.reachable) {
    log(state, "Worker answers.", { worker: worker.state.key });
    state.reportDue = true;
  }
  worker.state.reachable = true;
  state.emptied = state.emptied.filter((key) => key !== worker.state.key);
  const before = listsFingerprint(worker);
  worker.running = event.running;
  worker.ended = event.ended.filter((e) => e.number > worker.acknowledged);
  worker.listed = true;
  if (listsFingerprint(worker) !== before) state.reportDue = true;
  updateFromLists(state, worker, event.sentAt);
}

/** Changes when runs come or go; progress alone waits for the next report. */
function listsFingerprint(worker: ControlledWorker): string {
  const running = worker.running.map(runKey).join();
  const ended = worker.ended.map((each) => each.number).join();
  return `${worker.listed} ${worker.state.reachable} ${running} ${ended}`;
}

function applyHoldFailure(
  state: ControlState,
  key: string,
  reason: string,
  now: Milliseconds,
): void {
  const { worker } = state;
  if (!worker || worker.state.key !== key) return;
  state.hold.callPending = false;
  state.hold.nextCallAt = now + HOLD_RETRY_DELAY;
  state.hold.failures++;
  if (state.hold.failures < FAILED_HOLD_LIMIT) return;
  if (!worker.state.reachable) return;
  worker.state.reachable = false;
  state.reportDue = true;
  log(state, "Worker does not answer.", { worker: key, reason });
}

function applyCallAnswer(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "startAnswered" | "stopAnswered" }>,
): void {
  if (state.worker?.state.key !== event.worker) return;
  const control = state.runs.get(event.run);
  if (!control) return;
  control.callPending = false;
  control.nextCallAt = event.now;
  if (event.kind === "stopAnswered") {
    if (!event.stopped) {
      control.nextCallAt = event.now + HOLD_RETRY_DELAY;
      return;
    }
    control.phase = ControlPhase.Stopped;
    control.answeredAt = event.now;
    return;
  }
  if (control.phase !== ControlPhase.Starting) return;
  const { outcome } = event;
  log(state, "Start answered.", {
    run: event.run,
    outcome: outcome.kind,
    reason: outcome.kind === "refused" ? outcome.reason : "",
    unanswered: control.unansweredStarts,
  });
  if (outcome.kind === "started") {
    control.phase = ControlPhase.Started;
    control.answeredAt = event.now;
  } else if (outcome.kind === "unknown") control.unansweredStarts++;
  else if (control.unansweredStarts > 0) {
    // An earlier call may still be carried out; a stop prevents that.
    control.stopRequested = true;
  } else if (mayGetEarlierCalls(state, event.now)) {
    control.stopRequested = true;
    control.refusalReason = outcome.reason;
  } else {
    // A run that has ended is refused too, and its end must be seen first.
    control.phase = ControlPhase.Refusing;
    control.refusalReason = outcome.reason;
    control.answeredAt = event.now;
  }
}

/** Whether calls of an earlier process of this agent may still be under way. */
function mayGetEarlierCalls(state: ControlState, now: Milliseconds): boolean {
  return now < (state.startedAt ?? now) + CALL_DELAY_LIMIT;
}

/** Reports a worker as empty once its lease is surely over. */
function markIfEmptied(state: ControlState, now: Milliseconds): void {
  const { worker } = state;
  if (!worker || state.emptied.includes(worker.state.key)) return;
  const left = worker.leftAt !== undefined &&
    now > worker.leftAt + LEAVE_DURATION;
  const lapsed = !worker.state.reachable && now > worker.latestLeaseEnd;
  if (!left && !lapsed) return;
  state.emptied.push(worker.state.key);
  worker.state.reachable = false;
  worker.running = [];
  state.runs.clear();
  state.reportDue = true;
  log(state, "Nothing runs on the worker.", { worker: worker.state.key, left });
}

function sendHoldIfDue(state: ControlState, now: Milliseconds): void {
  const { worker, hold } = state;
  if (!worker || worker.leftAt !== undefined || state.epoch === 0) return;
  if (hold.callPending || now < hold.nextCallAt) return;
  hold.callPending = true;
  // An unreachable worker's lease is left to lapse, so that its end is known.
  const until = worker.state.reachable
    ? computeLeaseEnd(state, worker, now)
    : undefined;
  if (until !== undefined) recordExtension(state, worker);
  const pending = [...state.runs.values()].some((control) =>
    control.phase === ControlPhase.Stopped ||
    control.phase === ControlPhase.Started ||
    control.phase === ControlPhase.Refusing
  );
  state.effects.push({
    kind: "hold",
    worker: worker.state.key,
    id: worker.id,
    epoch: state.epoch,
    until,
    acknowledged: worker.acknowledged,
    wait: pending || !worker.listed || !worker.state.reachable ? 0 : HOLD_WAIT,
  });
}

/** An earlier process of this agent had a grant when it ended, at most. */
function isVacant(state: ControlState, now: Milliseconds): boolean {
  return state.worker === undefined &&
    now > (state.startedAt ?? now) + state.times.grant;
}

function sendReportIfDue(state: ControlState, now: Milliseconds): void {
  if (!state.reportDue && now < state.lastReportAt + REPORT_INTERVAL) return;
  state.reportDue = false;
  state.lastReportAt = now;
  const { worker } = state;
  const controls = [...state.runs.values()];
  const gone = worker !== undefined && state.emptied.includes(worker.state.key);
  state.effects.push({
    kind: "report",
    report: {
      kind: "report",
      sentAt: now,
      vacant: isVacant(state, now),
      worker: worker && { ...worker.state },
      listed: worker !== undefined && worker.listed && !gone,
      running: worker?.running ?? [],
      ended: worker?.ended ?? [],
      refused: controls
        .filter((control) => control.phase === ControlPhase.Refused)
        .map((control) => ({ ...control.name, reason: control.refusalReason })),
      absent: controls
        .filter((control) => control.phase === ControlPhase.Absent)
        .map((control) => control.name),
      emptied: state.emptied,
    },
  });
}
