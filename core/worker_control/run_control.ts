/**
 * Sends the start and stop calls of single runs, until the worker's lists
 * confirm their effect.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import { callToken, latestToken } from "./fence.ts";
import { computeLeaseEnd, longestLeaseTime, recordExtension } from "./lease.ts";
import { log } from "./log.ts";
import { noteStartSent, noteStartSettled } from "./open_starts.ts";
import { ControlPhase } from "./state.ts";
import type { ControlledWorker, ControlState, RunControl } from "./state.ts";

/** Unanswered start calls after which a run is stopped instead. */
const MAX_UNANSWERED_STARTS = 4;
/**
 * A start is sent only if the leader named it in the answer to a report that is
 * no older than this. Otherwise the leader may have withdrawn it, in orders that
 * did not arrive. The rest of the 5 s after which nothing starts in an evacuated
 * failure domain is left to the leader and to the call.
 */
const START_ORDER_VALIDITY: Milliseconds = 2500;

/**
 * Returns the longest time after a report for which a run can be at work that
 * the worker has not listed: a start that is sent as late as it may be, and that
 * a later incarnation carries out at once which the agent does not know yet.
 * Starts that are carried out late are not counted: all jobs of a lost machine
 * would wait for 12 s more.
 */
export function longestUnlistedTime(longestLease: Milliseconds): Milliseconds {
  return START_ORDER_VALIDITY + longestLeaseTime(longestLease);
}

/** Sends the next start or stop call of each run that needs one. */
export function sendDueCalls(state: ControlState, now: Milliseconds): void {
  const { worker } = state;
  if (!worker || worker.leftAt !== undefined || !worker.state.reachable) return;
  const token = callToken(state);
  if (token === undefined) return stopMisdirected(state, worker, now);
  // Without the lists, a run that ended before this process knew the worker
  // would be started again.
  if (!worker.listed) return;
  for (const control of state.runs.values()) {
    if (control.callPending || now < control.nextCallAt) continue;
    if (needsStop(control)) sendStop(state, worker, control, token);
    else if (
      control.phase === ControlPhase.Starting &&
      isOrderValid(state, control, now)
    ) {
      sendStart(state, worker, control, token, now);
    }
  }
}

/**
 * Stops what the worker may start for its former incarnation while no leader
 * has numbered the calls to it, as when the agent is cut off.
 */
function stopMisdirected(
  state: ControlState,
  worker: ControlledWorker,
  now: Milliseconds,
): void {
  for (const control of state.runs.values()) {
    if (!control.misdirected || !needsStop(control)) continue;
    if (control.callPending || now < control.nextCallAt) continue;
    sendStop(state, worker, control, latestToken(state));
  }
}

/**
 * Updates the phase of each run from the worker's lists, which it returned for
 * a hold call that was sent at `sentAt`.
 */
export function updateFromLists(
  state: ControlState,
  worker: ControlledWorker,
  sentAt: Milliseconds,
): void {
  const running = new Set(worker.running.map(runKey));
  const ended = new Set(worker.ended.map(runKey));
  for (const [key, control] of state.runs) {
    const isListed = ended.has(key) || running.has(key);
    if (isListed && !control.misdirected) noteStartSettled(state, control);
    if (ended.has(key)) {
      if (control.stopRequested) control.phase = ControlPhase.Ended;
      else state.runs.delete(key);
      continue;
    }
    if (running.has(key)) {
      if (control.phase === ControlPhase.Started) {
        control.phase = ControlPhase.Listed;
      }
      continue;
    }
    const isOver = control.phase === ControlPhase.Stopped &&
      sentAt > control.answeredAt;
    control.endUnlisted = control.misdirected && isOver && !worker.allEnds;
    // The end of the run may be one of those that are not listed yet.
    if (!worker.allEnds) continue;
    if (control.phase === ControlPhase.Listed && !control.stopRequested) {
      state.runs.delete(key);
      continue;
    }
    if (control.answeredAt === 0 || sentAt <= control.answeredAt) continue;
    // A run whose start was accepted but that is not listed is stopped, since
    // an earlier start call for it may still be carried out.
    if (control.phase === ControlPhase.Started) control.stopRequested = true;
    if (control.phase === ControlPhase.Refusing) {
      control.phase = ControlPhase.Refused;
      state.reportDue = true;
    }
    if (control.phase === ControlPhase.Stopped) {
      control.phase = control.refusalReason === ""
        ? ControlPhase.Absent
        : ControlPhase.Refused;
      state.reportDue = true;
    }
  }
}

function isOrderValid(
  state: ControlState,
  { orderedFor }: RunControl,
  now: Milliseconds,
): boolean {
  if (orderedFor === undefined) return true;
  return now + state.suspended - orderedFor <= START_ORDER_VALIDITY;
}

function needsStop(control: RunControl): boolean {
  return control.stopRequested &&
    (control.phase === ControlPhase.Starting ||
      control.phase === ControlPhase.Started ||
      control.phase === ControlPhase.Listed);
}

function sendStop(
  state: ControlState,
  worker: ControlledWorker,
  control: RunControl,
  token: number,
): void {
  control.callPending = true;
  state.effects.push({
    kind: "stop",
    worker: worker.state.key,
    id: worker.id,
    token,
    run: control.name,
  });
}

function sendStart(
  state: ControlState,
  worker: ControlledWorker,
  control: RunControl,
  token: number,
  now: Milliseconds,
): void {
  if (
    control.unansweredStarts >= MAX_UNANSWERED_STARTS || worker.state.draining
  ) {
    control.stopRequested = true;
    sendStop(state, worker, control, token);
    return;
  }
  const until = computeLeaseEnd(state, worker, now);
  if (until === undefined) return;
  recordExtension(state, worker);
  control.callPending = true;
  control.startSentAt ??= now;
  noteStartSent(state, worker, control, now);
  log(state, "Start sent.", {
    run: runKey(control.name),
    epoch: state.epoch,
    grantLeft: Math.round(state.grantEnd - now),
  });
  state.effects.push({
    kind: "start",
    worker: worker.state.key,
    id: worker.id,
    token,
    until,
    order: control.order!,
  });
}
