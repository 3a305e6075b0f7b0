/**
 * Quarantine of workers that fail work which succeeds on others.
 *
 * @module
 */

import type { Milliseconds, WorkerId } from "@dragonflyledge/model";
import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { AgentView, Emit, EntryState } from "../state.ts";
import { auditWorker } from "../audit.ts";
import { reindexAgent } from "./choose_agent.ts";
import { serviceAgents } from "./state.ts";

/** Consecutive failures after which a worker is excluded. */
export const QUARANTINE_FAILURES = 3;
const FIRST_QUARANTINE = 5 * SECOND;
const QUARANTINE_LIMIT = 2 * MINUTE;
/** An idle worker is probed again after this time without a verdict. */
const PROBE_TIMEOUT = 10 * SECOND;
/** Older successes elsewhere do not count against a worker. */
const SUCCESS_AGE_LIMIT = 1 * MINUTE;

/** Records that a worker completed work of this kind. */
export function recordSuccess(
  state: EntryState,
  agent: AgentView,
  work: string,
  now: Milliseconds,
): void {
  const others = (state.members.successes.get(work) ?? [])
    .filter((each) => each.worker !== agent.worker);
  const latest = { worker: agent.worker, at: now };
  state.members.successes.set(work, [latest, ...others.slice(0, 1)]);
  if (agent.failures > 0) readmit(state, agent, now);
}

/**
 * Ends the exclusion of a worker on which a gang that serves as its probe runs
 * well. A gang may run for hours, and the worker may be the home of a team.
 */
export function passProbe(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  const probed = agent.quarantinedUntil > 0 && agent.quarantinedUntil <= now &&
    !agent.probing;
  if (!probed) return;
  readmit(state, agent, now);
}

function readmit(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  agent.failures = 0;
  agent.quarantinedUntil = 0;
  agent.probing = false;
  serviceAgents(state.members, agent.inventory.service).failing
    .delete(agent.worker);
  reindexAgent(state, agent, now);
}

/** Records a failure, and returns whether it counts: others run such work. */
export function recordFailure(
  state: EntryState,
  agent: AgentView,
  work: string,
  now: Milliseconds,
  emit: Emit,
): boolean {
  const counts = succeedsElsewhere(state, agent.worker, work, now);
  if (counts) agent.failures++;
  if (counts && agent.failures >= QUARANTINE_FAILURES) {
    quarantine(state, agent, now, emit);
  } else allowNextProbe(state, agent, now);
  return counts;
}

function quarantine(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
  emit: Emit,
): void {
  const agents = serviceAgents(state.members, agent.inventory.service);
  agents.failing.add(agent.worker);
  // If most workers fail, the cause is the work or something they share.
  if (agents.failing.size * 2 > agents.connected.size) {
    allowNextProbe(state, agent, now);
    return;
  }
  const level = Math.min(agent.failures - QUARANTINE_FAILURES, 10);
  const time = Math.min(FIRST_QUARANTINE * 2 ** level, QUARANTINE_LIMIT);
  agent.quarantinedUntil = now + time;
  const { worker, failures } = agent;
  const text = "members: quarantined a worker that fails what others run";
  const fields = { worker, failures, time };
  emit({ kind: "log", level: "warn", text, fields });
  const reason = `failed ${failures} times what others run, for ${time} ms`;
  auditWorker(state, { kind: "quarantine", worker, reason }, emit);
  agent.probing = true;
  reindexAgent(state, agent, now);
}

/** Allows another probe after one that ended without a verdict. */
export function allowNextProbe(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.quarantinedUntil === 0 || agent.probing) return;
  agent.probing = true;
  reindexAgent(state, agent, now);
}

/**
 * Allows another probe if the last one left nothing behind, for instance a gang
 * whose reservation was refused elsewhere. Without a verdict, the worker would
 * stay excluded for good.
 */
export function allowProbeAfterTimeout(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.quarantinedUntil === 0 || agent.probing) return;
  if (now < agent.quarantinedUntil + PROBE_TIMEOUT) return;
  const promised = [...agent.slotsPromised.values()].some((count) => count > 0);
  if (promised || agent.slotsUsed > 0 || agent.members.length > 0) return;
  agent.quarantinedUntil = now;
  allowNextProbe(state, agent, now);
}

function succeedsElsewhere(
  state: EntryState,
  worker: WorkerId,
  work: string,
  now: Milliseconds,
): boolean {
  return (state.members.successes.get(work) ?? []).some((each) =>
    each.worker !== worker && now - each.at < SUCCESS_AGE_LIMIT
  );
}
