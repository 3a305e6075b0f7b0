/**
 * Faults that a soak starts at random. Each fault ends by itself.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds, Random } from "@dragonflyledge/model";
import type { Cluster, EndpointMode, StoreMode } from "../cluster/mod.ts";
import { note } from "../record.ts";
import { cancel } from "../replay.ts";
import { changeConfiguration } from "./operators.ts";

/**
 * Starts a fault and schedules its end. Does nothing if the cluster has no
 * suitable target, such as a live agent that is not leaving.
 */
export type Fault = (cluster: Cluster, random: Random) => void;

/** How often to check whether a stopping process has ended. */
const STOP_CHECK_INTERVAL: Milliseconds = 3 * SECOND;

/** Picks a random item; undefined if there is none. */
function pick<Item>(items: Iterable<Item>, random: Random): Item | undefined {
  const list = [...items];
  return list[Math.floor(random() * list.length)];
}

/** Draws a duration between two bounds. */
function randomBetween(
  random: Random,
  low: Milliseconds,
  high: Milliseconds,
): Milliseconds {
  return low + random() * (high - low);
}

/** Picks a machine whose agent is alive and not leaving. */
function pickMachine(cluster: Cluster, random: Random) {
  return pick(
    [...cluster.machines.values()].filter((each) =>
      each.agent?.process.alive && !each.agent.reducer.state.leaving
    ),
    random,
  );
}

/** Picks an entry that is alive and not stopping. */
function pickEntry(cluster: Cluster, random: Random) {
  return pick(
    [...cluster.entries.values()].filter((each) =>
      each.process.alive && !each.reducer.state.stopping
    ),
    random,
  );
}

/** A session drops all messages until both sides time out and close it. */
const silence: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session) session.silent = true;
};

/**
 * The messages of a session arrive late. Those that follow the end of the delay
 * arrive in a burst, since they keep their order.
 */
const late: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session === undefined) return;
  session.extraDelay = randomBetween(random, 100, 2500);
  cluster.heap.after(
    randomBetween(random, 500, 5000),
    () => session.extraDelay = 0,
  );
};

/** A session is closed. Queries and replayed answers follow when it reopens. */
const reset: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session) cluster.sessions.close(session);
};

/**
 * Cuts an agent off from all entries for 4 to 14 s. The leases of its gangs
 * lapse if that is longer than `GANG_LEASE`.
 */
const isolate: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const until = cluster.heap.now +
    randomBetween(random, 4 * SECOND, 14 * SECOND);
  const cut = () => {
    cluster.sessions.disconnect(machine.inventory.worker, true);
    if (cluster.heap.now < until) cluster.heap.after(100, cut);
  };
  cut();
};

/** Kills an agent and starts a new one at once. */
const restartAgent: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine) cluster.restartAgent(machine.inventory.worker);
};

/** Pauses an agent for up to 13 s, which can exceed a gang lease. */
const pauseAgent: Fault = (cluster, random) => {
  const agent = pickMachine(cluster, random)?.agent;
  if (agent === undefined) return;
  agent.process.pausedUntil = cluster.heap.now +
    randomBetween(random, 500, 13_000);
};

/**
 * A machine fails with its endpoint, worker and agent, and is later replaced by
 * an empty one.
 */
const loseMachine: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const { worker } = machine.inventory;
  cluster.loseMachine(worker);
  cluster.heap.after(
    randomBetween(random, 1000, 20_000),
    () => cluster.replaceMachine(worker),
  );
};

/** Stops an agent gracefully and replaces its machine after it has ended. */
const stopAgent: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  const agent = machine?.agent;
  if (agent === undefined) return;
  agent.process.whenRunning(() => agent.stop());
  const replace = () => {
    if (agent.process.alive) cluster.heap.after(STOP_CHECK_INTERVAL, replace);
    else if (machine!.agent === agent) {
      cluster.replaceMachine(machine!.inventory.worker);
    }
  };
  cluster.heap.after(STOP_CHECK_INTERVAL, replace);
};

/** Kills an entry and restarts it later. */
const killEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry === undefined) return;
  cluster.killEntry(entry.id);
  cluster.heap.after(
    randomBetween(random, 500, 10_000),
    () => cluster.restartEntry(entry.id),
  );
};

/** Pauses an entry, which resumes with its old state. */
const pauseEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry) cluster.pauseEntry(entry.id, randomBetween(random, 500, 13_000));
};

/** Stops an entry gracefully and restarts it after it has ended. */
const stopEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry === undefined) return;
  entry.process.whenRunning(() => entry.stop());
  const restart = () => {
    if (entry.process.alive) cluster.heap.after(STOP_CHECK_INTERVAL, restart);
    else if (cluster.entries.get(entry.id) === entry) {
      cluster.restartEntry(entry.id);
    }
  };
  cluster.heap.after(STOP_CHECK_INTERVAL, restart);
};

/** An endpoint fails, refuses, hangs or breaks off calls for some time. */
const endpoint: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const modes: EndpointMode[] = ["failing", "refusing", "hanging", "cut"];
  machine.endpoint.mode = pick(modes, random)!;
  const heal = () => machine.endpoint.mode = "ok";
  cluster.heap.after(randomBetween(random, 500, 8000), heal);
};

/** An endpoint answers with errors, and tasks on its worker fail. */
const failWorker: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  machine.endpoint.mode = "failing";
  machine.worker.failing = true;
  cluster.heap.after(randomBetween(random, 2000, 20_000), () => {
    machine.endpoint.mode = "ok";
    machine.worker.failing = false;
  });
};

/** The store is slow, down or loses its answers for some time. */
const store: Fault = (cluster, random) => {
  const { store, heap } = cluster;
  if (store.mode !== "up") return;
  store.mode = pick<StoreMode>(["slow", "down", "losing"], random)!;
  heap.after(randomBetween(random, 500, 15_000), () => {
    store.mode = "up";
    store.publishChange();
  });
};

/**
 * The callers of about half of the recent requests without an outcome and of
 * the recent jobs cancel them.
 */
const cancelRecentWork: Fault = (cluster, random) => {
  const { record, heap } = cluster;
  const open = [...record.requests.values()].slice(-200)
    .filter((each) => each.outcomes.length === 0 && !each.callerLeft);
  for (const request of open) {
    if (random() < 0.5) cancel(cluster, request.id);
  }
  for (const job of [...record.jobs.values()].slice(-10)) {
    const running = job.cancelledAt === Infinity && heap.now > job.submittedAt;
    if (running && random() < 0.5) cancel(cluster, job.id);
  }
};

/** Two operators change the same version of the configuration. */
const operators: Fault = (cluster, random) => {
  changeConfiguration(cluster, random);
  changeConfiguration(cluster, random);
};

/** All faults by the name under which a soak selects and counts them. */
export const faults: Readonly<Record<string, Fault>> = {
  silence,
  late,
  reset,
  isolate,
  "agent-restart": restartAgent,
  "agent-pause": pauseAgent,
  "machine-loss": loseMachine,
  leaving: stopAgent,
  "entry-death": killEntry,
  "entry-pause": pauseEntry,
  "entry-stop": stopEntry,
  endpoint,
  "worker-fails": failWorker,
  store,
  cancel: cancelRecentWork,
  operators,
};

/** Starts a fault by its name and notes it in the record. */
export function startFault(
  cluster: Cluster,
  name: string,
  random: Random,
): void {
  const fault = faults[name];
  if (fault === undefined) throw new Error(`no fault is named ${name}`);
  note(cluster.record, "faults", cluster.heap.now, name);
  fault(cluster, random);
}
