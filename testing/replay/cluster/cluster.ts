/**
 * Simulated cluster of one deployment in virtual time: entries and agents with
 * the real reducers, and fakes of all that surrounds them.
 *
 * @module
 */

import { assignHomes } from "@dragonflyledge/placement";
import type {
  EntryEvent,
  Inventory,
  Milliseconds,
  Versions,
  WorkerId,
} from "@dragonflyledge/model";
import { LOCAL_ONE_WAY } from "../deployment.ts";
import type { Deployment } from "../deployment.ts";
import type { EventHeap } from "../event_heap.ts";
import { note } from "../record.ts";
import type { RunRecord } from "../record.ts";
import { createMachine, startAgent } from "./agent_process.ts";
import type { AgentProcess, Machine } from "./agent_process.ts";
import { startEntry } from "./entry_process.ts";
import type { EntryProcess } from "./entry_process.ts";
import { createSessions } from "./sessions.ts";
import type { Sessions } from "./sessions.ts";
import { createStore } from "./store.ts";
import type { Store } from "./store.ts";
import { createAnswerBody } from "./endpoint.ts";

/** Interval at which an agent dials the entries to which it has no session. */
const DIAL_INTERVAL: Milliseconds = 500;

/** A deployment that runs in virtual time. */
export interface Cluster {
  readonly heap: EventHeap;
  readonly record: RunRecord;
  readonly deployment: Deployment;
  readonly store: Store;
  readonly sessions: Sessions;
  readonly machines: Map<WorkerId, Machine>;
  /** Newest incarnation of each entry, alive or dead, by id. */
  readonly entries: Map<string, EntryProcess>;
  /**
   * Sends an event of a caller to the next entry, in turn, that is alive and
   * not stopping. Returns this entry, or undefined if there is none.
   */
  submit(event: (now: Milliseconds) => EntryEvent): EntryProcess | undefined;
  /** Kills the agent of a worker, if any, and starts a new one. */
  restartAgent(worker: WorkerId): void;
  /** Fails endpoint, worker and agent of a machine; no session is reset. */
  loseMachine(worker: WorkerId): void;
  /** Fails a machine and puts an empty one with a new agent in its place. */
  replaceMachine(worker: WorkerId): void;
  /** Pauses an entry; does nothing if it is paused already. */
  pauseEntry(id: string, duration: Milliseconds): void;
  /** Kills an entry if it is alive, and starts a new incarnation of it. */
  restartEntry(id: string): void;
  /**
   * Kills an entry at once. Its sessions are closed, and its requests that
   * have no outcome are marked with `entryDied`.
   */
  killEntry(id: string): void;
}

/** Creates a cluster and starts its entries and agents. */
export function createCluster(fields: {
  heap: EventHeap;
  record: RunRecord;
  deployment: Deployment;
  seed: number;
}): Cluster {
  const { heap, record, deployment, seed } = fields;
  const { configuration, inventories, oneWay, domains } = deployment;
  const homes = assignHomes({ configuration, inventories, version: 1 });
  const store = createStore({ heap, configuration, homes });
  const sessions = createSessions({
    heap,
    delay: (from, to) => from === to ? LOCAL_ONE_WAY : oneWay,
  });
  const entries = new Map<string, EntryProcess>();
  const machines = new Map<WorkerId, Machine>();
  const progress = new Map<string, number[]>();
  let incarnations = 0;
  let nextEntry = 0;

  function onVersions(id: string, versions: Versions): void {
    const list = record.versions.get(id) ?? [];
    record.versions.set(id, list);
    list.push(versions.configuration);
  }

  function createEntry(id: string, index: number): void {
    const entry = startEntry({
      heap,
      id,
      incarnation: ++incarnations,
      domain: domains[index % domains.length]!,
      seed: seed * 1000 + incarnations,
      store,
      sessions,
      onVersions,
      onExit: (ended) => sessions.disconnect(ended.id, false),
      respond: (request, outcome) =>
        heap.after(deployment.clientOneWay, () => {
          note(record, request, heap.now, `outcome ${outcome.kind} from ${id}`);
          record.requests.get(request)?.outcomes
            .push({ at: heap.now, outcome });
          if (outcome.kind !== "done" && outcome.kind !== "failed") return;
          checkAnswer(record, request, outcome.answer.body);
        }),
      answerSubmission: ({ job, result }) => {
        note(record, job, heap.now, `submission ${result.kind}`);
        const known = record.jobs.get(job);
        if (known) known.answer = result;
      },
    });
    entries.set(id, entry);
  }

  function createAgent(machine: Machine): void {
    const agent = startAgent({
      heap,
      machine,
      incarnation: ++incarnations,
      onVersions,
      send: sessions.sendToEntry,
      onExit: (ended) => sessions.disconnect(ended.id, false),
    });
    dialAll(agent);
    agent.process.repeat(DIAL_INTERVAL, () => dialAll(agent));
  }

  function dialAll(agent: AgentProcess): void {
    for (const entry of entries.values()) {
      if (!entry.process.alive || sessions.isOpen(agent, entry.id)) continue;
      sessions.dial(agent, entry);
    }
  }

  function killEntry(id: string): void {
    const entry = entries.get(id);
    if (!entry?.process.alive) return;
    entry.process.alive = false;
    sessions.disconnect(id, false);
    for (const request of record.requests.values()) {
      if (request.entry === entryName(entry) && !request.outcomes.length) {
        request.entryDied = true;
      }
    }
  }

  for (let index = 0; index < deployment.entries; index++) {
    createEntry(`e${index + 1}`, index);
  }
  function addMachine(inventory: Inventory): void {
    const machine = createMachine({ heap, inventory, record, progress });
    machines.set(inventory.worker, machine);
    createAgent(machine);
  }

  function loseMachine(worker: WorkerId): void {
    const machine = machines.get(worker)!;
    if (machine.agent) machine.agent.process.alive = false;
    machine.endpoint.crash();
    machine.worker.crash();
    sessions.disconnect(worker, true);
  }

  for (const inventory of inventories) addMachine(inventory);

  return {
    heap,
    record,
    deployment,
    store,
    sessions,
    machines,
    entries,
    killEntry,
    loseMachine,
    replaceMachine(worker) {
      loseMachine(worker);
      addMachine(machines.get(worker)!.inventory);
    },
    pauseEntry(id, duration) {
      const entry = entries.get(id)!;
      if (heap.now < entry.process.pausedUntil) return;
      entry.process.pausedUntil = heap.now + duration;
      const name = entryName(entry);
      record.pauses.set(name, (record.pauses.get(name) ?? 0) + duration);
    },
    submit(event) {
      const live = [...entries.values()].filter((entry) =>
        entry.process.alive && !entry.reducer.state.stopping
      );
      const entry = live[nextEntry++ % Math.max(1, live.length)];
      if (entry === undefined) return undefined;
      heap.after(
        deployment.clientOneWay,
        () => entry.process.whenRunning(() => entry.dispatch(event(heap.now))),
      );
      return entry;
    },
    restartAgent(worker) {
      const machine = machines.get(worker)!;
      const { agent } = machine;
      if (agent) {
        agent.process.alive = false;
        sessions.disconnect(worker, false);
      }
      createAgent(machine);
    },
    restartEntry(id) {
      killEntry(id);
      createEntry(id, [...entries.keys()].indexOf(id));
    },
  };
}

/** Returns the name of one incarnation of an entry, as in `e1#4`. */
export function entryName(entry: { id: string; incarnation: number }): string {
  return `${entry.id}#${entry.incarnation}`;
}

/**
 * Records a fault unless the answer is the complete answer to the request or to
 * another request with its idempotency key, since a repeated request gets the
 * answer of the first one.
 */
function checkAnswer(record: RunRecord, request: string, body: Uint8Array) {
  const text = new TextDecoder().decode(body);
  const key = record.requests.get(request)?.idempotencyKey;
  const accepted = key === undefined ? [request] : record.keys.get(key) ?? [];
  const complete = accepted.some((id) =>
    new TextDecoder().decode(createAnswerBody(id)) === text
  );
  if (complete) return;
  record.faults.push(`answer-whole: ${request} was answered with "${text}"`);
}
