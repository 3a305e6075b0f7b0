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
export function applyOrders(
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
    state.runs.set(key, createStartControl(state, key, order, now));
  }
  for (const name of orders.stops) {
    const key = runKey(name);
    wanted.add(key);
    const control = state.runs.get(key);
    if (control) control.stopRequested = true;
    else {
      state.runs.set(key, {
        ...createIdleControl(now),
        name,
        phase: ControlPhase.Listed,
        stopRequested: true,
      });
    }
  }
  for (const [key, control] of state.runs) {
    const over = control.phase === ControlPhase.Refused ||
      control.phase === ControlPhase.Absent ||
      (control.stopRequested && !control.callPending);
    if (over && !wanted.has(key)) state.runs.delete(key);
  }
}

function createIdleControl(now: Milliseconds) {
  return {
    stopRequested: false,
    callPending: false,
    unansweredStarts: 0,
    nextCallAt: now,
    answeredAt: 0,
    refusalReason: "",
  };
}

function createStartControl(
  state: ControlState,
  key: string,
  order: AgentOrders["starts"][number],
  now: Milliseconds,
): RunControl {
  const draining = state.worker?.state.draining ?? true;
  log(state, "Start ordered.", { run: key, draining });
  return {
    ...createIdleControl(now),
    name: { task: order.task, run: order.run },
    order,
    phase: ControlPhase.Starting,
    // An earlier process may have started it, so that a stop has to prove that
    // it does not run.
    stopRequested: draining,
    refusalReason: draining ? "draining" : "",
  };
}
