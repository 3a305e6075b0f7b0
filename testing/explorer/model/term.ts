/**
 * One term of leadership over the scheduler's reducer.
 *
 * @module
 */

import {
  createScheduler,
  LOSS_MARGIN,
  unpackProgress,
} from "@dragonflyledge/scheduler";
import type {
  SchedulerEffect,
  SchedulerEvent,
} from "@dragonflyledge/scheduler";
import type { Milliseconds } from "@dragonflyledge/model";
import { GUARANTEED_TEAM } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";
import { agentIndex, agentName } from "./names.ts";
import { createLeaderLinks } from "./leader_links.ts";
import type { Network } from "./network.ts";
import type { Process } from "./process.ts";
import type { StoreModel } from "./store.ts";
import { GRANT, UNLISTED_TIME } from "./times.ts";
import { createWriterModel } from "./writer.ts";

const TICK_INTERVAL: Milliseconds = 250;
const SURVEY_TICK_INTERVAL: Milliseconds = 50;
const PLANNING_INTERVAL: Milliseconds = 15;
const AGENT_RETENTION: Milliseconds = 60_000;
const ISOLATION_LIMIT: Milliseconds = 3000;
const JOB_RETENTION: Milliseconds = 20_000;

/** A term of leadership. */
export interface TermModel {
  readonly epoch: number;
  /** Lets the term send orders only up to this time. */
  expireAt(time: Milliseconds): void;
  end(): void;
  hasEnded(): boolean;
}

/** Starts a term of the process `leader`. */
export function startTermModel(fields: {
  leader: number;
  epoch: number;
  agenda: Agenda;
  network: Network;
  process: Process;
  /** The clock of the leader's machine. */
  now: () => Milliseconds;
  store: StoreModel;
  /** Accelerators guaranteed to `GUARANTEED_TEAM`. */
  guaranteed: number;
  onIsolated: () => void;
  onLog: (effect: Extract<SchedulerEffect, { kind: "log" }>) => void;
}): TermModel {
  const { agenda, store, process, epoch, now } = fields;
  const scheduler = createScheduler({
    times: {
      agentLoss: GRANT + LOSS_MARGIN,
      unlistedLoss: UNLISTED_TIME + LOSS_MARGIN,
      agentRetention: AGENT_RETENTION,
      retention: JOB_RETENTION,
      planningInterval: PLANNING_INTERVAL,
    },
    takesOver: true,
  });
  let ended = false;
  let expiresAt = Infinity;
  let lastReport = now();
  const writer = createWriterModel({
    store,
    process,
    epoch,
    snapshot: scheduler.snapshot,
    onStored: (job, version) =>
      dispatch({ kind: "stored", now: now(), job, version }),
    onDeposed: end,
  });
  const links = createLeaderLinks({
    ...fields,
    onReport: (agent, report) => {
      lastReport = now();
      const name = agentName(agent);
      dispatch({ kind: "report", ...time(), agent: name, report });
    },
    onDisconnected: (agent) => {
      const name = agentName(agent);
      dispatch({ kind: "disconnected", now: now(), agent: name });
    },
  });
  const unwatch = store.watch((change) =>
    process.run(() => {
      if (change.kind === "job") addJob(change.job);
      else if (change.kind === "cancel") cancel(change.job);
      else if (change.kind === "evacuations") setPolicies();
      else addAgent(change.agent);
    })
  );

  function time() {
    return { now: now(), date: agenda.now() };
  }

  function dispatch(event: SchedulerEvent): void {
    if (ended) return;
    for (const effect of scheduler.reduce(event)) perform(effect);
  }

  function perform(effect: SchedulerEffect): void {
    if (ended) return;
    switch (effect.kind) {
      case "store":
        return writer.write(effect.job);
      case "remove":
        return writer.removeJob(effect.job);
      case "forget":
        links.disconnect(agentIndex(effect.agent));
        return writer.removeAgent(effect.agent);
      case "orders":
        if (agenda.now() >= expiresAt) return;
        return links.send(agentIndex(effect.agent), epoch, effect.orders);
      case "planLater":
        return process.after(
          effect.delay,
          () => dispatch({ kind: "plan", now: now() }),
        );
      case "log":
        return fields.onLog(effect);
    }
  }

  function addJob(id: string): void {
    const job = store.jobs.get(id);
    if (!job) return;
    const { request } = job;
    const progress = job.progress && unpackProgress(job.progress);
    dispatch({ kind: "job", now: now(), request, progress });
    if (job.cancelled) cancel(id);
  }

  function cancel(job: string): void {
    dispatch({ kind: "cancel", ...time(), job });
  }

  function addAgent(agent: string): void {
    if (ended) return;
    dispatch({ kind: "agent", now: now(), agent });
    links.connect(agentIndex(agent));
  }

  function setPolicies(): void {
    const policies = {
      queues: new Map(),
      guarantees: new Map([[GUARANTEED_TEAM, fields.guaranteed]]),
      evacuated: new Set(store.evacuated.keys()),
    };
    dispatch({ kind: "policies", now: now(), policies });
  }

  function tick(): void {
    if (ended) return;
    links.closeSilent();
    if (store.agents.size === 0) lastReport = now();
    if (now() - lastReport > ISOLATION_LIMIT) return fields.onIsolated();
    dispatch({ kind: "tick", ...time() });
    const interval = scheduler.state.survey
      ? SURVEY_TICK_INTERVAL
      : TICK_INTERVAL;
    process.after(interval, tick);
  }

  function end(): void {
    ended = true;
    unwatch();
    writer.stop();
    links.close();
  }

  setPolicies();
  for (const id of store.jobs.keys()) addJob(id);
  for (const agent of store.agents) addAgent(agent);
  dispatch({ kind: "loaded", now: now() });
  tick();
  return {
    epoch,
    expireAt: (time) => {
      expiresAt = Math.min(expiresAt, time);
    },
    end,
    hasEnded: () => ended,
  };
}
