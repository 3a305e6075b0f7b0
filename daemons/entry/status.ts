/**
 * The status document for operators: the state that this entry knows, with its
 * age.
 *
 * @module
 */

import { guaranteedAccelerators } from "@dragonflyledge/schema";
import type { AgentView, EntryState } from "@dragonflyledge/entry-reducer";
import type {
  Clock,
  HomesTable,
  MemberReport,
  Milliseconds,
  TeamName,
} from "@dragonflyledge/model";

/** Numbers of waiting jobs and open requests of a team. */
export interface WaitingCounts {
  requests: number;
  jobs: number;
}

/** Returns the status document as JSON data. Times are in milliseconds. */
export function describeStatus(fields: {
  state: EntryState;
  clock: Clock;
  waiting: (team: TeamName) => WaitingCounts;
}): unknown {
  const { state, clock } = fields;
  const now = clock.now();
  const owners = ownersByWorker(state.homes);
  const agents = [...state.agents.values()];
  return {
    entry: state.id,
    at: clock.date().toISOString(),
    versions: {
      configuration: state.configuration?.version ?? 0,
      homes: state.homes?.version ?? 0,
    },
    ages: { oldestReportMs: oldestReportAge(agents, now) },
    lease: { validForMs: Math.max(0, state.leaseValidUntil - now) },
    teams: (state.configuration?.teams ?? []).map((team) => ({
      name: team.name,
      guaranteed: guaranteedAccelerators(team),
      unplaced: countUnplaced(state.homes, team.name),
      ...countHeld(agents, owners, team.name),
      queued: fields.waiting(team.name).jobs,
      requests: fields.waiting(team.name).requests,
    })),
    entries: state.entries.map((entry) => ({
      id: entry.id,
      address: entry.address,
      http: entry.httpAddress,
    })),
    workers: agents.map((agent) => describeWorker(agent, now)),
  };
}

function describeWorker(agent: AgentView, now: Milliseconds): unknown {
  return {
    worker: agent.worker,
    state: workerState(agent, now),
    failureDomain: agent.inventory.location.failureDomain,
    rack: agent.inventory.location.rack,
    slots: `${agent.slotsUsed}/${agent.inventory.slots}`,
    accelerators: `${
      countAccelerators(agent.members)
    }/${agent.inventory.capacity.accelerators}`,
    ageMs: Math.round(now - agent.reportedAt),
    configuration: agent.versions.configuration,
  };
}

/** Returns the reason why the worker gets no new work, or `ready`. */
export function workerState(agent: AgentView, now: Milliseconds): string {
  if (!agent.connected) return "lost";
  if (agent.leaving) return "leaving";
  if (agent.quarantinedUntil > now) return "quarantined";
  if (agent.dampedUntil > now) return "damped";
  return "ready";
}

function countAccelerators(members: MemberReport[]): number {
  return members.reduce((sum, one) => sum + one.accelerators.length, 0);
}

function oldestReportAge(agents: AgentView[], now: Milliseconds): number {
  const ages = agents
    .filter((agent) => agent.connected)
    .map((agent) => now - agent.reportedAt);
  return Math.round(Math.max(0, ...ages));
}

/**
 * Returns the team that owns each accelerator of a home, by worker and index.
 */
export function ownersByWorker(
  homes: HomesTable | undefined,
): Map<string, Map<number, TeamName>> {
  const owners = new Map<string, Map<number, TeamName>>();
  for (const home of homes?.homes ?? []) {
    for (const part of home.parts) {
      const worker = owners.get(part.worker) ?? new Map<number, TeamName>();
      owners.set(part.worker, worker);
      for (const index of part.accelerators) worker.set(index, home.team);
    }
  }
  return owners;
}

/**
 * Counts the accelerators that the team uses, those among them that belong to
 * the homes of other teams, and its own that other teams use.
 */
export function countHeld(
  agents: AgentView[],
  owners: Map<string, Map<number, TeamName>>,
  team: TeamName,
): { held: number; borrowed: number; lent: number } {
  const count = { held: 0, borrowed: 0, lent: 0 };
  for (const agent of agents) {
    for (const member of agent.members) {
      for (const index of member.accelerators) {
        const owner = owners.get(agent.worker)?.get(index);
        if (member.team === team) count.held++;
        if (owner === undefined || owner === member.team) continue;
        if (member.team === team) count.borrowed++;
        if (owner === team) count.lent++;
      }
    }
  }
  return count;
}

function countUnplaced(homes: HomesTable | undefined, team: TeamName): number {
  return homes?.unplaced.filter((shape) => shape.team === team).length ?? 0;
}
