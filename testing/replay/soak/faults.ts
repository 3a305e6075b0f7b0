/**
 * Faults of the soak. Each one heals by itself.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds, Random } from "@dragonflyledge/model";
import type { Cluster, EndpointMode, StoreMode } from "../cluster/mod.ts";
import { note } from "../record.ts";
import { cancel } from "../replay.ts";
import { changeConfiguration } from "./operators.ts";

/** Starts a fault and arranges its end. */
export type Fault = (cluster: Cluster, random: Random) => void;

const RESTART_DELAY: Milliseconds = 3 * SECOND;

function pick<Item>(items: Iterable<Item>, random: Random): Item | undefined {
  const list = [...items];
  return list[Math.floor(random() * list.length)];
}

function between(
  random: Random,
  low: Milliseconds,
  high: Milliseconds,
): Milliseconds {
  return low + random() * (high - low);
}

function pickMachine(cluster: Cluster, random: Random) {
  return pick(
    [...cluster.machines.values()].filter((each) =>
      each.agent?.process.alive && !each.agent.reducer.state.leaving
    ),
    random,
  );
}

function pickEntry(cluster: Cluster, random: Random) {
  return pick(
    [...cluster.entries.values()].filter((each) =>
      each.process.alive && !each.reducer.state.stopping
    ),
    random,
  );
}

/** Messages are lost until both ends give the session up. */
const silence: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session) session.silent = true;
};

/** Messages come late, and in a burst when the delay ends. */
const late: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session === undefined) return;
  session.extraDelay = between(random, 100, 2500);
  cluster.heap.after(between(random, 500, 5000), () => session.extraDelay = 0);
};

/** The session is reset; queries and replayed answers follow. */
const reset: Fault = (cluster, random) => {
  const session = pick(cluster.sessions.list, random);
  if (session) cluster.sessions.close(session);
};

/** No entry reaches the agent until the leases of its gangs have lapsed. */
const isolate: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const until = cluster.heap.now + between(random, 4 * SECOND, 14 * SECOND);
  const cut = () => {
    cluster.sessions.disconnect(machine.inventory.worker, true);
    if (cluster.heap.now < until) cluster.heap.after(100, cut);
  };
  cut();
};

const restartAgent: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine) cluster.restartAgent(machine.inventory.worker);
};

const pauseAgent: Fault = (cluster, random) => {
  const agent = pickMachine(cluster, random)?.agent;
  if (agent === undefined) return;
  agent.process.pausedUntil = cluster.heap.now + between(random, 500, 13_000);
};

const loseMachine: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const { worker } = machine.inventory;
  cluster.loseMachine(worker);
  cluster.heap.after(
    between(random, 1000, 20_000),
    () => cluster.replaceMachine(worker),
  );
};

const leave: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  const agent = machine?.agent;
  if (agent === undefined) return;
  agent.process.whenRunning(() => agent.stop());
  const replace = () => {
    if (agent.process.alive) cluster.heap.after(RESTART_DELAY, replace);
    else if (machine!.agent === agent) {
      cluster.replaceMachine(machine!.inventory.worker);
    }
  };
  cluster.heap.after(RESTART_DELAY, replace);
};

const killEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry === undefined) return;
  cluster.killEntry(entry.id);
  cluster.heap.after(
    between(random, 500, 10_000),
    () => cluster.restartEntry(entry.id),
  );
};

const pauseEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry) cluster.pauseEntry(entry.id, between(random, 500, 13_000));
};

const stopEntry: Fault = (cluster, random) => {
  const entry = pickEntry(cluster, random);
  if (entry === undefined) return;
  entry.process.whenRunning(() => entry.stop());
  const restart = () => {
    if (entry.process.alive) cluster.heap.after(RESTART_DELAY, restart);
    else if (cluster.entries.get(entry.id) === entry) {
      cluster.restartEntry(entry.id);
    }
  };
  cluster.heap.after(RESTART_DELAY, restart);
};

const endpoint: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  const modes: EndpointMode[] = ["failing", "refusing", "hanging", "cut"];
  machine.endpoint.mode = pick(modes, random)!;
  const heal = () => machine.endpoint.mode = "ok";
  cluster.heap.after(between(random, 500, 8000), heal);
};

const failingWorker: Fault = (cluster, random) => {
  const machine = pickMachine(cluster, random);
  if (machine === undefined) return;
  machine.endpoint.mode = "failing";
  machine.worker.failing = true;
  cluster.heap.after(between(random, 2000, 20_000), () => {
    machine.endpoint.mode = "ok";
    machine.worker.failing = false;
  });
};

const store: Fault = (cluster, random) => {
  const { store, heap } = cluster;
  if (store.mode !== "up") return;
  store.mode = pick<StoreMode>(["slow", "down", "losing"], random)!;
  heap.after(between(random, 500, 15_000), () => {
    store.mode = "up";
    store.publishChange();
  });
};

const cancelWave: Fault = (cluster, random) => {
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

/** Two operators change the same version. */
const operators: Fault = (cluster, random) => {
  changeConfiguration(cluster, random);
  changeConfiguration(cluster, random);
};

/** All faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
  silence,
  late,
  reset,
  isolate,
  "agent-restart": restartAgent,
  "agent-pause": pauseAgent,
  "machine-loss": loseMachine,
  leaving: leave,
  "entry-death": killEntry,
  "entry-pause": pauseEntry,
  "entry-stop": stopEntry,
  endpoint,
  "worker-fails": failingWorker,
  store,
  cancel: cancelWave,
  operators,
};

/** Starts a fault and notes it. */
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
