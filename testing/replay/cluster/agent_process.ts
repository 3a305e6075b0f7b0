/**
 * Simulated agent: the real reducer, whose effects are carried out on a fake
 * endpoint, worker and sessions.
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

/** Interval of the `tick` events. */
const TICK_INTERVAL: Milliseconds = 20;
/** Interval at which the agent gets the usage of its worker. */
const USAGE_INTERVAL: Milliseconds = 1000;
/** Age that is given with each usage sample. */
const USAGE_LAG: Milliseconds = 2000;

/** A machine. Its endpoint and worker keep running when the agent restarts. */
export interface Machine {
  inventory: Inventory;
  endpoint: Endpoint;
  worker: Worker;
  /** The agent that was started last, alive or not. */
  agent: AgentProcess | undefined;
}

/** One incarnation of an agent. */
export interface AgentProcess extends AgentPeer {
  reducer: AgentReducer;
  /** Asks the agent to shut down. */
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
  const notifyAgent = (event: (now: Milliseconds) => AgentEvent) => {
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
          notifyAgent((now) => ({ kind: "taskStarted", now, task })),
        onCheckpointed: (task) =>
          notifyAgent((now) => ({ kind: "taskCheckpointed", now, task })),
        onEnded: (task, ending, cause) =>
          notifyAgent((now) => ({
            kind: "taskEnded",
            now,
            task,
            ending,
            cause,
          })),
      },
    }),
    agent: undefined,
  };
  return machine;
}

/**
 * Starts an agent on a machine and passes it the tasks that the worker runs.
 * The caller opens its sessions.
 */
export function startAgent(fields: {
  heap: EventHeap;
  machine: Machine;
  incarnation: number;
  send: (agent: AgentPeer, entry: string, message: AgentMessage) => void;
  /** Called when the agent exits by itself. */
  onExit: (agent: AgentProcess) => void;
  /** Called with the versions in force when one of them has changed. */
  onVersions: (id: string, versions: Versions) => void;
}): AgentProcess {
  const { heap, machine, incarnation } = fields;
  const { inventory, worker, endpoint } = machine;
  const reducer = createAgentReducer({ inventory, incarnation });
  const process = createProcess(heap);

  function dispatch(event: AgentEvent): void {
    if (!process.alive) return;
    for (const effect of reducer.reduce(event)) performEffect(effect);
  }

  function performEffect(effect: AgentEffect): void {
    switch (effect.kind) {
      case "send":
        return fields.send(agent, effect.entry, effect.message);
      case "callEndpoint":
        return callEndpoint(effect.attempt);
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
        // No effect reports new versions, so the log message is used instead.
        if (effect.text.startsWith("A new version")) reportVersions();
    }
  }

  function callEndpoint(attempt: AttemptId): void {
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

  function reportVersions(): void {
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
