/**
 * The reducer of the agent daemon: passes each event to the part that handles
 * it, and checks the state afterwards.
 *
 * @module
 */

import type {
  AgentEffect,
  AgentEvent,
  EntryId,
  EntryMessage,
  Hello,
  Incarnation,
  Inventory,
  MemberReport,
} from "@dragonflyledge/model";
import { createAttempts } from "./attempts.ts";
import { getLocalHomes } from "./homes.ts";
import { createInvariants } from "./invariants.ts";
import { createLeases } from "./leases.ts";
import { createMembers } from "./members.ts";
import type { Members } from "./members.ts";
import { createReclaim } from "./reclaim.ts";
import { createReporting } from "./reporting.ts";
import { createReservations } from "./reservations.ts";
import { createRuns } from "./runs.ts";
import { createShutdown } from "./shutdown.ts";
import { count, createCore, log } from "./state.ts";
import type { AgentState, Core, Run } from "./state.ts";
import { createUsageWatch } from "./usage.ts";
import { createVersionExchange } from "./versions.ts";

/** Reducer of one agent: applies events to its state and returns effects. */
export interface AgentReducer {
  readonly state: AgentState;
  /**
   * Updates the state in place and returns the effects to perform. Throws a
   * `StepError` if an invariant is violated.
   */
  reduce(event: AgentEvent): AgentEffect[];
}

/** Creates the reducer of an agent that has just started. */
export function createAgentReducer(fields: {
  inventory: Inventory;
  incarnation: Incarnation;
}): AgentReducer {
  return createReducerWithState({ core: createCore(fields) });
}

/** Creates a reducer with the given state, which tests may then modify. */
export function createReducerWithState(fields: { core: Core }): AgentReducer {
  const { core } = fields;
  const parts = createParts(core);
  const { attempts, members, reservations, leases, shutdown } = parts;

  /** Ends, stops and drops what is due at the present time. */
  function applyDeadlines(): void {
    attempts.expire();
    leases.expire();
    members.stopOverdue();
    reservations.expire();
  }

  return {
    state: core.state,
    reduce(event) {
      core.now = Math.max(core.now, event.now);
      core.effects = [];
      parts.invariants.before();
      applyDeadlines();
      applyEvent(parts, event);
      parts.reporting.sendDue();
      shutdown.exitIfIdle();
      parts.invariants.after(event);
      return core.effects;
    },
  };
}

type Parts = ReturnType<typeof createParts>;

function createParts(core: Core) {
  const runs = createRuns({ core });
  const reclaim = createReclaim({ core });
  const reservations = createReservations({
    core,
    runs,
    reclaim,
    // A function, since the members are created after the reservations.
    members: (): Members => members,
  });
  const members = createMembers({
    core,
    runs,
    onCapacityFreed: reservations.grantPending,
  });
  const attempts = createAttempts({ core });
  return {
    core,
    attempts,
    members,
    reservations,
    leases: createLeases({ core, runs, members, reservations }),
    versions: createVersionExchange({
      core,
      onHomesChanged: () => handleDisplacedRuns(core, reservations.revoke),
    }),
    usage: createUsageWatch({ core }),
    reporting: createReporting({ core }),
    shutdown: createShutdown({
      core,
      answers: attempts.answers,
      members,
      reservations,
    }),
    invariants: createInvariants({ core }),
  };
}

function applyEvent(parts: Parts, event: AgentEvent): void {
  const { attempts, members, shutdown } = parts;
  switch (event.kind) {
    case "tick":
      return;
    case "entryConnected":
      return connectEntry(parts, event.entry, event.hello);
    case "entryLost":
      return disconnectEntry(parts, event.entry);
    case "message":
      return receiveMessage(parts, event.entry, event.message);
    case "peerVersions":
      return parts.versions.compare(event.entry, event.versions);
    case "endpointAnswer":
      return attempts.answers.receive(event);
    case "endpointFailed":
      return attempts.failed(event);
    case "taskStarted":
      return members.started(event.task);
    case "taskCheckpointed":
      return members.handleTaskCheckpointed(event.task);
    case "taskEnded":
      return members.ended(event);
    case "tasksFound":
      return adoptFoundTasks(parts, event.members);
    case "usage":
      return parts.usage.receive(event);
    case "stopRequested":
      return shutdown.exit();
  }
}

function receiveMessage(
  parts: Parts,
  entry: EntryId,
  message: EntryMessage,
): void {
  const { attempts, reservations, leases, versions } = parts;
  switch (message.kind) {
    case "attempt":
      return attempts.receive(entry, message);
    case "cancelAttempt":
      return attempts.cancel(entry, message.attempt);
    case "queryAttempt":
      return attempts.query(entry, message.attempt);
    case "reserve":
      return reservations.reserve(entry, message);
    case "commit":
      return reservations.commit(entry, message);
    case "release":
      return reservations.release(entry, message.run);
    case "renew":
      return leases.renew(entry, message);
    case "stop":
      return leases.stop(entry, message);
    case "throttle":
      return leases.throttle(message);
    case "configuration":
      return versions.configuration(message.configuration);
    case "homes":
      return versions.homes(message.homes);
    case "fetch":
      return versions.fetch(entry, message.versions);
    case "entries":
      return versions.entries(message);
    case "drain":
      return parts.shutdown.leave();
  }
}

function connectEntry(parts: Parts, entry: EntryId, hello: Hello): void {
  // The entry may connect again before the loss of its session is noticed.
  if (parts.core.peers.has(entry)) disconnectEntry(parts, entry);
  parts.core.peers.set(entry, {
    id: entry,
    versions: hello.versions,
    laggingSince: undefined,
    lastReportAt: -Infinity,
    reportedVersions: undefined,
    slotsUnreported: true,
  });
  parts.versions.compare(entry, hello.versions);
}

function disconnectEntry(parts: Parts, entry: EntryId): void {
  parts.core.peers.delete(entry);
  parts.attempts.answers.handleEntryLost(entry);
  parts.versions.handleEntryLost(entry);
}

function adoptFoundTasks(parts: Parts, found: MemberReport[]): void {
  // Found tasks hold capacity already, so reservations are dropped.
  for (const run of [...parts.core.runs.values()]) {
    if (run.phase !== "committed") {
      parts.reservations.revoke(run, "tasks-found");
    }
  }
  for (const report of found) parts.reservations.fence(report.run, false);
  parts.members.adopt(found);
  if (parts.core.state.leaving) parts.shutdown.stopMembers();
}

/**
 * Handles non-revocable runs on accelerators that a new homes table gives to
 * another team: reservations are dropped, and committed runs may stay.
 */
function handleDisplacedRuns(
  core: Core,
  revoke: (run: Run, cause: string) => void,
): void {
  const { homes, inventory } = core.state;
  const local = getLocalHomes({ homes, worker: inventory.worker });
  for (const run of [...core.runs.values()]) {
    if (run.revocable || run.displaced) continue;
    const foreign = run.members.some((member) =>
      member.report.accelerators.some((one) =>
        ![undefined, run.team].includes(local.teamOf(one))
      )
    );
    if (!foreign) continue;
    if (run.phase !== "committed") {
      revoke(run, "home-moved");
      continue;
    }
    run.displaced = true;
    count(core, "runs.displaced");
    log(
      core,
      "warn",
      "Accelerators of a non-revocable gang are now the home of another team.",
      {
        job: run.id.job,
      },
    );
  }
}
