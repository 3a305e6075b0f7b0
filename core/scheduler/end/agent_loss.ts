/**
 * Agents that have been silent for so long that nothing can run under them.
 *
 * An agent may be cut off while its worker goes on, whose runs end with the
 * lease.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentReport } from "../messages.ts";
import type { Agent, SchedulerState } from "../state.ts";
import { loseRuns, LossReason } from "./losses.ts";

/** Added to a lease end that an agent tells; the clocks of machines differ. */
const LEASE_MARGIN: Milliseconds = 300;

/** Notes until when the report says that a run may be at work. */
export function noteLeaseEnd(
  agent: Agent,
  { leaseLeft }: AgentReport,
  now: Milliseconds,
): void {
  agent.leaseEnd = now + (leaseLeft ?? 0) + LEASE_MARGIN;
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
  const silence = now - agent.lastHeard;
  if (agent.lost || silence <= state.times.agentLoss) return;
  if (now <= agent.leaseEnd) return;
  agent.lost = true;
  logLoss(fields);
  loseRuns(fields, (run) => run.agent === agent.name, LossReason.AgentLost);
  if (agent.worker) state.workers.delete(agent.worker.state.key);
  agent.worker = undefined;
}

function logLoss({ state, agent, now }: SilentAgent): void {
  const runs = [...state.runs.values()]
    .filter((run) => run.agent === agent.name);
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Agent lost.",
    fields: {
      agent: agent.name,
      worker: agent.worker?.state.key ?? "",
      heard: agent.lastReport !== undefined,
      silence: Math.round(now - agent.lastHeard),
      runs: runs.length,
    },
  });
}
