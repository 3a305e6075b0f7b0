/**
 * Start calls that a later incarnation of the worker may carry out.
 *
 * A call names only the worker's id, and a worker may start again under its id.
 * The leader counts the runs of the former incarnation as ended once it hears of
 * the new one, so that these starts are stopped there before it does.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import type { RunName, RunningTask } from "@dragonflyledge/scheduler";
import { ControlPhase, createIdleControl } from "./state.ts";
import type { ControlledWorker, ControlState, RunControl } from "./state.ts";

/** Longest time between sending a call and the worker's carrying it out. */
export const CALL_DELAY_LIMIT: Milliseconds = 12_000;

/** Notes that a start call is sent. */
export function noteStartSent(
  state: ControlState,
  worker: ControlledWorker,
  { name }: RunControl,
  now: Milliseconds,
): void {
  dropExpired(state, now);
  const sent = { name, id: worker.id, sentAt: now };
  state.openStarts.set(runKey(name), sent);
}

/** Notes that all start calls for the run were refused, or shown in a list. */
export function noteStartSettled(
  state: ControlState,
  { name, unansweredStarts }: RunControl,
): void {
  if (unansweredStarts === 0) state.openStarts.delete(runKey(name));
}

/**
 * Returns the runs that a worker with this id may start although they were
 * ordered for a former incarnation.
 */
export function listOpenStarts(
  state: ControlState,
  id: string,
  now: Milliseconds,
): RunName[] {
  dropExpired(state, now);
  return [...state.openStarts.values()]
    .filter((start) => start.id === id)
    .map(({ name }) => name);
}

/** Returns when the latest of these starts was sent, or -Infinity. */
export function latestOpenStart(
  state: ControlState,
  id: string,
  now: Milliseconds,
): Milliseconds {
  dropExpired(state, now);
  const times = [...state.openStarts.values()]
    .filter((start) => start.id === id)
    .map(({ sentAt }) => sentAt);
  return Math.max(...times, -Infinity);
}

function dropExpired(state: ControlState, now: Milliseconds): void {
  for (const [key, { sentAt }] of state.openStarts) {
    if (now - sentAt >= CALL_DELAY_LIMIT) state.openStarts.delete(key);
  }
}

/** Creates the control of such a start, which is stopped. */
export function createMisdirected(
  name: RunName,
  now: Milliseconds,
): RunControl {
  return {
    ...createIdleControl(now),
    name,
    phase: ControlPhase.Starting,
    stopRequested: true,
    misdirected: true,
  };
}

/** Whether the worker may still run what a former incarnation was told. */
export function hasMisdirected(state: ControlState): boolean {
  return [...state.runs.values()].some(({ misdirected, endUnlisted, phase }) =>
    misdirected === true && !endUnlisted && phase !== ControlPhase.Absent &&
    phase !== ControlPhase.Ended
  );
}

/**
 * Returns the misdirected runs whose ends the worker has not listed yet. They
 * are reported as running: the leader must not count them as lost, and the
 * worker lists further ends only once a leader has stored the others.
 */
export function listUnlistedEnds(state: ControlState): RunningTask[] {
  return [...state.runs.values()]
    .filter(({ endUnlisted }) => endUnlisted)
    .map(({ name }) => ({ ...name, checkpoint: "", percent: 0 }));
}

/** Whether the worker has accepted the stops of all such starts. */
export function haveAllAcceptedStop(state: ControlState): boolean {
  return [...state.runs.values()].every(({ misdirected, phase }) =>
    misdirected !== true || phase !== ControlPhase.Starting
  );
}
