/**
 * An agent with its endpoint, worker and sessions.
 *
 * @module
 */

import { createAgentReducer } from "@dragonflyledge/agent-reducer";
import type { AgentReducer } from "@dragonflyledge/agent-reducer";
import { PROTOCOL_VERSION } from "@dragonflyledge/model";
import type {
  AgentEffect,
  AgentEvent,
  AgentMessage,
  AttemptId,
  Inventory,
  Milliseconds,
  TaskId,
  Versions,
} from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import type { RunRecord } from "../record.ts";
import { createEndpoint } from "./endpoint.ts";
import type { Endpoint } from "./endpoint.ts";
import { createProcess } from "./process.ts";
import type { AgentPeer } from "./sessions.ts";
import { createWorker } from "./worker.ts";
import type { Progress, Worker } from "./worker.ts";

const TICK_INTERVAL: Milliseconds = 20;
const USAGE_INTERVAL: Milliseconds = 1000;
const USAGE_LAG: Milliseconds = 2000;

/** A machine: endpoint and worker, which outlive a restart of the agent. */
export interface Machine {
  inventory: Inventory;
  endpoint: Endpoint;
  worker: Worker;
  agent: AgentProcess | undefined;
}

/** A running agent. */
export interface AgentProcess extends AgentPeer {
  reducer: AgentReducer;
  stop(): void;
}

/** Creates a machine without an agent. */
export function createMachine(fields: {
  heap: EventHeap;
  inventory: Inventory;
  record: RunRecord;
  progress: Progress;
}): Machine {
  const { heap, inventory, record } = fields;
  const tell = (event: (now: Milliseconds) => AgentEvent) => {
    const { agent } = machine;
    agent?.process.whenRunning(() => agent.dispatch(event(heap.now)));
  };
  const machine: Machine = {
    inventory,
    endpoint: createEndpoint({ heap, worker: inventory.worker, record }),
    worker: createWorker({
      ...fields,
      handlers: {
        onStarted: (task) =>
          tell((now) => ({ kind: "taskStarted", now, task })),
        onCheckpointed: (task) =>
          tell((now) => ({ kind: "taskCheckpointed", now, task })),
        onEnded: (task, ending, cause) =>
          tell((now) => ({ kind: "taskEnded", now, task, ending, cause })),
      },
    }),
    agent: undefined,
  };
  return machine;
}

/** Starts an agent on a machine. */
export function startAgent(fields: {
  heap: EventHeap;
  machine: Machine;
  incarnation: number;
  send: (agent: AgentPeer, entry: string, message: AgentMessage) => void;
  onExit: (agent: AgentProcess) => void;
  onVersions: (id: string, versions: Versions) => void;
}): AgentProcess {
  const { heap, machine, incarnation } = fields;
  const { inventory, worker, endpoint } = machine;
  const reducer = createAgentReducer({ inventory, incarnation });
  const process = createProcess(heap);

  function dispatch(event: AgentEvent): void {
    if (!process.alive) return;
    for (const effect of reducer.reduce(event)) perform(effect);
  }

  function perform(effect: AgentEffect): void {
    switch (effect.kind) {
      case "send":
        return fields.send(agent, effect.entry, effect.message);
      case "callEndpoint":
        return call(effect.attempt);
      case "abortCall":
        return endpoint.abort(effect.attempt);
      case "startTask":
        return worker.start(effect);
      case "renewTask":
        return worker.renew(effect.task, effect.lease);
      case "checkpointTask":
        return worker.checkpoint(effect.task);
      case "stopTask":
        return worker.stop(effect.task as TaskId);
      case "exit":
        process.alive = false;
        return fields.onExit(agent);
      case "log":
        if (effect.text.startsWith("A new version")) versionsChanged();
    }
  }

  function call(attempt: AttemptId): void {
    endpoint.call(attempt, {
      onPiece: (status, piece, last) =>
        process.whenRunning(() =>
          dispatch({
            kind: "endpointAnswer",
            now: heap.now,
            attempt,
            status,
            contentType: "text/plain",
            piece,
            last,
          })
        ),
      onFailure: (sent, cause) =>
        process.whenRunning(() =>
          dispatch({
            kind: "endpointFailed",
            now: heap.now,
            attempt,
            sent,
            cause,
          })
        ),
    });
  }

  function versions(): Versions {
    return {
      configuration: reducer.state.configuration?.version ?? 0,
      homes: reducer.state.homes?.version ?? 0,
    };
  }

  function versionsChanged(): void {
    fields.onVersions(`${inventory.worker}#${incarnation}`, versions());
  }

  const agent: AgentProcess = {
    id: inventory.worker,
    incarnation,
    domain: inventory.location.failureDomain,
    process,
    reducer,
    dispatch,
    versions,
    hello: () => ({
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      role: "agent",
      id: inventory.worker,
      incarnation,
      versions: versions(),
      inventory,
      members: reducer.state.members,
    }),
    stop: () => dispatch({ kind: "stopRequested", now: heap.now }),
  };
  machine.agent = agent;
  dispatch({ kind: "tasksFound", now: heap.now, members: worker.list() });
  process.repeat(
    TICK_INTERVAL,
    () => dispatch({ kind: "tick", now: heap.now }),
  );
  process.repeat(USAGE_INTERVAL, () => {
    const { cores, memoryMiB } = worker.usage();
    const age = USAGE_LAG;
    dispatch({ kind: "usage", now: heap.now, cores, memoryMiB, age });
  });
  return agent;
}
