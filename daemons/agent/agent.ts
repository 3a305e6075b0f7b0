/**
 * Creates the parts of the agent daemon and connects them to its reducer.
 *
 * @module
 */

import { createAgentReducer } from "@dragonflyledge/agent-reducer";
import { PROTOCOL_VERSION } from "@dragonflyledge/model";
import type {
  AgentEffect,
  AgentEvent,
  Clock,
  EntryMessage,
  Hello,
  Inventory,
  Milliseconds,
  Random,
  Timer,
  Versions,
} from "@dragonflyledge/model";
import {
  createLoop,
  repeat,
  reportReducerError,
} from "@dragonflyledge/runtime";
import { createEndpointClient } from "./endpoint_client.ts";
import { createEntrySessions } from "./entry_sessions.ts";
import type { Observer } from "@dragonflyledge/runtime";
import { createWorkerClient } from "./worker_client.ts";

/** Interval between the tick events of the reducer. */
const TICK_INTERVAL: Milliseconds = 20;

/** Settings of one agent. */
export interface AgentSettings {
  /** The worker with its capacity and location, and the service it runs. */
  inventory: Inventory;
  /** Addresses of entries or of their load balancer, as `host:port`. */
  seeds: string[];
  /** Base URL of the endpoint of this agent. */
  endpointUrl: string;
  /** Base URL of the worker. */
  workerUrl: string;
}

/** A running agent. */
export interface Agent {
  /** Starts a graceful shutdown; further calls have no effect. */
  stop(): void;
  /** Resolves when the agent has ended. */
  readonly ended: Promise<void>;
}

/**
 * Starts an agent. It first lists the tasks that already run on the worker, so
 * that it reports them to the entries.
 */
export async function startAgent(fields: {
  settings: AgentSettings;
  clock: Clock;
  timer: Timer;
  random: Random;
  observer: Observer;
}): Promise<Agent> {
  const { settings, clock, timer, random, observer } = fields;
  const incarnation = clock.date().getTime();
  const reducer = createAgentReducer({
    inventory: settings.inventory,
    incarnation,
  });
  const loop = createLoop<AgentEvent, AgentEffect>({
    reduce: reducer.reduce,
    perform,
    onFailure: (error) => reportReducerError(observer, error),
  });
  let end = () => {};
  const ended = new Promise<void>((resolve) => {
    end = resolve;
  });

  const endpoint = createEndpointClient({
    url: settings.endpointUrl,
    connections: settings.inventory.connections,
    handlers: {
      onPiece: (attempt, piece) =>
        loop.dispatch({
          kind: "endpointAnswer",
          now: clock.now(),
          attempt,
          ...piece,
        }),
      onFailure: (attempt, failure) =>
        loop.dispatch({
          kind: "endpointFailed",
          now: clock.now(),
          attempt,
          ...failure,
        }),
    },
  });
  const worker = createWorkerClient({
    url: settings.workerUrl,
    clock,
    timer,
    dispatch: loop.dispatch,
    observer,
  });
  const found = await worker.findTasks();
  loop.dispatch({ kind: "tasksFound", now: clock.now(), members: found });
  const entries = createEntrySessions({
    seeds: settings.seeds,
    hello,
    versions,
    clock,
    timer,
    random,
    observer,
    handlers: {
      onConnected: (peer) =>
        loop.dispatch({
          kind: "entryConnected",
          now: clock.now(),
          entry: peer.id,
          hello: peer,
        }),
      onLost: (entry) =>
        loop.dispatch({ kind: "entryLost", now: clock.now(), entry }),
      onMessage: (entry, message) =>
        loop.dispatch({
          kind: "message",
          now: clock.now(),
          entry,
          message: message as EntryMessage,
        }),
      onVersions: (entry, versions) =>
        loop.dispatch({
          kind: "peerVersions",
          now: clock.now(),
          entry,
          versions,
        }),
    },
  });
  worker.watch();
  tick();
  const cancelTick = repeat({ timer, interval: TICK_INTERVAL, task: tick });

  function versions(): Versions {
    return {
      configuration: reducer.state.configuration?.version ?? 0,
      homes: reducer.state.homes?.version ?? 0,
    };
  }

  function hello(): Hello {
    return {
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      role: "agent",
      id: settings.inventory.worker,
      incarnation,
      versions: versions(),
      inventory: settings.inventory,
      members: reducer.state.members,
    };
  }

  function tick(): void {
    loop.dispatch({ kind: "tick", now: clock.now() });
  }

  function perform(effect: AgentEffect): void {
    switch (effect.kind) {
      case "send":
        entries.send(effect.entry, effect.message);
        return;
      case "callEndpoint":
        return endpoint.call(effect);
      case "abortCall":
        return endpoint.abort(effect.attempt);
      case "startTask":
      case "renewTask":
      case "checkpointTask":
      case "throttleTask":
      case "stopTask":
        return worker.perform(effect);
      case "dialEntries":
        return entries.setEntries(effect.entries);
      case "log":
        return observer.log(effect.level, effect.text, effect.fields);
      case "count":
        return observer.count(effect.metric, effect.value, effect.tags);
      case "exit":
        shutDown();
    }
  }

  function shutDown(): void {
    cancelTick();
    entries.close();
    worker.close();
    endpoint.close().then(end, end);
  }

  return {
    stop: () => loop.dispatch({ kind: "stopRequested", now: clock.now() }),
    ended,
  };
}
