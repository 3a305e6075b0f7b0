/**
 * Runs a soak: random work and faults, then time to heal, then the checks.
 *
 * @module
 */

import { createRandom, MINUTE, SECOND, StepError } from "@dragonflyledge/model";
import type { Milliseconds, Random } from "@dragonflyledge/model";
import { createCluster } from "../cluster/mod.ts";
import type { Cluster } from "../cluster/mod.ts";
import { deployments } from "../deployment.ts";
import { createEventHeap } from "../event_heap.ts";
import { createRecord } from "../record.ts";
import type { RunRecord } from "../record.ts";
import { collectJobs, WARM_UP } from "../replay.ts";
import { checks } from "./checks.ts";
import type { Violation } from "./checks.ts";
import { faults, startFault } from "./faults.ts";
import { createWorkload } from "./workload.ts";
import type { Workload } from "./workload.ts";

/** What a soak did and found. */
export interface SoakResult {
  seed: number;
  deployment: string;
  record: RunRecord;
  cluster: Cluster;
  violations: Violation[];
  /** Number of times that each fault was started. */
  faults: Record<string, number>;
}

/** Mean time between two events of the soak. */
const EVENT_INTERVAL: Milliseconds = 25;
/** Share of events that start a pair of faults. */
const FAULT_SHARE = 0.01;
/** Share of events that submit a job; the others send a request. */
const JOB_SHARE = 0.02;
/**
 * Time for all faults to end. Longer than a quarantine, after which homes can
 * be used again.
 */
const HEALING_TIME: Milliseconds = 150 * SECOND;
/** Time for the borrowing jobs to start before owners claim capacity. */
const BORROWING_TIME: Milliseconds = 10 * SECOND;
/** Time for owners to reclaim their capacity and for jobs to end. */
const RECLAIM_TIME: Milliseconds = 180 * SECOND;
/**
 * Longest wait for open jobs. An entry fails a job that no workers can hold
 * after ten minutes; a takeover after the last fault may add to that.
 */
const UNPLACEABLE_JOB_LIMIT: Milliseconds = 11 * MINUTE;
/** How often to check whether jobs are still open. */
const STEP: Milliseconds = 10 * SECOND;

/**
 * Runs a soak of the given number of events and checks its record. The same
 * seed gives the same soak. An error that is thrown during the run becomes a
 * violation of the invariant `asserted`, and no check follows.
 */
export function runSoak(fields: {
  seed: number;
  events: number;
  /** Names of the faults to draw from; all faults if absent. */
  faults?: string[];
}): SoakResult {
  const { seed, events } = fields;
  const names = fields.faults ?? Object.keys(faults);
  const random = createRandom(seed);
  const record = createRecord();
  const heap = createEventHeap();
  const deployment = Object.values(deployments)[seed % 2]!;
  const cluster = createCluster({ heap, record, deployment, seed });
  const result: SoakResult = {
    seed,
    deployment: deployment.name,
    record,
    cluster,
    violations: [],
    faults: {},
  };
  const workload = createWorkload({ cluster, random });
  schedule({
    cluster,
    random,
    workload,
    events,
    names,
    counts: result.faults,
  });
  try {
    heap.run(WARM_UP + events * EVENT_INTERVAL);
    healAndReclaim(cluster, workload);
  } catch (error) {
    result.violations.push(toViolation(error));
    return result;
  }
  collectJobs(cluster);
  record.endedAt = heap.now;
  for (const check of checks) result.violations.push(...check(record));
  result.violations.push(...checkConvergence(cluster));
  return result;
}

/** Schedules the events, each of which schedules the next. */
function schedule(fields: {
  cluster: Cluster;
  random: Random;
  workload: Workload;
  events: number;
  names: string[];
  counts: Record<string, number>;
}): void {
  const { cluster, random, workload, names, counts } = fields;
  let left = fields.events;
  const fault = () => {
    // Starts two faults at once, since unit tests already cover single faults.
    for (let index = 0; index < 2; index++) {
      const name = names[Math.floor(random() * names.length)];
      if (name === undefined) return;
      counts[name] = (counts[name] ?? 0) + 1;
      startFault(cluster, name, random);
    }
  };
  const next = () => {
    if (left-- <= 0) return;
    const drawn = random();
    if (drawn < FAULT_SHARE) fault();
    else if (drawn < FAULT_SHARE + JOB_SHARE) workload.job();
    else workload.request();
    cluster.heap.after(2 * EVENT_INTERVAL * random(), next);
  };
  cluster.heap.at(WARM_UP, next);
}

/**
 * Lets all faults end, then lets jobs borrow the free capacity and owners claim
 * it back, and waits until all jobs have ended or the time limit has passed.
 */
function healAndReclaim(cluster: Cluster, workload: Workload): void {
  const { heap } = cluster;
  heap.run(heap.now + HEALING_TIME);
  workload.borrowAll();
  heap.run(heap.now + BORROWING_TIME);
  workload.claimGuarantees();
  heap.run(heap.now + RECLAIM_TIME);
  // An entry fails a job that no set of workers can hold only after a while.
  const limit = heap.now + UNPLACEABLE_JOB_LIMIT;
  while (heap.now < limit && hasOpenJobs(cluster)) heap.run(heap.now + STEP);
}

function hasOpenJobs(cluster: Cluster): boolean {
  const open = ["queued", "starting", "running", "stopping"];
  return [...cluster.store.contents.jobs.values()].some(({ record }) =>
    open.includes(record.state)
  );
}

/** Checks that every live process holds the configuration of the store. */
function checkConvergence(cluster: Cluster): Violation[] {
  const { version } = cluster.store.contents.configuration;
  const agents = [...cluster.machines.values()].flatMap((machine) =>
    machine.agent ? [machine.agent] : []
  );
  return [...cluster.entries.values(), ...agents].flatMap((each) => {
    const held = each.versions().configuration;
    if (!each.process.alive || held === version) return [];
    const detail = `holds ${held} instead of ${version} after healing`;
    return [{ invariant: "version-forward", subject: each.id, detail }];
  });
}

/** Turns a thrown error into a violation, with its request or job if named. */
function toViolation(error: unknown): Violation {
  const text = error instanceof Error ? error.message : String(error);
  const subject = /\b[rj]\d+\b/.exec(
    error instanceof StepError ? `${error.peer} ${text}` : text,
  )?.[0] ?? "";
  const where = error instanceof StepError
    ? ` (step ${error.step}, peer ${error.peer})`
    : error instanceof Error
    ? `\n${error.stack}`
    : "";
  return { invariant: "asserted", subject, detail: text + where };
}
