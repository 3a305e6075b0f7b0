/**
 * One term of leadership: runs the scheduler, its writes and its agent links.
 *
 * @module
 */

import type { Instruments } from "@dragonflyledge/exposition";
import type { Log } from "@dragonflyledge/log";
import { MINUTE } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Change, Item, KeyValue } from "@dragonflyledge/platform";
import { createLoop } from "@dragonflyledge/runtime";
import {
  createScheduler,
  Lateness,
  LOSS_MARGIN,
  parseStoreKey,
} from "@dragonflyledge/scheduler";
import type {
  Policies,
  SchedulerEffect,
  SchedulerEvent,
} from "@dragonflyledge/scheduler";
import { createAgentLinks } from "./agent_links.ts";
import { hideFleet, showFleet } from "./fleet_gauges.ts";
import type { Replica } from "./replica.ts";
import { createProgressWriter } from "./writer.ts";

const TICK_INTERVAL: Milliseconds = 250;
/** Same interval while the first reports of the fleet are awaited. */
const SURVEY_TICK_INTERVAL: Milliseconds = 50;
/** Shortest time between two rounds of planning. */
const PLANNING_INTERVAL: Milliseconds = 15;
/** The address of an agent that stays lost for this long is removed. */
const AGENT_RETENTION: Milliseconds = MINUTE;
/**
 * A leader that gets no report for this long steps down, since it may itself be
 * cut off from the agents.
 */
const ISOLATION_LIMIT: Milliseconds = 3000;

/** A running term of leadership. */
export interface Term {
  /** Applies changes of the store, already in the replica, to the scheduler. */
  applyChanges(changes: Change[]): void;
  /** Passes all jobs and agents of the replica to the scheduler. */
  loadReplica(): void;
  /** Applies the policies of a newer configuration. */
  setPolicies(policies: Policies): void;
  /** Stops all writes and links of the term. */
  end(): void;
}

/** Starts a term; the replica must have been listed after the election. */
export function startTerm(fields: {
  epoch: number;
  leads: () => boolean;
  /** Called when a commit finds another leader. */
  onDeposed: () => void;
  /** Called when no agent has sent a report for too long. */
  onIsolated: () => void;
  store: KeyValue;
  replica: Replica;
  policies: Policies;
  /** Time after a report for which an agent may extend its worker's lease. */
  grant: Milliseconds;
  /**
   * Time after a report for which a run may be at work that the worker has not
   * listed.
   */
  unlistedTime: Milliseconds;
  /** Time for which jobs with a final status are kept. */
  retention: Milliseconds;
  clock: Clock;
  timer: Timer;
  log: Log;
  instruments: Instruments;
}): Term {
  const { replica, clock, timer, log, epoch } = fields;
  const scheduler = createScheduler({
    times: {
      agentLoss: fields.grant + LOSS_MARGIN,
      unlistedLoss: fields.unlistedTime + LOSS_MARGIN,
      agentRetention: AGENT_RETENTION,
      retention: fields.retention,
      planningInterval: PLANNING_INTERVAL,
    },
    takesOver: true,
  });
  const loop = createLoop<SchedulerEvent, SchedulerEffect>({
    reduce: scheduler.reduce,
    perform,
    onFailure: (error) =>
      log.error("The reducer failed.", { error: `${error}` }),
  });
  let ended = false;
  let lastReport = clock.now();
  const writer = createProgressWriter({
    store: fields.store,
    epoch,
    timer,
    log,
    snapshot: scheduler.snapshot,
    revision: (job) => replica.jobs.get(job)?.progressRevision ?? 0,
    onStored: (job, version, item: Item) => {
      replica.learn(item);
      dispatch({ kind: "stored", now: clock.now(), job, version });
    },
    onDeposed: fields.onDeposed,
  });
  const links = createAgentLinks({
    clock,
    timer,
    log,
    onReport: (agent, report) => {
      lastReport = clock.now();
      const date = clock.date().getTime();
      dispatch({ kind: "report", now: clock.now(), agent, report, date });
    },
    onDisconnected: (agent) =>
      dispatch({ kind: "disconnected", now: clock.now(), agent }),
  });

  function dispatch(event: SchedulerEvent): void {
    if (!ended) loop.dispatch(event);
  }

  function perform(effect: SchedulerEffect): void {
    if (ended) return;
    switch (effect.kind) {
      case "store":
        return writer.write(effect.job);
      case "remove":
        return removeJob(effect.job);
      case "forget":
        return removeAgent(effect.agent);
      case "orders":
        if (!fields.leads()) return;
        links.send(effect.agent, { kind: "orders", epoch, ...effect.orders });
        return;
      case "placed": {
        const priority = String(effect.priority);
        const guaranteed = String(effect.guaranteed);
        fields.instruments.time(
          "placement_wait_seconds",
          { priority, guaranteed },
          effect.wait,
        );
        if (effect.lateness !== Lateness.None) {
          fields.instruments.increment("late_placements_total", {
            priority,
            lateness: effect.lateness,
          });
        }
        return;
      }
      case "workerCrashed":
        return fields.instruments.increment("worker_crashes_total", {
          begun: quantify(effect.begun),
        });
      case "crashExcused":
        return fields.instruments.increment("excused_crashes_total", {
          excuse: effect.excuse,
        });
      case "suspicion":
        return fields.instruments.increment("suspicions_total", {
          change: effect.change,
        });
      case "interference":
        return fields.instruments.set("interfering_pairs", effect.pairs);
      case "jobFailed":
        return fields.instruments.increment("jobs_failed_total", {
          code: effect.code,
        });
      case "planLater":
        timer.after(effect.delay, () => {
          dispatch({ kind: "plan", now: clock.now() });
        });
        return;
      case "log":
        return log.write(effect.level, effect.text, effect.fields);
    }
  }

  function removeJob(id: string): void {
    const revision = replica.jobs.get(id)?.revision;
    if (revision) writer.removeJob(id, revision);
  }

  function removeAgent(name: string): void {
    links.disconnect(name);
    const agent = replica.agents.get(name);
    if (agent) writer.removeAgent(name, agent.revision);
  }

  function addJob(id: string): void {
    const job = replica.jobs.get(id);
    if (!job?.request) return;
    const { request, progress } = job;
    dispatch({
      kind: "job",
      now: clock.now(),
      request,
      // The scheduler changes its copy in place.
      progress: structuredClone(progress),
    });
    if (job.cancelled) cancel(id);
  }

  function cancel(id: string): void {
    const date = clock.date().getTime();
    dispatch({ kind: "cancel", now: clock.now(), job: id, date });
  }

  function addAgent(name: string): void {
    const agent = replica.agents.get(name);
    if (!agent) return;
    dispatch({ kind: "agent", now: clock.now(), agent: name });
    links.connect(name, agent.address);
  }

  function loadReplica(): void {
    for (const id of replica.jobs.keys()) addJob(id);
    for (const name of replica.agents.keys()) addAgent(name);
  }

  const tick = () => {
    if (ended) return;
    links.closeSilent();
    if (replica.agents.size === 0) lastReport = clock.now();
    if (clock.now() - lastReport > ISOLATION_LIMIT) return fields.onIsolated();
    const date = clock.date().getTime();
    dispatch({ kind: "tick", now: clock.now(), date });
    showFleet(fields.instruments, scheduler.state);
    const interval = scheduler.state.survey
      ? SURVEY_TICK_INTERVAL
      : TICK_INTERVAL;
    timer.after(interval, tick);
  };
  dispatch({ kind: "policies", now: clock.now(), policies: fields.policies });
  loadReplica();
  dispatch({ kind: "loaded", now: clock.now() });
  tick();
  return {
    applyChanges: (changes) => {
      for (const change of changes) {
        const key = change.kind === "put" ? change.item.key : change.key;
        const { kind, id } = parseStoreKey(key);
        if (change.kind === "deleted") continue;
        if (kind === "job") addJob(id);
        else if (kind === "cancel") cancel(id);
        else if (kind === "agent") addAgent(id);
      }
    },
    loadReplica,
    setPolicies: (policies) =>
      dispatch({ kind: "policies", now: clock.now(), policies }),
    end: () => {
      ended = true;
      hideFleet(fields.instruments);
      writer.stop();
      links.close();
    },
  };
}

/** Word for a number in the label of a metric. */
function quantify(count: number): "none" | "one" | "several" {
  if (count === 0) return "none";
  return count === 1 ? "one" : "several";
}
