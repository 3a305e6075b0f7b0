/**
 * Connects the agent's reducer to its worker, to leaders and to the store.
 *
 * The agent calls the worker on its own machine, listens for that worker's
 * heartbeats and for links from leaders, and registers its address in the
 * store.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { MEBIBYTE } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import { listenLinks } from "@dragonflyledge/link";
import type { Link } from "@dragonflyledge/link";
import {
  createKeyValue,
  createWorkerClient,
  parseHeartbeatPath,
} from "@dragonflyledge/platform";
import type { ProcessSettings } from "@dragonflyledge/platform";
import type { Instruments } from "@dragonflyledge/exposition";
import {
  instrumentStore,
  limitLinks,
  listenHttp,
  registerAddress,
} from "@dragonflyledge/program";
import type {
  ClientControl,
  HttpAnswer,
  HttpRequest,
} from "@dragonflyledge/program";
import { createElapsedClock, createLoop } from "@dragonflyledge/runtime";
import { agentKey, decodeOrders, runKey } from "@dragonflyledge/scheduler";
import {
  createWorkerControl,
  grantLength,
  latestToken,
} from "@dragonflyledge/worker-control";
import type {
  ControlEffect,
  ControlEvent,
} from "@dragonflyledge/worker-control";
import { createWorkerCheck, Refusal } from "./worker_check.ts";

/** Interval of the events that let the reducer apply its timeouts. */
const TICK_INTERVAL: Milliseconds = 200;
/** Time without a link after which the agent checks its registration. */
const NO_LINK_LIMIT: Milliseconds = 10_000;
/** Longest accepted body of a heartbeat. */
const MAX_HEARTBEAT_BYTES = 4 * MEBIBYTE;
/** How long idle connections of the heartbeat listener stay open. */
const HEARTBEAT_KEEP_ALIVE: Milliseconds = 60_000;

const Status = {
  Ok: 200,
  BadRequest: 400,
  NotFound: 404,
  Misdirected: 421,
  Unavailable: 503,
} as const;
/** Statuses of the answers to heartbeats that are refused. */
const REFUSAL_STATUS: Record<Refusal, number> = {
  [Refusal.Id]: Status.BadRequest,
  [Refusal.Body]: Status.BadRequest,
  [Refusal.Address]: Status.Misdirected,
  [Refusal.Service]: Status.Misdirected,
  [Refusal.Identity]: Status.Misdirected,
  [Refusal.Overtaken]: Status.Misdirected,
  [Refusal.Unconfirmed]: Status.Unavailable,
};

/** A running agent. */
export interface RunningAgent {
  /** Closes the listeners for heartbeats and links. */
  close(): void;
}

/** Starts an agent, which registers its address in the store. */
export function startAgent(fields: {
  settings: ProcessSettings;
  clock: Clock;
  timer: Timer;
  log: Log;
  instruments: Instruments;
  /** Limits that all listeners of the process share. */
  clients: ClientControl;
}): RunningAgent {
  const { settings, clock, timer, log, instruments } = fields;
  /** Open links, each with its number, which tells them apart in the log. */
  const links = new Map<Link, number>();
  let linksOpened = 0;
  let lastLinkAt = clock.now();
  const worker = createWorkerClient({ address: settings.workerAddress, timer });
  const store = instrumentStore({
    store: createKeyValue({ address: settings.storeAddress, timer }),
    instruments,
    clock,
  });
  const control = createWorkerControl({
    process: randomUUID(),
    times: {
      grant: grantLength(settings.longestLease),
      longestLease: settings.longestLease,
    },
    failureDomain: settings.failureDomain || undefined,
  });
  const loop = createLoop<ControlEvent, ControlEffect>({
    reduce: control.reduce,
    perform,
    onFailure: (error) =>
      log.error("The reducer failed.", { error: `${error}` }),
  });
  const elapsed = createElapsedClock(clock);
  const dispatch = (event: ControlEvent) =>
    loop.dispatch({ ...event, suspended: elapsed.suspended() });

  function perform(effect: ControlEffect): void {
    switch (effect.kind) {
      case "hold":
        return void hold(effect);
      case "start":
        return void start(effect);
      case "stop":
        return void stop(effect);
      case "report":
        for (const link of links.keys()) link.send(effect.report);
        return;
      case "log":
        return log.write(effect.level, effect.text, effect.fields);
    }
  }

  /** Counts a call to the worker by its outcome, and records its duration. */
  function recordCall(call: string, outcome: string, sentAt: number): void {
    instruments.increment("worker_calls_total", { call, outcome });
    instruments.time("worker_call_seconds", { call }, clock.now() - sentAt);
  }

  async function hold(
    effect: Extract<ControlEffect, { kind: "hold" }>,
  ): Promise<void> {
    const sentAt = clock.now();
    const outcome = await worker.hold(effect);
    const now = clock.now();
    recordCall("hold", outcome.kind, sentAt);
    if (outcome.kind === "failed") {
      dispatch({ ...outcome, kind: "holdFailed", now, worker: effect.worker });
      return;
    }
    dispatch({ ...outcome, kind: "held", now, worker: effect.worker, sentAt });
  }

  async function start(
    effect: Extract<ControlEffect, { kind: "start" }>,
  ): Promise<void> {
    const sentAt = clock.now();
    const outcome = await worker.start(effect);
    recordCall("start", outcome.kind, sentAt);
    dispatch({
      kind: "startAnswered",
      now: clock.now(),
      worker: effect.worker,
      run: runKey(effect.order),
      outcome,
    });
  }

  async function stop(
    effect: Extract<ControlEffect, { kind: "stop" }>,
  ): Promise<void> {
    const sentAt = clock.now();
    const stopped = await worker.stop(effect);
    recordCall("stop", stopped ? "stopped" : "failed", sentAt);
    dispatch({
      kind: "stopAnswered",
      now: clock.now(),
      worker: effect.worker,
      run: runKey(effect.run),
      stopped,
    });
  }

  const check = createWorkerCheck({
    worker,
    address: settings.workerAddress,
    service: settings.workerService,
    token: () => latestToken(control.state),
    clock,
    timer,
    log,
    instruments,
  });

  /** Handles a worker's heartbeat, or with DELETE its announced shutdown. */
  async function handle(request: HttpRequest): Promise<HttpAnswer> {
    const id = parseHeartbeatPath(request.path);
    if (id === undefined) return { status: Status.NotFound };
    if (request.method === "DELETE") {
      // Whoever sent it, nothing is registered under its id afterwards.
      if (check.deregistration(id)) {
        dispatch({ kind: "left", now: clock.now(), id });
      }
      return { status: Status.Ok };
    }
    const decision = await check.heartbeat(id, request.body);
    if (decision.kind === "refused") {
      return { status: REFUSAL_STATUS[decision.reason] };
    }
    const { announcement } = decision;
    dispatch({ kind: "announced", now: clock.now(), announcement });
    return { status: Status.Ok, body: "{}" };
  }

  const heartbeats = listenHttp({
    address: settings.heartbeatListener,
    name: "heartbeats",
    clients: fields.clients,
    bodyLimit: () => MAX_HEARTBEAT_BYTES,
    idleTimeout: () => HEARTBEAT_KEEP_ALIVE,
    admit: ({ path }) =>
      parseHeartbeatPath(path) === undefined
        ? { kind: "answered", answer: { status: Status.NotFound } }
        : { kind: "admitted" },
    handle,
    onError: (error) =>
      log.error("The heartbeat server failed.", { error: `${error}` }),
  });
  const server = listenLinks({
    host: settings.host,
    port: settings.linkPort,
    ...limitLinks(fields.clients),
    onLink: (link) => {
      links.set(link, ++linksOpened);
      log.info("A leader connected.", {
        links: links.size,
        link: linksOpened,
      });
      dispatch({ kind: "linked", now: clock.now() });
    },
    onMessage: (link, message) => {
      const orders = decodeOrders(message);
      if (!orders) {
        log.warn("A message holds no orders.", { kind: message.kind });
        return link.close();
      }
      const number = links.get(link);
      dispatch({ kind: "orders", now: clock.now(), orders, link: number });
    },
    onClose: (link, reason) => {
      const number = links.get(link);
      links.delete(link);
      log.info("A leader's connection ended.", { reason, link: number });
    },
    onError: (error) =>
      log.error("The link server failed.", { error: `${error}` }),
  });
  const key = agentKey(settings.name);
  const address = `${settings.host}:${settings.linkPort}`;
  let registering = false;

  /**
   * Writes the agent's address to the store unless it is there. This is
   * repeated because a leader removes agents that it has not reached for long.
   */
  async function ensureRegistered(): Promise<void> {
    if (registering) return;
    registering = true;
    await registerAddress({
      key,
      address,
      store,
      timer,
      onFirstFailure: () =>
        log.warn("The address could not be stored.", { key }),
    });
    log.info("Registered.", { key, address });
    lastLinkAt = clock.now();
    registering = false;
  }

  const tick = () => {
    const now = clock.now();
    dispatch({ kind: "tick", now });
    if (links.size > 0) lastLinkAt = now;
    else if (now - lastLinkAt > NO_LINK_LIMIT) void ensureRegistered();
    timer.after(TICK_INTERVAL, tick);
  };
  tick();
  void ensureRegistered();
  return {
    close: () => {
      heartbeats.close();
      server.close();
    },
  };
}
