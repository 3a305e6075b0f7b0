/**
 * One soak: random work and faults, then healing, then the checks.
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

/** Mean time between two events. */
const EVENT_INTERVAL: Milliseconds = 25;
const FAULT_SHARE = 0.01;
const JOB_SHARE = 0.02;
/** Longer than a quarantine, after which homes can be used again. */
const HEALING_TIME: Milliseconds = 150 * SECOND;
const BORROWING_TIME: Milliseconds = 10 * SECOND;
const RECLAIM_TIME: Milliseconds = 180 * SECOND;
/** Ten minutes, and time for a takeover after the last fault. */
const UNPLACEABLE_JOB_LIMIT: Milliseconds = 11 * MINUTE;
const STEP: Milliseconds = 10 * SECOND;

/** Runs a soak of so many events. */
export function runSoak(fields: {
  seed: number;
  events: number;
  /** Names of the faults to draw from; all if absent. */
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
    // Two faults at once, as one alone is what the unit tests have.
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

/** Lets all faults heal; then owners ask for what others have borrowed. */
function healAndReclaim(cluster: Cluster, workload: Workload): void {
  const { heap } = cluster;
  heap.run(heap.now + HEALING_TIME);
  workload.borrowAll();
  heap.run(heap.now + BORROWING_TIME);
  workload.claimGuarantees();
  heap.run(heap.now + RECLAIM_TIME);
  // A job that no worker set can hold is failed after a bounded time.
  const limit = heap.now + UNPLACEABLE_JOB_LIMIT;
  while (heap.now < limit && hasOpenJobs(cluster)) heap.run(heap.now + STEP);
}

function hasOpenJobs(cluster: Cluster): boolean {
  const open = ["queued", "starting", "running", "stopping"];
  return [...cluster.store.contents.jobs.values()].some(({ record }) =>
    open.includes(record.state)
  );
}

/** Every live process ends with the configuration of the store. */
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
