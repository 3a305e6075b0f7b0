/**
 * A fake worker. It starts whatever it is given and notes what does not fit.
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
import type { RunRecord, Stay } from "../record.ts";

type StartEffect = Extract<AgentEffect, { kind: "startTask" }>;

/** Receives what the worker tells its agent. */
export interface TaskHandlers {
  onStarted: (task: TaskId) => void;
  onCheckpointed: (task: TaskId) => void;
  onEnded: (
    task: TaskId,
    ending: "finished" | "failed" | "stopped",
    cause: string,
  ) => void;
}

/** Work that each member of a job has saved by checkpoints. */
export type Progress = Map<string, Milliseconds[]>;

/** A fake worker. */
export interface Worker {
  failing: boolean;
  start(effect: StartEffect): void;
  renew(task: TaskId, lease: Milliseconds): void;
  checkpoint(task: TaskId): void;
  stop(task: TaskId): void;
  list(): MemberReport[];
  usage(): { cores: number; memoryMiB: number };
  crash(): void;
}

interface RunningTask {
  id: TaskId;
  report: MemberReport;
  needs: Resources;
  stay: Stay;
  startedAt: Milliseconds;
  initialProgress: Milliseconds;
}

export const START_TIME: Milliseconds = 100;
export const CHECKPOINT_TIME: Milliseconds = 400;
const STOP_TIME: Milliseconds = 50;
const FAILURE_TIME: Milliseconds = 50;

/** Creates a fake worker. */
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

  function end(task: RunningTask, ending: Stay["ending"]): void {
    if (!tasks.delete(taskKey(task.id))) return;
    task.stay.end = heap.now;
    task.stay.ending = ending;
    const { job } = task.id.run;
    const text = `member ${task.id.member} ${ending} on ${name}`;
    note(record, job, heap.now, text);
    const told = ending === "lease" ? "stopped" : ending;
    if (told === "lost" || told === "running") return;
    handlers.onEnded(task.id, told, ending);
  }

  function begin(task: RunningTask): void {
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
      () => end(task, failing ? "failed" : "finished"),
    );
  }

  function watchLease(task: RunningTask): void {
    heap.at(task.stay.leaseUntil, () => {
      if (tasks.get(taskKey(task.id)) !== task) return;
      if (heap.now >= task.stay.leaseUntil) end(task, "lease");
      else watchLease(task);
    });
  }

  const worker: Worker = {
    failing: false,
    usage,
    start(effect) {
      const { task: id, report, perMember, lease } = effect;
      if (tasks.has(taskKey(id))) return handlers.onStarted(id);
      const stay: Stay = {
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
        stay,
        startedAt: Infinity,
        initialProgress: 0,
      };
      tasks.set(taskKey(id), task);
      record.jobs.get(id.run.job)?.stays.push(stay);
      const text = `member ${id.member} of epoch ${id.run.epoch} on ${name}`;
      note(record, id.run.job, heap.now, text);
      checkCapacity();
      watchLease(task);
      heap.after(START_TIME, () => begin(task));
    },
    renew(id, lease) {
      const task = tasks.get(taskKey(id));
      if (task) task.stay.leaseUntil = heap.now + lease;
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
        if (task) end(task, "stopped");
        else handlers.onEnded(id, "stopped", "absent");
      });
    },
    list: () =>
      [...tasks.values()].map(({ report }) => ({
        ...report,
        state: "running" as const,
      })),
    crash() {
      for (const task of [...tasks.values()]) end(task, "lost");
    },
  };
  return worker;
}

/** The job resumes where its member with the least saved work stands. */
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
