/**
 * Tells which orders newer knowledge has overtaken.
 *
 * A link delivers in order, but a former link may deliver long after its
 * successor, and the leader may have sent orders before it got a report.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import type { AgentOrders, AgentReport } from "@dragonflyledge/scheduler";
import { log } from "./log.ts";
import { Overtaking } from "./state.ts";
import type { ControlEvent, ControlState } from "./state.ts";

/** Least difference between the times of two reports. */
const REPORT_STEP: Milliseconds = 0.001;

/**
 * Returns what has overtaken the orders. Orders name all that the leader wants,
 * so that only the latest hold: those of the highest epoch, and of these the
 * ones that answer the latest report. Orders that answer a report from before
 * the runs of a worker were released name runs that the leader since counts as
 * ended.
 */
export function findOvertaking(
  state: ControlState,
  orders: AgentOrders,
): Overtaking | undefined {
  if (orders.epoch < state.epoch) return Overtaking.Leader;
  const sameLeader = orders.epoch === state.epoch;
  if (sameLeader && orders.answersReport < state.answeredReport) {
    return Overtaking.Orders;
  }
  if (orders.answersReport < state.releasedAt) return Overtaking.Release;
  return undefined;
}

/** Logs orders that are ignored. */
export function noteOvertaken(
  state: ControlState,
  { orders, now, link }: Extract<ControlEvent, { kind: "orders" }>,
  reason: Overtaking,
): void {
  log(state, "Orders ignored.", {
    reason,
    epoch: orders.epoch,
    link: link ?? 0,
    answeredAgo: Math.round(now + state.suspended - orders.answersReport),
    starts: orders.starts.map(runKey).join(),
    stops: orders.stops.map(runKey).join(),
  });
}

/** Returns the time of a report that is sent now; it differs for each one. */
export function nextReportTime(
  state: ControlState,
  now: Milliseconds,
): Milliseconds {
  state.reportSentAt = Math.max(
    now + state.suspended,
    state.reportSentAt + REPORT_STEP,
  );
  return state.reportSentAt;
}

/** Notes the first report after which the leader counts all runs as ended. */
export function noteRelease(state: ControlState, report: AgentReport): void {
  const released = report.vacant || report.emptied.length > 0;
  if (released && !state.released) state.releasedAt = report.sentAt;
  state.released = released;
}
