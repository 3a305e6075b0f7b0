/**
 * Keeps the rate of each worker with its agent.
 *
 * The leader adds a worker's rate to its orders, the agent returns it with each
 * report, and a new leader takes it over from the first one. No store is needed:
 * a rate belongs to a machine, and is learnt again within seconds if the agent
 * loses it.
 *
 * @module
 */

import type { AgentReport, KnownRate } from "../messages.ts";
import type { Agent, SchedulerState } from "../state.ts";

/** Change of the logarithm of a rate that the agent is told of. */
const TOLD_CHANGE = 0.05;
/** Ratio of two variances from which the agent is told of the later one. */
const TOLD_RATIO = 1.5;

/** Takes over the rate in the first report of an agent to this leader. */
export function recoverRate(
  state: SchedulerState,
  agent: Agent,
  report: AgentReport,
): void {
  const isFirst = agent.lastReport === undefined;
  agent.returnedRate = report.rate;
  if (!isFirst || !report.rate) return;
  state.rateEstimator.recover(agent.name, report.rate);
}

/** Rate to tell the agent; undefined if it returned about the same. */
export function rateToTell(
  state: SchedulerState,
  agent: Agent,
): KnownRate | undefined {
  const known = state.rateEstimator.beliefOf(agent.name);
  if (!known) return undefined;
  const { returnedRate } = agent;
  return returnedRate && isAlike(known, returnedRate) ? undefined : known;
}

function isAlike(known: KnownRate, returned: KnownRate): boolean {
  const ratio = known.variance / returned.variance;
  return Math.abs(known.mean - returned.mean) < TOLD_CHANGE &&
    ratio < TOLD_RATIO && 1 / ratio < TOLD_RATIO;
}
