/**
 * What callers and workers saw of each job, and which promises that breaks.
 *
 * @module
 */

import { MAX_ATTEMPTS } from "../programs.ts";
import type { Ending, WorkerRun, WorkObserver } from "../worker_server.ts";

/** Accelerators of each worker. */
export const WORKER_ACCELERATORS = 8;
/** A gang whose members are not all present for so long ends. */
const GANG_TIMEOUT = 3000;
/** Stated bound on starts after a confirmed cancel. */
const CANCEL_BOUND = 3000;

/** A step of a job that the soak sends. */
export interface SoakStep {
  count: number;
  accelerators: number;
  duration: number;
  gang: boolean;
  after: number[];
}

/** A job that the soak sends. */
export interface SoakJob {
  id: string;
  steps: SoakStep[];
}

/** What is known of a job. */
export interface JobRecord {
  job: SoakJob;
  /** Statuses of its submissions; 0 stands for no answer. */
  submissionStatuses: number[];
  accepted: boolean;
  cancelSent: boolean;
  cancelledAt?: number;
  started: boolean;
  /** Highest count of noted failures of one task. */
  failures: number;
  lastState?: string;
}

interface TaskRecord {
  /** Run numbers by worker. */
  running: Map<string, number>;
  /** Ends as done that a worker listed, by run. */
  done: Map<number, DoneEnd>;
  failures: number;
}

/** An end that nobody took note of may be lost with its worker. */
interface DoneEnd {
  acknowledged: boolean;
  startedAfter: boolean;
}

interface GangRecord {
  presentMembers: Set<string>;
  /** When all members were present. */
  since?: number;
  ending?: Ending;
}

/** The record of a soak. */
export type Ledger = ReturnType<typeof createLedger>;

/** Creates an empty record. */
export function createLedger(fields: {
  now: () => number;
  /** Longest time for which a fault may hold back an order. */
  longestFault: number;
  /** Whether the worker makes what starts there fail. */
  fails: (worker: string) => boolean;
}) {
  const jobs = new Map<string, JobRecord>();
  const tasks = new Map<string, TaskRecord>();
  const gangs = new Map<string, GangRecord>();
  const failing = new Set<string>();
  const violations: string[] = [];

  const blame = (rule: string, text: string) =>
    void violations.push(`${rule} at ${Math.round(fields.now())}: ${text}`);

  function parse(task: string) {
    const [id, occurrence, step, index] = task.split(".");
    const entry = jobs.get(id!);
    return {
      entry,
      step: entry?.job.steps[Number(step)],
      prefix: `${id}.${occurrence}`,
      stepIndex: Number(step),
      index: Number(index),
    };
  }

  function taskOf(name: string): TaskRecord {
    let task = tasks.get(name);
    if (!task) {
      task = {
        running: new Map(),
        done: new Map(),
        failures: 0,
      };
      tasks.set(name, task);
    }
    return task;
  }

  function gangOf(run: WorkerRun): GangRecord {
    const { prefix, stepIndex } = parse(run.task);
    const key = `${prefix}.${stepIndex}#${run.run}`;
    let gang = gangs.get(key);
    if (!gang) gangs.set(key, gang = { presentMembers: new Set() });
    return gang;
  }

  /** Whether all tasks of a step have ended as done. */
  function isStepDone(prefix: string, entry: JobRecord, step: number): boolean {
    const { count, gang } = entry.job.steps[step]!;
    const done = Array.from({ length: count }, (_, index) => {
      return (tasks.get(`${prefix}.${step}.${index}`)?.done.size ?? 0) > 0;
    });
    return gang ? done.some(Boolean) : done.every(Boolean);
  }

  function isJobDone(entry: JobRecord): boolean {
    return entry.job.steps.every((_, step) =>
      isStepDone(`${entry.job.id}.0`, entry, step)
    );
  }

  /** Ends as done of the task; one of a gang stands for all its members. */
  function doneEnds(task: string): DoneEnd[] {
    const { step, prefix, stepIndex } = parse(task);
    if (!step?.gang) return [...taskOf(task).done.values()];
    return Array.from({ length: step.count }, (_, index) => {
      const member = tasks.get(`${prefix}.${stepIndex}.${index}`);
      return [...member?.done.values() ?? []];
    }).flat();
  }

  function checkStart(worker: string, run: WorkerRun, used: number): void {
    const name = `${run.task}#${run.run} at ${worker}`;
    const { entry, step, prefix } = parse(run.task);
    if (!entry || !step) return blame("UNASKED", name);
    const task = taskOf(run.task);
    if (task.running.size > 0) {
      blame("TWICE", `${name}, beside ${[...task.running.keys()].join()}`);
    }
    for (const end of doneEnds(run.task)) {
      if (end.acknowledged) blame("TWICE", `${name}, after its end was noted`);
      end.startedAfter = true;
    }
    for (const former of step.after) {
      if (!isStepDone(prefix, entry, former)) blame("ORDER", name);
    }
    if (used > WORKER_ACCELERATORS) blame("LIMIT", `${name}: ${used}`);
    if (task.failures >= MAX_ATTEMPTS) blame("BUDGET", name);
    const { cancelledAt } = entry;
    const limit = CANCEL_BOUND + fields.longestFault;
    if (cancelledAt !== undefined && fields.now() > cancelledAt + limit) {
      blame("UNASKED", `${name}, cancelled at ${cancelledAt}`);
    }
  }

  function judgeGang(step: SoakStep, run: WorkerRun, now: number) {
    const gang = gangOf(run);
    if (gang.ending) return gang.ending === "done" ? "done" : "broken";
    if (gang.since === undefined) {
      if (now < run.startedAt + GANG_TIMEOUT) return undefined;
      return gang.ending = "alone";
    }
    if (now < gang.since + step.duration) return undefined;
    return gang.ending = "done";
  }

  const observer: WorkObserver = {
    accelerators: (task) => parse(task).step?.accelerators ?? 0,
    endingAt: (run, now) => {
      const { step } = parse(run.task);
      if (!step) return undefined;
      if (failing.has(`${run.task}#${run.run}`)) return "failed";
      if (step.gang) return judgeGang(step, run, now);
      return now >= run.startedAt + step.duration ? "done" : undefined;
    },
    started: ({ worker, run, used }) => {
      checkStart(worker, run, used);
      const { entry, step } = parse(run.task);
      if (!entry || !step) return;
      entry.started = true;
      taskOf(run.task).running.set(worker, run.run);
      if (fields.fails(worker)) failing.add(`${run.task}#${run.run}`);
      if (!step.gang) return;
      const gang = gangOf(run);
      gang.presentMembers.add(run.task);
      if (gang.presentMembers.size === step.count) gang.since = run.startedAt;
    },
    ended: ({ worker, run, ending }) => {
      const task = taskOf(run.task);
      task.running.delete(worker);
      if (ending === "done") {
        task.done.set(run.run, { acknowledged: false, startedAfter: false });
      }
      const { step } = parse(run.task);
      if (step?.gang && ending !== "done") gangOf(run).ending ??= ending;
    },
    acknowledged: ({ run, ending }) => {
      const task = taskOf(run.task);
      const { entry } = parse(run.task);
      if (ending === "failed") {
        task.failures++;
        if (entry) entry.failures = Math.max(entry.failures, task.failures);
      }
      const end = task.done.get(run.run);
      if (ending !== "done" || !end || end.acknowledged) return;
      end.acknowledged = true;
      if (end.startedAfter) {
        blame("TWICE", `${run.task}#${run.run}, noted late`);
      }
    },
  };

  function shown(id: string, status: number, state: string): void {
    const entry = jobs.get(id);
    if (!entry) return;
    if (status === 410) {
      if (entry.accepted && !entry.cancelSent) {
        blame("LOST", `${id} is unknown`);
      }
      return;
    }
    if (status !== 200) return;
    entry.lastState = state;
    if (state === "completed" && !isJobDone(entry)) {
      blame("MIXED", `${id} is shown as completed`);
    }
    if (state === "cancelled" && !entry.cancelSent) {
      blame("LOST", `${id} is shown as cancelled`);
    }
    if (state === "failed" && entry.failures < MAX_ATTEMPTS) {
      // The last failure counts before its worker is told that it does.
      if (!hasFailures(entry)) blame("LOST", `${id} is shown as failed`);
    }
  }

  function hasFailures(entry: JobRecord): boolean {
    const runs = [...failing].filter((name) => name.startsWith(entry.job.id));
    return runs.length >= MAX_ATTEMPTS;
  }

  return {
    violations,
    jobs,
    observer,
    blame,
    isJobDone,
    sent: (job: SoakJob): JobRecord => {
      const entry: JobRecord = {
        job,
        submissionStatuses: [],
        accepted: false,
        cancelSent: false,
        started: false,
        failures: 0,
      };
      jobs.set(job.id, entry);
      return entry;
    },
    answered: (entry: JobRecord, status: number) => {
      entry.submissionStatuses.push(status);
      if (status === 200) entry.accepted = true;
    },
    shown,
    /** Checks what only the end of a soak can tell. */
    finish: () => {
      for (
        const { job, submissionStatuses: answers, started } of jobs.values()
      ) {
        const rejected = answers.length > 0 &&
          answers.every((status) => status === 503 || status === 429);
        if (started && rejected) blame("REFUSED", `${job.id} has started`);
      }
    },
  };
}
