/**
 * Agents that have been silent for so long that nothing can run under them.
 *
 * An agent may be cut off while its worker goes on. A run that the worker has
 * listed to this leader ends with the lease that the agent has told. A run that it
 * has not listed, or of which a start call has no answer, may be at work on a
 * later incarnation that the agent does not know of yet. That one takes the
 * longest lease for a lease end on the clock of the former one.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentReport } from "../messages.ts";
import { AgentLoss } from "../state.ts";
import type { Agent, Run, SchedulerState } from "../state.ts";
import { loseRuns, LossReason } from "./losses.ts";

/**
 * Added to the end of a grant or of a lease that an agent tells, since the clocks
 * of machines differ.
 */
export const LOSS_MARGIN: Milliseconds = 300;

/** Notes until when the report says that a run may be at work. */
export function noteLeaseEnd(
  agent: Agent,
  { leaseLeft }: AgentReport,
  now: Milliseconds,
): void {
  agent.leaseEnd = now + (leaseLeft ?? 0) + LOSS_MARGIN;
}

interface SilentAgent {
  state: SchedulerState;
  agent: Agent;
  now: Milliseconds;
  date: Milliseconds;
}

/** Treats the runs of a silent agent as ended once none can be at work. */
export function checkAgent(fields: SilentAgent): void {
  const { state, agent, now } = fields;
  const { agentLoss, unlistedLoss } = state.times;
  const silence = now - agent.lastHeard;
  if (silence <= agentLoss || now <= agent.leaseEnd) return;
  if (agent.loss === AgentLoss.None) {
    agent.loss = AgentLoss.ListedRuns;
    logLoss(fields);
    loseAgentRuns(fields, isListed);
    if (agent.worker) state.workers.delete(agent.worker.state.key);
    agent.worker = undefined;
  }
  if (silence <= unlistedLoss || agent.loss !== AgentLoss.ListedRuns) return;
  agent.loss = AgentLoss.AllRuns;
  loseAgentRuns(fields, () => true);
}

/** Whether the run is on the worker alone, and no start call for it is open. */
function isListed({ confirmed, startOpen }: Run): boolean {
  return confirmed && !startOpen;
}

function logLoss({ state, agent, now }: SilentAgent): void {
  const runs = [...state.runs.values()]
    .filter((run) => run.agent === agent.name);
  const listed = runs.filter(isListed).length;
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Agent lost.",
    fields: {
      agent: agent.name,
      worker: agent.worker?.state.key ?? "",
      heard: agent.lastReport !== undefined,
      silence: Math.round(now - agent.lastHeard),
      runs: listed,
      unlisted: runs.length - listed,
    },
  });
}

function loseAgentRuns(
  fields: SilentAgent,
  isLost: (run: Run) => boolean,
): void {
  const { name } = fields.agent;
  const select = (run: Run) => run.agent === name && isLost(run);
  loseRuns(fields, select, LossReason.AgentLost);
}
