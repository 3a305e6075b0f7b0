/**
 * Orders of the leader: what is to run, to stop, and what is stored.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import type { AgentOrders } from "@dragonflyledge/scheduler";
import { log } from "./log.ts";
import { ControlPhase } from "./state.ts";
import type { ControlState, RunControl } from "./state.ts";

/** Takes the orders of a leader, unless a later one has spoken. */
export function takeOrders(
  state: ControlState,
  orders: AgentOrders,
  now: Milliseconds,
): void {
  if (orders.epoch < state.epoch) return;
  if (orders.epoch > state.epoch) {
    state.epoch = orders.epoch;
    log(state, "New leader.", { epoch: orders.epoch });
  }
  const grantEnd = orders.answersReport + state.times.grant;
  state.grantEnd = Math.max(state.grantEnd, grantEnd);
  const { worker } = state;
  if (!worker || worker.state.key !== orders.worker) return;
  worker.acknowledged = Math.max(worker.acknowledged, orders.acknowledged);
  worker.ended = worker.ended.filter((e) => e.number > worker.acknowledged);
  const wanted = new Set<string>();
  for (const order of orders.starts) {
    const key = runKey(order);
    wanted.add(key);
    if (state.runs.has(key)) continue;
    state.runs.set(key, createControl(state, key, order, now));
  }
  for (const name of orders.stops) {
    const key = runKey(name);
    wanted.add(key);
    const control = state.runs.get(key);
    if (control) control.stopWanted = true;
    else {
      state.runs.set(key, {
        ...emptyControl(now),
        name,
        phase: ControlPhase.Listed,
        stopWanted: true,
      });
    }
  }
  for (const [key, control] of state.runs) {
    const over = control.phase === ControlPhase.Refused ||
      control.phase === ControlPhase.Absent ||
      (control.stopWanted && !control.calling);
    if (over && !wanted.has(key)) state.runs.delete(key);
  }
}

function emptyControl(now: Milliseconds) {
  return {
    stopWanted: false,
    calling: false,
    unanswered: 0,
    nextCall: now,
    answeredAt: 0,
    reason: "",
  };
}

function createControl(
  state: ControlState,
  key: string,
  order: AgentOrders["starts"][number],
  now: Milliseconds,
): RunControl {
  const draining = state.worker?.state.draining ?? true;
  log(state, "Start ordered.", { run: key, draining });
  return {
    ...emptyControl(now),
    name: { task: order.task, run: order.run },
    order,
    phase: ControlPhase.Starting,
    // An earlier process may have started it, so that a stop has to prove that
    // it does not run.
    stopWanted: draining,
    reason: draining ? "draining" : "",
  };
}
