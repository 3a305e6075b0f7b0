/**
 * Applies the leader's orders: which runs to start and to stop, and which ends
 * are stored.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { isEqualCapacity, runKey } from "@dragonflyledge/scheduler";
import type { AgentOrders } from "@dragonflyledge/scheduler";
import { noteFence } from "./fence.ts";
import { extendGrant } from "./grant.ts";
import { log } from "./log.ts";
import { findOvertaking, noteOvertaken } from "./overtaken.ts";
import { ControlPhase, createIdleControl, Overtaking } from "./state.ts";
import type { ControlEvent, ControlState, RunControl } from "./state.ts";

type OrdersEvent = Extract<ControlEvent, { kind: "orders" }>;

/**
 * Applies a leader's orders and extends the grant. Orders of the present leader
 * that are overtaken have no other effect than that; those of a former leader
 * have none.
 */
export function applyOrders(state: ControlState, event: OrdersEvent): void {
  const { orders, now, link } = event;
  const overtaking = findOvertaking(state, orders);
  if (overtaking) noteOvertaken(state, event, overtaking);
  if (overtaking === Overtaking.Leader) return;
  const isNewLeader = orders.epoch > state.epoch;
  noteFence(state, orders, isNewLeader);
  if (isNewLeader) {
    state.epoch = orders.epoch;
    state.answeredReport = -Infinity;
    log(state, "New leader.", { epoch: orders.epoch });
  }
  // No report can be answered before it was sent.
  const reportedAt = Math.min(orders.answersReport - state.suspended, now);
  extendGrant(state, reportedAt + state.times.grant, now);
  if (overtaking) return;
  state.answeredReport = orders.answersReport;
  // It belongs to the machine, and holds for a later incarnation, too.
  state.rate = orders.rate ?? state.rate;
  const { worker } = state;
  if (!worker || worker.state.key !== orders.worker) return;
  worker.acknowledged = Math.max(worker.acknowledged, orders.acknowledged);
  worker.ended = worker.ended.filter((end) => end.number > worker.acknowledged);
  const wanted = new Set<string>();
  const isOutdated = orders.capacity !== undefined &&
    !isEqualCapacity(orders.capacity, worker.state);
  if (isOutdated) {
    log(state, "Starts for a former capacity ignored.", {
      worker: worker.state.key,
      runs: orders.starts.map(runKey).join(),
    });
  }
  for (const order of orders.starts) {
    const key = runKey(order);
    wanted.add(key);
    const known = state.runs.get(key);
    if (known) known.orderedFor = orders.answersReport;
    if (known || isOutdated) continue;
    const control = createStartControl(state, order, now);
    state.runs.set(key, { ...control, orderedFor: orders.answersReport });
    log(state, "Start ordered.", {
      run: key,
      draining: worker.state.draining,
      epoch: orders.epoch,
      link: link ?? 0,
      answeredAgo: Math.round(now - reportedAt),
    });
  }
  for (const name of orders.later ?? []) wanted.add(runKey(name));
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
  const running = new Set(worker.running.map(runKey));
  for (const [key, control] of state.runs) {
    // The leader also stops naming a start once it knows that the run began.
    if (wanted.has(key) || running.has(key)) continue;
    withdrawStart(state, key, control);
  }
  // Runs that the leader no longer names are forgotten, unless a start or a
  // call is still under way.
  for (const [key, control] of state.runs) {
    const over = control.phase === ControlPhase.Refused ||
      control.phase === ControlPhase.Absent ||
      (control.stopRequested && !control.callPending);
    if (over && !wanted.has(key)) state.runs.delete(key);
  }
}

/**
 * Gives up a start that the leader no longer orders, since it may have started
 * the task elsewhere. A start that the worker may still carry out is stopped.
 */
function withdrawStart(
  state: ControlState,
  key: string,
  control: RunControl,
): void {
  if (control.phase !== ControlPhase.Starting || control.stopRequested) return;
  log(state, "Start withdrawn.", { run: key });
  if (control.callPending || control.unansweredStarts > 0) {
    control.stopRequested = true;
  } else state.runs.delete(key);
}

/** Creates the control of a run that the leader ordered to start. */
function createStartControl(
  state: ControlState,
  order: AgentOrders["starts"][number],
  now: Milliseconds,
): RunControl {
  const draining = state.worker?.state.draining ?? true;
  return {
    ...createIdleControl(now),
    name: { task: order.task, run: order.run },
    order,
    phase: ControlPhase.Starting,
    // A draining worker starts nothing new. An earlier process of this agent
    // may have started the run already, so that only a stop proves that it does
    // not run.
    stopRequested: draining,
    refusalReason: draining ? "draining" : "",
  };
}
