/**
 * Sends the gauges of an entry at regular intervals.
 *
 * @module
 */

import type { AgentView, EntryState } from "@dragonflyledge/entry-reducer";
import { JobState, SECOND } from "@dragonflyledge/model";
import type {
  Clock,
  HomesTable,
  Milliseconds,
  Timer,
} from "@dragonflyledge/model";
import { repeat } from "@dragonflyledge/runtime";
import type { Observer } from "@dragonflyledge/runtime";
import type { Records } from "./records.ts";
import { countHeld, ownersByWorker, workerState } from "./status.ts";

const GAUGE_INTERVAL: Milliseconds = 10 * SECOND;

/** Values of the gauge `store.breaker`. */
const BREAKER_VALUES = { closed: 0, "half-open": 1, open: 2 } as const;

/** States in which a worker gets no new work. */
const EXCLUSIONS = ["leaving", "quarantined", "damped", "lost"];

/** Sends the gauges every 10 s until `stop` is called. */
export function startGauges(fields: {
  state: EntryState;
  records: Pick<Records, "statistics">;
  clock: Clock;
  timer: Timer;
  observer: Pick<Observer, "count">;
}): { stop(): void } {
  const { clock, timer } = fields;
  const sent: Record<string, number> = {};
  const task = () => sendGauges({ ...fields, now: clock.now(), sent });
  return { stop: repeat({ timer, interval: GAUGE_INTERVAL, task }) };
}

/**
 * Sends all gauges once. The calls to the store are sent as the difference from
 * the totals in `sent`, which are then updated.
 */
export function sendGauges(fields: {
  state: EntryState;
  records: Pick<Records, "statistics">;
  observer: Pick<Observer, "count">;
  now: Milliseconds;
  sent: Record<string, number>;
}): void {
  const { state, observer, now, sent } = fields;
  const agents = [...state.agents.values()];
  const connected = agents.filter((agent) => agent.connected);
  observer.count("sessions.open", connected.length, { role: "agent" });
  for (const reason of EXCLUSIONS) {
    const count = agents.filter((agent) => workerState(agent, now) === reason);
    observer.count("workers.excluded", count.length, { reason });
  }
  observer.count(
    "accelerators.fragmentation",
    measureFragmentation(connected),
    {},
  );
  sendVersions(state, observer);
  sendTeams(state, agents, observer);
  const { calls, breaker } = fields.records.statistics();
  observer.count("store.breaker", BREAKER_VALUES[breaker], {});
  for (const [operation, total] of Object.entries(calls)) {
    observer.count("store.calls", total - (sent[operation] ?? 0), {
      operation,
    });
    sent[operation] = total;
  }
}

function sendVersions(
  state: EntryState,
  observer: Pick<Observer, "count">,
): void {
  for (const document of ["configuration", "homes"] as const) {
    const version = state[document]?.version ?? 0;
    const seen = [...state.agents.values()].map((a) => a.versions[document]);
    const newest = Math.max(version, ...seen);
    observer.count("configuration.version", version, { document });
    const lag = newest - version;
    observer.count("configuration.version_lag", lag, { document });
  }
}

function sendTeams(
  state: EntryState,
  agents: AgentView[],
  observer: Pick<Observer, "count">,
): void {
  const homes: HomesTable | undefined = state.homes;
  const owners = ownersByWorker(homes);
  const requests = [...state.requests.open.values()];
  const jobs = [...state.jobs.jobs.values()];
  for (const { name: team } of state.configuration?.teams ?? []) {
    const { held, borrowed } = countHeld(agents, owners, team);
    const own = held - borrowed;
    observer.count("accelerators.held", own, { team, holding: "own" });
    observer.count("accelerators.held", borrowed, {
      team,
      holding: "borrowed",
    });
    const mine = requests.filter((request) => request.team === team);
    const running = mine.filter((request) => request.running !== undefined);
    observer.count("slots.held", running.length, { team });
    for (const { name } of state.configuration?.classes ?? []) {
      const queued = mine.filter((one) =>
        one.class === name && one.running === undefined
      );
      const tags = { team, class: name };
      observer.count("requests.queued", queued.length, tags);
    }
    const waiting = jobs.filter(({ record }) =>
      record.spec.team === team && record.state === JobState.Queued
    );
    observer.count("jobs.queued", waiting.length, { team });
  }
}

/**
 * Returns the share of free accelerators, from 0 to 1, that are on workers with
 * other accelerators in use.
 */
function measureFragmentation(agents: AgentView[]): number {
  let free = 0;
  let scattered = 0;
  for (const agent of agents) {
    const { accelerators } = agent.inventory.capacity;
    const used = agent.members
      .reduce((sum, member) => sum + member.accelerators.length, 0);
    free += accelerators - used;
    if (used > 0) scattered += accelerators - used;
  }
  return free === 0 ? 0 : scattered / free;
}
