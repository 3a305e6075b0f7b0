/**
 * Quarantines workers that fail work which succeeds on other workers. After the
 * quarantine a worker gets one piece of work as a probe: its success ends the
 * exclusion, and its failure leads to a longer quarantine.
 *
 * @module
 */

import type { Milliseconds, WorkerId } from "@dragonflyledge/model";
import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { AgentView, Emit, EntryState } from "../state.ts";
import { auditWorker } from "../audit.ts";
import { reindexAgent } from "./choose_agent.ts";
import { serviceAgents } from "./state.ts";

/** Number of consecutive failures after which a worker is quarantined. */
export const QUARANTINE_FAILURES = 3;
/** The quarantine doubles with each further failure, up to the limit. */
const FIRST_QUARANTINE = 5 * SECOND;
const QUARANTINE_LIMIT = 2 * MINUTE;
/** An idle worker is probed again after this time without a result. */
const PROBE_TIMEOUT = 10 * SECOND;
/** Successes on other workers that are older do not count against a worker. */
const SUCCESS_AGE_LIMIT = 1 * MINUTE;

/** Records that a worker completed such work, and ends its exclusion. */
export function recordSuccess(
  state: EntryState,
  agent: AgentView,
  workKind: string,
  now: Milliseconds,
): void {
  const others = (state.members.successes.get(workKind) ?? [])
    .filter((each) => each.worker !== agent.worker);
  const latest = { worker: agent.worker, at: now };
  state.members.successes.set(workKind, [latest, ...others.slice(0, 1)]);
  if (agent.failures > 0) readmit(state, agent, now);
}

/**
 * Ends the exclusion of a worker whose probe is a gang that has run well for a
 * while. The end of the gang is not awaited: it may run for hours, and the
 * worker may be the home of a team.
 */
export function passProbe(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  const probeRuns = agent.quarantinedUntil > 0 &&
    agent.quarantinedUntil <= now &&
    !agent.probeAllowed;
  if (!probeRuns) return;
  readmit(state, agent, now);
}

function readmit(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  agent.failures = 0;
  agent.quarantinedUntil = 0;
  agent.probeAllowed = false;
  serviceAgents(state.members, agent.inventory.service).failing
    .delete(agent.worker);
  reindexAgent(state, agent, now);
}

/**
 * Records that a worker failed work of this kind, and quarantines the worker if
 * it has failed too often. Returns whether the failure counts against it, which
 * is so if such work succeeded on another worker within `SUCCESS_AGE_LIMIT`.
 */
export function recordFailure(
  state: EntryState,
  agent: AgentView,
  workKind: string,
  now: Milliseconds,
  emit: Emit,
): boolean {
  const counts = succeedsElsewhere(state, agent.worker, workKind, now);
  if (counts) agent.failures++;
  if (counts && agent.failures >= QUARANTINE_FAILURES) {
    quarantine(state, agent, now, emit);
  } else allowNextProbe(state, agent, now);
  return counts;
}

/** Excludes a worker for a time, unless most workers of its service fail. */
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
  const text = "Worker quarantined: it fails work that succeeds on others.";
  const fields = { worker, failures, time };
  emit({ kind: "log", level: "warn", text, fields });
  const reason = `failed ${failures} times what others run, for ${time} ms`;
  auditWorker(state, { kind: "quarantine", worker, reason }, emit);
  agent.probeAllowed = true;
  reindexAgent(state, agent, now);
}

/** Allows another probe after one that ended without a result. */
export function allowNextProbe(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.quarantinedUntil === 0 || agent.probeAllowed) return;
  agent.probeAllowed = true;
  reindexAgent(state, agent, now);
}

/**
 * Allows another probe of an idle worker if the last one had no result within
 * `PROBE_TIMEOUT`, for instance because it was a gang whose reservation another
 * worker refused. Otherwise the worker would stay excluded for good.
 */
export function allowProbeAfterTimeout(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.quarantinedUntil === 0 || agent.probeAllowed) return;
  if (now < agent.quarantinedUntil + PROBE_TIMEOUT) return;
  const promised = [...agent.slotsPromised.values()].some((count) => count > 0);
  if (promised || agent.slotsUsed > 0 || agent.members.length > 0) return;
  agent.quarantinedUntil = now;
  allowNextProbe(state, agent, now);
}

function succeedsElsewhere(
  state: EntryState,
  worker: WorkerId,
  workKind: string,
  now: Milliseconds,
): boolean {
  return (state.members.successes.get(workKind) ?? []).some((each) =>
    each.worker !== worker && now - each.at < SUCCESS_AGE_LIMIT
  );
}
