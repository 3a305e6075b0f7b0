/**
 * Fake worker. It starts every task that it is given, and records a fault if
 * the tasks exceed its capacity.
 *
 * @module
 */

import type {
  AgentEffect,
  Inventory,
  MemberReport,
  Milliseconds,
  Resources,
  TaskId,
} from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import { note } from "../record.ts";
import type { MemberRun, RunRecord } from "../record.ts";

type StartEffect = Extract<AgentEffect, { kind: "startTask" }>;

/** Callbacks by which the worker reports to its agent. */
export interface TaskHandlers {
  onStarted: (task: TaskId) => void;
  onCheckpointed: (task: TaskId) => void;
  onEnded: (
    task: TaskId,
    ending: "finished" | "failed" | "stopped",
    cause: string,
  ) => void;
}

/** Run time that the members of a job have saved by checkpoints, by job id. */
export type Progress = Map<string, Milliseconds[]>;

/** A fake worker. It reports through its handlers. */
export interface Worker {
  /** Whether tasks that begin to run now fail after a short time. */
  failing: boolean;
  /** Starts a task; one that is known already is reported as started. */
  start(effect: StartEffect): void;
  /** Sets the lease of a task to end `lease` from now. */
  renew(task: TaskId, lease: Milliseconds): void;
  /** Saves the progress of a task after `CHECKPOINT_TIME`. */
  checkpoint(task: TaskId): void;
  /** Stops a task after `STOP_TIME`; an unknown one is reported as stopped. */
  stop(task: TaskId): void;
  /** Lists the members that are running or starting. */
  list(): MemberReport[];
  /** Returns the sum of what the tasks were given. */
  usage(): { cores: number; memoryMiB: number };
  /** Loses all tasks without a report, as when the machine fails. */
  crash(): void;
}

interface RunningTask {
  id: TaskId;
  report: MemberReport;
  needs: Resources;
  memberRun: MemberRun;
  /** When the task began to run; infinite while it starts. */
  startedAt: Milliseconds;
  /** Progress of the checkpoint from which the task resumed. */
  initialProgress: Milliseconds;
}

/** Time between the order to start a task and its start. */
export const START_TIME: Milliseconds = 100;
/** Time that a checkpoint takes. */
export const CHECKPOINT_TIME: Milliseconds = 400;
/** Time that the stop of a task takes. */
const STOP_TIME: Milliseconds = 50;
/** Time after which the tasks of a failing worker fail. */
const FAILURE_TIME: Milliseconds = 50;

/** Creates a fake worker without tasks. */
export function createWorker(fields: {
  heap: EventHeap;
  inventory: Inventory;
  record: RunRecord;
  progress: Progress;
  handlers: TaskHandlers;
}): Worker {
  const { heap, inventory, record, progress, handlers } = fields;
  const tasks = new Map<string, RunningTask>();
  const name = inventory.worker;

  function checkCapacity(): void {
    const sum = { accelerators: 0, ...usage() };
    const held = [...tasks.values()].flatMap((each) =>
      each.report.accelerators
    );
    sum.accelerators = held.length;
    const { capacity } = inventory;
    const over = new Set(held).size < held.length ||
      held.some((one) => one >= capacity.accelerators) ||
      sum.cores > capacity.cores || sum.memoryMiB > capacity.memoryMiB;
    if (!over) return;
    const jobs = [...tasks.values()].map((each) => each.id.run.job);
    record.faults.push(
      `within-capacity: ${name} holds ${JSON.stringify(sum)} for ${jobs}`,
    );
  }

  function usage() {
    const sum = { cores: 0, memoryMiB: 0 };
    for (const { needs } of tasks.values()) {
      sum.cores += needs.cores;
      sum.memoryMiB += needs.memoryMiB;
    }
    return sum;
  }

  function endTask(task: RunningTask, ending: MemberRun["ending"]): void {
    if (!tasks.delete(taskKey(task.id))) return;
    task.memberRun.end = heap.now;
    task.memberRun.ending = ending;
    const { job } = task.id.run;
    const text = `member ${task.id.member} ${ending} on ${name}`;
    note(record, job, heap.now, text);
    const reported = ending === "lease" ? "stopped" : ending;
    if (reported === "lost" || reported === "running") return;
    handlers.onEnded(task.id, reported, ending);
  }

  function runTask(task: RunningTask): void {
    if (tasks.get(taskKey(task.id)) !== task) return;
    handlers.onStarted(task.id);
    const { job } = task.id.run;
    const total = record.jobs.get(job)?.runTime ?? 0;
    const saved = Math.min(...(progress.get(job) ?? [0]));
    task.startedAt = heap.now;
    task.initialProgress = saved;
    const { failing } = worker;
    heap.after(
      failing ? FAILURE_TIME : Math.max(0, total - saved),
      () => endTask(task, failing ? "failed" : "finished"),
    );
  }

  function watchLease(task: RunningTask): void {
    heap.at(task.memberRun.leaseUntil, () => {
      if (tasks.get(taskKey(task.id)) !== task) return;
      if (heap.now >= task.memberRun.leaseUntil) endTask(task, "lease");
      else watchLease(task);
    });
  }

  const worker: Worker = {
    failing: false,
    usage,
    start(effect) {
      const { task: id, report, perMember, lease } = effect;
      if (tasks.has(taskKey(id))) return handlers.onStarted(id);
      const memberRun: MemberRun = {
        job: id.run.job,
        epoch: id.run.epoch,
        member: id.member,
        worker: name,
        accelerators: report.accelerators,
        start: heap.now,
        end: Infinity,
        ending: "running",
        leaseUntil: heap.now + lease,
      };
      const task = {
        id,
        report: { ...report },
        needs: perMember,
        memberRun,
        startedAt: Infinity,
        initialProgress: 0,
      };
      tasks.set(taskKey(id), task);
      record.jobs.get(id.run.job)?.memberRuns.push(memberRun);
      const text = `member ${id.member} of epoch ${id.run.epoch} on ${name}`;
      note(record, id.run.job, heap.now, text);
      checkCapacity();
      watchLease(task);
      heap.after(START_TIME, () => runTask(task));
    },
    renew(id, lease) {
      const task = tasks.get(taskKey(id));
      if (task) task.memberRun.leaseUntil = heap.now + lease;
    },
    checkpoint(id) {
      heap.after(CHECKPOINT_TIME, () => {
        const task = tasks.get(taskKey(id));
        if (task === undefined) return;
        saveCheckpoint(progress, record, task, heap.now);
        handlers.onCheckpointed(id);
      });
    },
    stop(id) {
      heap.after(STOP_TIME, () => {
        const task = tasks.get(taskKey(id));
        if (task) endTask(task, "stopped");
        else handlers.onEnded(id, "stopped", "absent");
      });
    },
    list: () =>
      [...tasks.values()].map(({ report }) => ({
        ...report,
        state: "running" as const,
      })),
    crash() {
      for (const task of [...tasks.values()]) endTask(task, "lost");
    },
  };
  return worker;
}

/**
 * Saves the progress of one member. A job resumes from the member with the
 * least progress.
 */
function saveCheckpoint(
  progress: Progress,
  record: RunRecord,
  task: RunningTask,
  now: Milliseconds,
): void {
  const { job } = task.id.run;
  const members = record.jobs.get(job)?.spec.members ?? 1;
  const saved = progress.get(job) ?? Array<number>(members).fill(0);
  saved[task.id.member] = task.initialProgress +
    Math.max(0, now - task.startedAt);
  progress.set(job, saved);
}

function taskKey(task: TaskId): string {
  return `${task.run.job}.${task.run.epoch}.${task.member}`;
}
