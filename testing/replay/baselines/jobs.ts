/**
 * Placement of gangs in the baselines, without guarantees or preemption.
 *
 * @module
 */

import {
  MAX_WORKER_FAILURES_PER_JOB,
  RESERVATION_TIMEOUT,
} from "@dragonflyledge/model";
import type { Inventory, Milliseconds } from "@dragonflyledge/model";
import { START_TIME } from "../cluster/worker.ts";
import type { EventHeap } from "../event_heap.ts";
import type { JobEntry, MemberRun } from "../record.ts";

/** How a baseline places gangs. */
export interface JobPolicy {
  /** Order in which workers are tried for each member. */
  order: "first" | "least-loaded";
  /** Whether a job that does not fit lets later ones pass. */
  backfill: boolean;
}

/** Queues the jobs of a baseline, places and runs them. */
export interface JobScheduler {
  /** Accepts and queues a job; it starts as soon as it can be placed. */
  submit(job: JobEntry): void;
  /** Removes a waiting job from the queue, or stops a running one. */
  cancel(job: JobEntry): void;
  /** Sets whether jobs that start on a worker from now on fail. */
  setFailing(worker: string, failing: boolean): void;
  /** Excludes a worker from placement; its running jobs go on. */
  leave(worker: string): void;
}

/** A worker with its free capacity. */
interface Host {
  inventory: Inventory;
  /** Whether each accelerator is free, by index. */
  free: boolean[];
  /** Free cores. */
  cores: number;
  /** Free memory. */
  memoryMiB: number;
  failing: boolean;
  leaving: boolean;
}

/** Time from the start of a job on a failing worker until it fails. */
const FAILURE_TIME: Milliseconds = 50;

/** Creates a scheduler over idle workers. */
export function createJobScheduler(fields: {
  heap: EventHeap;
  inventories: Inventory[];
  policy: JobPolicy;
}): JobScheduler {
  const { heap, policy } = fields;
  const hosts = fields.inventories.map((inventory): Host => ({
    inventory,
    free: Array<boolean>(inventory.capacity.accelerators).fill(true),
    cores: inventory.capacity.cores,
    memoryMiB: inventory.capacity.memoryMiB,
    failing: false,
    leaving: false,
  }));
  const queue: JobEntry[] = [];
  const failures = new Map<JobEntry, number>();

  /**
   * Starts the queued jobs that fit, in order of the queue. Without backfill
   * it stops at the first that does not fit.
   */
  function placeQueued(): void {
    for (let index = 0; index < queue.length;) {
      const job = queue[index]!;
      const placed = placeJob(hosts, job, policy.order);
      if (placed) {
        queue.splice(index, 1);
        start(job, placed);
      } else if (policy.backfill) index++;
      else return;
    }
  }

  function start(job: JobEntry, placed: MemberPlacement[]): void {
    const memberRuns = placed.map((
      { host, accelerators },
      member,
    ): MemberRun => ({
      job: job.id,
      epoch: 1,
      member,
      worker: host.inventory.worker,
      accelerators,
      start: heap.now,
      end: Infinity,
      ending: "running",
      leaseUntil: Infinity,
    }));
    job.memberRuns.push(...memberRuns);
    job.state = "running";
    const failing = placed.some(({ host }) => host.failing);
    const time = START_TIME + (failing ? FAILURE_TIME : job.runTime);
    heap.after(time, () => {
      if (memberRuns[0]!.ending !== "running") return;
      end(job, memberRuns, placed, failing ? "failed" : "finished");
    });
    stops.set(job, () => end(job, memberRuns, placed, "stopped"));
  }

  const stops = new Map<JobEntry, () => void>();

  function end(
    job: JobEntry,
    memberRuns: MemberRun[],
    placed: MemberPlacement[],
    ending: "finished" | "failed" | "stopped",
  ): void {
    stops.delete(job);
    for (const memberRun of memberRuns) {
      memberRun.end = heap.now;
      memberRun.ending = ending;
    }
    for (const { host, accelerators } of placed) {
      for (const one of accelerators) host.free[one] = true;
      host.cores += job.spec.perMember.cores;
      host.memoryMiB += job.spec.perMember.memoryMiB;
    }
    requeueOrFinish(job, ending);
    placeQueued();
  }

  /**
   * Puts a failed job back at the end of the queue, until it has failed
   * MAX_WORKER_FAILURES_PER_JOB times; otherwise sets the final state.
   */
  function requeueOrFinish(
    job: JobEntry,
    ending: "finished" | "failed" | "stopped",
  ): void {
    const failureCount = (failures.get(job) ?? 0) + 1;
    if (ending === "failed" && failureCount < MAX_WORKER_FAILURES_PER_JOB) {
      failures.set(job, failureCount);
      queue.push(job);
      return;
    }
    job.state = ending === "finished"
      ? "succeeded"
      : ending === "failed"
      ? "failed"
      : "cancelled";
    if (ending === "finished") job.endedAt = heap.now;
  }

  const hostOf = (worker: string) =>
    hosts.find((each) => each.inventory.worker === worker)!;

  return {
    submit(job) {
      job.answer = { kind: "accepted" };
      queue.push(job);
      placeQueued();
    },
    cancel(job) {
      const index = queue.indexOf(job);
      if (index >= 0) {
        queue.splice(index, 1);
        job.state = "cancelled";
        placeQueued();
      } else stops.get(job)?.();
    },
    setFailing: (worker, failing) => {
      hostOf(worker).failing = failing;
    },
    leave: (worker) => {
      hostOf(worker).leaving = true;
      heap.after(RESERVATION_TIMEOUT, placeQueued);
    },
  };
}

/** The capacity that one member of a job takes on a worker. */
interface MemberPlacement {
  host: Host;
  accelerators: number[];
}

/**
 * Takes capacity for all members, or none. Members of a job with rack
 * adjacency are placed in one rack.
 */
function placeJob(
  hosts: Host[],
  job: JobEntry,
  order: JobPolicy["order"],
): MemberPlacement[] | undefined {
  const racks = job.spec.adjacency === "rack"
    ? [...new Set(hosts.map((each) => each.inventory.location.rack))]
    : [undefined];
  for (const rack of racks) {
    const usable = hosts.filter((host) =>
      rack === undefined || host.inventory.location.rack === rack
    );
    const placed = placeMembers(usable, job, order);
    if (placed) return placed;
  }
  return undefined;
}

/** Takes capacity for all members on the given workers, or none. */
function placeMembers(
  hosts: Host[],
  job: JobEntry,
  order: JobPolicy["order"],
): MemberPlacement[] | undefined {
  const { members, perMember } = job.spec;
  const placed: MemberPlacement[] = [];
  // Counts the free accelerators of a worker.
  const count = (host: Host) => host.free.filter((free) => free).length;
  for (let member = 0; member < members; member++) {
    const fitting = hosts.filter((host) =>
      !host.leaving && count(host) >= perMember.accelerators &&
      host.cores >= perMember.cores && host.memoryMiB >= perMember.memoryMiB
    );
    if (order === "least-loaded") fitting.sort((a, b) => count(b) - count(a));
    const host = fitting[0];
    if (host === undefined) {
      for (const each of placed) releaseCapacity(each, job);
      return undefined;
    }
    placed.push(takeCapacity(host, job));
  }
  return placed;
}

/** Takes the capacity of one member on a worker that has it free. */
function takeCapacity(host: Host, job: JobEntry): MemberPlacement {
  const { perMember } = job.spec;
  const accelerators = host.free.flatMap((free, index) => free ? [index] : [])
    .slice(0, perMember.accelerators);
  for (const one of accelerators) host.free[one] = false;
  host.cores -= perMember.cores;
  host.memoryMiB -= perMember.memoryMiB;
  return { host, accelerators };
}

/** Frees the capacity that one member has taken. */
function releaseCapacity(
  { host, accelerators }: MemberPlacement,
  job: JobEntry,
): void {
  for (const one of accelerators) host.free[one] = true;
  host.cores += job.spec.perMember.cores;
  host.memoryMiB += job.spec.perMember.memoryMiB;
}
