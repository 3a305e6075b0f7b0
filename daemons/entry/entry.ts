/**
 * Creates the parts of the entry daemon and connects them to its reducer.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createEntryReducer } from "@dragonflyledge/entry-reducer";
import { PROTOCOL_VERSION, sleep } from "@dragonflyledge/model";
import type {
  AgentMessage,
  Clock,
  EntryEffect,
  EntryEvent,
  Hello,
  Milliseconds,
  Random,
  StepError,
  Timer,
  Versions,
} from "@dragonflyledge/model";
import {
  createLoop,
  repeat,
  reportReducerError,
} from "@dragonflyledge/runtime";
import type { Observer } from "@dragonflyledge/runtime";
import { createAdministrationRoutes } from "./administration.ts";
import { acceptAgents } from "./agent_sessions.ts";
import { readTokenDigest } from "./http/authentication.ts";
import { createJobApi } from "./http/job_api.ts";
import { createRequestApi } from "./http/request_api.ts";
import { startHttpServer } from "./http/server.ts";
import type { HttpRequest } from "./http/server.ts";
import { createJobLookup } from "./job_lookup.ts";
import type { Records } from "./records.ts";
import { startGauges } from "./gauges.ts";
import { createStoreEffects } from "./store_effects.ts";

/** Interval between the tick events of the reducer. */
const TICK_INTERVAL: Milliseconds = 10;
/**
 * Time between the start of a shutdown, when the entry reports that it is not
 * ready, and the end of its server, so that load balancers notice.
 */
const SHUTDOWN_DELAY: Milliseconds = 200;

/** An operator, identified by a bearer token. */
export interface Operator {
  name: string;
  /** SHA-256 digest of the bearer token in hexadecimal. */
  tokenDigest: string;
}

/** Settings of one entry. */
export interface EntrySettings {
  id: string;
  /** Failure domain in which this entry runs. */
  failureDomain: string;
  /** Address on which the entry listens. */
  host: string;
  /** Port for sessions with agents; 0 picks a free one. */
  port: number;
  /** Port for HTTP. */
  httpPort: number;
  /** Host name or IP address at which others reach this process. */
  advertise: string;
  /** Maximum size of an HTTP request body in bytes. */
  bodyLimit: number;
  /** Maximum number of open HTTP connections. */
  connections: number;
  operators: Operator[];
}

/** A running entry. */
export interface Entry {
  /** Port for sessions with agents. */
  readonly port: number;
  readonly httpPort: number;
  /** Starts a graceful shutdown; further calls have no effect. */
  stop(): void;
  /** Resolves when the entry has ended. */
  readonly ended: Promise<void>;
}

/**
 * Creates the access to the records. It is called once the addresses of the
 * entry, which the records publish, are known.
 */
export type OpenRecords = (fields: {
  incarnation: number;
  address: string;
  httpAddress: string;
}) => Records;

/**
 * Starts an entry: sessions with agents, the HTTP server, and the records in
 * the store. Fails with `DFL_SESSION` if a port cannot be opened.
 */
export async function startEntry(fields: {
  settings: EntrySettings;
  openRecords: OpenRecords;
  clock: Clock;
  timer: Timer;
  random: Random;
  observer: Observer;
}): Promise<Result<Entry, StepError>> {
  const { settings, clock, timer, random, observer } = fields;
  const incarnation = clock.date().getTime();
  const reducer = createEntryReducer({
    id: settings.id,
    incarnation,
    random,
    failureDomain: settings.failureDomain,
  });
  const { state } = reducer;
  const loop = createLoop<EntryEvent, EntryEffect>({
    reduce: reducer.reduce,
    perform,
    onFailure: (error) => reportReducerError(observer, error),
  });
  const { dispatch } = loop;
  let end = () => {};
  const ended = new Promise<void>((resolve) => {
    end = resolve;
  });

  const agents = await acceptAgents({
    host: settings.host,
    port: settings.port,
    hello,
    versions,
    clock,
    timer,
    observer,
    handlers: {
      onConnected: (hello) =>
        dispatch({ kind: "agentConnected", now: clock.now(), hello }),
      onLost: (worker, incarnation) =>
        dispatch({ kind: "agentLost", now: clock.now(), worker, incarnation }),
      onMessage: ({ id, incarnation }, message) =>
        dispatch({
          kind: "message",
          now: clock.now(),
          worker: id,
          incarnation,
          message: message as AgentMessage,
        }),
      onVersions: (worker, versions) =>
        dispatch({ kind: "peerVersions", now: clock.now(), worker, versions }),
    },
  });
  if (agents.isErr()) return err(agents.error);
  const sessions = agents.value;

  const requests = createRequestApi({
    clock,
    configuration: () => state.configuration,
    createId: randomUUID,
    dispatch,
  });
  const records = fields.openRecords({
    incarnation,
    address: `${settings.advertise}:${sessions.port}`,
    httpAddress: `${settings.advertise}:${settings.httpPort}`,
  });
  const lookup = createJobLookup({ state, records });
  const jobs = createJobApi({
    clock,
    configuration: () => state.configuration,
    isOperator: (request) => findOperator(request) !== undefined,
    createId: randomUUID,
    lookup,
    dispatch,
  });
  const store = createStoreEffects({
    records,
    clock,
    timer,
    observer,
    dispatch,
  });
  const routes = [
    ...requests.routes,
    ...jobs.routes,
    ...createAdministrationRoutes({
      state,
      records,
      clock,
      findOperator,
      countWaiting: lookup.countWaiting,
      dispatch,
    }),
  ];
  const http = await startHttpServer({
    host: settings.host,
    port: settings.httpPort,
    bodyLimit: settings.bodyLimit,
    connections: settings.connections,
    routes,
  });
  if (http.isErr()) {
    await sessions.close();
    await records.close();
    return err(http.error);
  }
  const server = http.value;

  records.follow({
    onConfiguration: (configuration) =>
      dispatch({ kind: "configurationSeen", now: clock.now(), configuration }),
    onHomes: (homes) =>
      dispatch({ kind: "homesSeen", now: clock.now(), homes }),
    onEntries: (entries) =>
      dispatch({ kind: "entriesSeen", now: clock.now(), entries }),
    onLease: (validUntil) =>
      dispatch({ kind: "leaseRenewed", now: clock.now(), validUntil }),
  });
  const gauges = startGauges({ state, records, clock, timer, observer });
  tick();
  const cancelTick = repeat({ timer, interval: TICK_INTERVAL, task: tick });
  observer.log("info", "Entry started.", {
    entry: settings.id,
    port: sessions.port,
    httpPort: server.port,
  });

  function versions(): Versions {
    return {
      configuration: state.configuration?.version ?? 0,
      homes: state.homes?.version ?? 0,
    };
  }

  function hello(): Hello {
    return {
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      role: "entry",
      id: settings.id,
      incarnation,
      versions: versions(),
    };
  }

  function findOperator(request: HttpRequest): string | undefined {
    const digest = readTokenDigest(request.headers.authorization);
    return settings.operators
      .find((operator) => operator.tokenDigest === digest)?.name;
  }

  function tick(): void {
    dispatch({ kind: "tick", now: clock.now() });
  }

  function perform(effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        sessions.send(effect.worker, effect.incarnation, effect.message);
        return;
      case "disconnect":
        sessions.disconnect(effect.worker, effect.incarnation);
        return;
      case "respond":
        return requests.respond(effect.request, effect.outcome);
      case "answerSubmission":
        return jobs.answerSubmission(effect.job, effect.result);
      case "log":
        return observer.log(effect.level, effect.text, effect.fields);
      case "count":
        return observer.count(effect.metric, effect.value, effect.tags);
      case "exit":
        void shutDown();
        return;
      default:
        store.perform(effect);
    }
  }

  async function shutDown(): Promise<void> {
    await sleep({ timer, delay: SHUTDOWN_DELAY });
    cancelTick();
    store.close();
    gauges.stop();
    await server.close();
    await sessions.close();
    await records.close();
    observer.log("info", "Entry ended.", { entry: settings.id });
    end();
  }

  return ok({
    port: sessions.port,
    httpPort: server.port,
    stop: () => dispatch({ kind: "stopRequested", now: clock.now() }),
    ended,
  });
}
