/**
 * Reducer of an agent: controls the runs of one worker for the leader.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import { leaseUntil, noteExtension } from "./lease.ts";
import { log } from "./log.ts";
import { takeOrders } from "./orders.ts";
import { checkListed, pumpRuns } from "./run_control.ts";
import { ControlPhase } from "./state.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlledWorker,
  ControlState,
  ControlTimes,
} from "./state.ts";
import { announce, leave, replaceIncarnation } from "./worker.ts";

/** A hold waits so long for an end before it is answered. */
const HOLD_WAIT: Milliseconds = 1000;
const HOLD_RETRY_DELAY: Milliseconds = 150;
/** Failed holds in a row after which the worker counts as unreachable. */
const UNREACHABLE_AFTER = 2;
/** A report is sent at least this often, to keep the grant. */
const REPORT_INTERVAL: Milliseconds = 800;
/** A call without an answer may be carried out so much later. */
const LATEST_CALL: Milliseconds = 12_000;
/** A worker that said it ends is gone after this. */
const LEAVE_MARGIN: Milliseconds = 1000;

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
    hold: { calling: false, next: 0, failures: 0 },
    emptied: [],
    lastReport: 0,
    reportDue: true,
    effects: [],
  };
  return {
    reduce: (event) => {
      state.effects = [];
      state.startedAt ??= event.now;
      apply(state, event);
      expireLease(state, event.now);
      pumpHold(state, event.now);
      pumpRuns(state, event.now);
      report(state, event.now);
      return state.effects;
    },
    state,
  };
}

function apply(state: ControlState, event: ControlEvent): void {
  const { now } = event;
  switch (event.kind) {
    case "announced":
      return announce(state, event.announcement, now);
    case "left":
      return leave(state, event.id, now);
    case "orders":
      return takeOrders(state, event.orders, now);
    case "held":
      return takeLists(state, event);
    case "holdFailed":
      return failHold(state, event.worker, event.reason, now);
    case "startAnswered":
    case "stopAnswered":
      return answerCall(state, event);
    case "linked":
      state.reportDue = true;
      return;
    case "tick":
      return;
  }
}

function takeLists(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "held" }>,
): void {
  const { worker } = state;
  if (!worker || worker.state.key !== event.worker) return;
  state.hold.calling = false;
  if (event.born > worker.state.born) {
    replaceIncarnation(state, event.born, event.now);
    return;
  }
  if (event.born < worker.state.born) return;
  state.hold.failures = 0;
  state.hold.next = event.now;
  worker.clock = { value: event.clock, at: event.now };
  if (!worker.state.reachable) {
    log(state, "Worker answers.", { worker: worker.state.key });
    state.reportDue = true;
  }
  worker.state.reachable = true;
  state.emptied = state.emptied.filter((key) => key !== worker.state.key);
  const before = listsKey(worker);
  worker.running = event.running;
  worker.ended = event.ended.filter((e) => e.number > worker.acknowledged);
  worker.listed = true;
  if (listsKey(worker) !== before) state.reportDue = true;
  checkListed(state, worker, event.sentAt);
}

/** Changes when runs come or go; progress alone waits for the next report. */
function listsKey(worker: ControlledWorker): string {
  const running = worker.running.map(runKey).join();
  const ended = worker.ended.map((each) => each.number).join();
  return `${worker.listed} ${worker.state.reachable} ${running} ${ended}`;
}

function failHold(
  state: ControlState,
  key: string,
  reason: string,
  now: Milliseconds,
): void {
  const { worker } = state;
  if (!worker || worker.state.key !== key) return;
  state.hold.calling = false;
  state.hold.next = now + HOLD_RETRY_DELAY;
  state.hold.failures++;
  if (state.hold.failures < UNREACHABLE_AFTER) return;
  if (!worker.state.reachable) return;
  worker.state.reachable = false;
  state.reportDue = true;
  log(state, "Worker does not answer.", { worker: key, reason });
}

function answerCall(
  state: ControlState,
  event: Extract<ControlEvent, { kind: "startAnswered" | "stopAnswered" }>,
): void {
  if (state.worker?.state.key !== event.worker) return;
  const control = state.runs.get(event.run);
  if (!control) return;
  control.calling = false;
  control.nextCall = event.now;
  if (event.kind === "stopAnswered") {
    if (!event.stopped) {
      control.nextCall = event.now + HOLD_RETRY_DELAY;
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
    unanswered: control.unanswered,
  });
  if (outcome.kind === "started") {
    control.phase = ControlPhase.Started;
    control.answeredAt = event.now;
  } else if (outcome.kind === "unknown") control.unanswered++;
  else if (control.unanswered > 0) {
    // An earlier call may still be carried out; a stop prevents that.
    control.stopWanted = true;
  } else if (isYoung(state, event.now)) {
    control.stopWanted = true;
    control.reason = outcome.reason;
  } else {
    // A run that has ended is refused too, and its end must be seen first.
    control.phase = ControlPhase.Refusing;
    control.reason = outcome.reason;
    control.answeredAt = event.now;
  }
}

/** Whether calls of an earlier process of this agent may still be under way. */
function isYoung(state: ControlState, now: Milliseconds): boolean {
  return now < (state.startedAt ?? now) + LATEST_CALL;
}

/** Reports a worker as empty once its lease is surely over. */
function expireLease(state: ControlState, now: Milliseconds): void {
  const { worker } = state;
  if (!worker || state.emptied.includes(worker.state.key)) return;
  const left = worker.leftAt !== undefined &&
    now > worker.leftAt + LEAVE_MARGIN;
  const lapsed = !worker.state.reachable && now > worker.leaseBound;
  if (!left && !lapsed) return;
  state.emptied.push(worker.state.key);
  worker.state.reachable = false;
  worker.running = [];
  state.runs.clear();
  state.reportDue = true;
  log(state, "Nothing runs on the worker.", { worker: worker.state.key, left });
}

function pumpHold(state: ControlState, now: Milliseconds): void {
  const { worker, hold } = state;
  if (!worker || worker.leftAt !== undefined || state.epoch === 0) return;
  if (hold.calling || now < hold.next) return;
  hold.calling = true;
  // An unreachable worker's lease is left to lapse, so that its end is known.
  const until = worker.state.reachable
    ? leaseUntil(state, worker, now)
    : undefined;
  if (until !== undefined) noteExtension(state, worker);
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

function report(state: ControlState, now: Milliseconds): void {
  if (!state.reportDue && now < state.lastReport + REPORT_INTERVAL) return;
  state.reportDue = false;
  state.lastReport = now;
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
        .map((control) => ({ ...control.name, reason: control.reason })),
      absent: controls
        .filter((control) => control.phase === ControlPhase.Absent)
        .map((control) => control.name),
      emptied: state.emptied,
    },
  });
}
