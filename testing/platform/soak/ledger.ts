/**
 * Record of what callers and workers saw of each job, with checks of the
 * guarantees that this must not break.
 *
 * @module
 */

import { MAX_ATTEMPTS } from "../configuration.ts";
import type { Ending, WorkerRun, WorkObserver } from "../worker_server.ts";

/** Accelerators that each worker has. */
export const WORKER_ACCELERATORS = 8;
/**
 * Time in milliseconds that a gang's members may wait for the others at their
 * workers; after it the runs end.
 */
const GANG_TIMEOUT = 3000;
/**
 * Guaranteed bound on starts after a confirmed cancellation, in milliseconds,
 * to which the longest fault is added.
 */
const CANCEL_BOUND = 3000;
/** Crashes after which a task that causes them may start only LATE_STARTS times. */
const CRASHES = 3;
const LATE_STARTS = 2;
/** Crashes under a task after which its job may be given up. */
const CRASHES_TO_GIVE_UP = 2;
/** Same, if crashes count that a task beside it has caused. */
const CRASHES_BESIDE_TO_GIVE_UP = 5;

/** A step of a job that the soak submits. */
export interface SoakStep {
  /** Number of tasks. */
  count: number;
  /** Accelerators of each task. */
  accelerators: number;
  /** Milliseconds for which each task runs. */
  duration: number;
  /** Whether all tasks run together as a gang. */
  gang: boolean;
  /** Indexes of the steps that have to be done first. */
  after: number[];
}

/** A job that the soak submits. */
export interface SoakJob {
  id: string;
  steps: SoakStep[];
  /** Whether its tasks take longer than a lease. */
  long?: boolean;
  /** Which of its tasks crash each worker that starts them. */
  deadly?: DeadlyTasks;
}

/** Tasks of a job's first step that crash their workers. */
export interface DeadlyTasks {
  /** Number of them, from the first on. */
  count: number;
  /** Milliseconds from the start of each to the crash. */
  delay: number;
}

/** Crashes of a task's workers. */
interface CrashRecord {
  /** Crashes that the task itself caused. */
  own: number;
  /** Crashes without a deadly task. */
  other: number;
  /** Crashes that a deadly task beside it caused. */
  beside: number;
  /** Starts by machines in touch after the last permitted crash. */
  lateStarts: number;
}

/** What the callers and workers have seen of a job. */
export interface JobRecord {
  job: SoakJob;
  /** HTTP status of each submission; 0 stands for no answer. */
  submissionStatuses: number[];
  accepted: boolean;
  cancelSent: boolean;
  /** When an entry confirmed the cancellation. */
  cancelledAt?: number;
  /** Whether any task of the job has started. */
  started: boolean;
  /** Highest number of acknowledged failures of one task. */
  failures: number;
  /** State that an entry showed last. */
  lastState?: string;
}

interface TaskRecord {
  /** Numbers of the present runs by worker. */
  running: Map<string, number>;
  /** Runs that ended as done, by run number. */
  done: Map<number, DoneEnd>;
  failures: number;
  crashes: CrashRecord;
}

/**
 * End of a run as done. Until it is acknowledged it may be lost with its
 * worker, or remain unknown until the worker's lease is over; the task may then
 * run again.
 */
interface DoneEnd {
  worker: string;
  at: number;
  acknowledged: boolean;
  /**
   * Whether the task started again while the worker still had the lease of that
   * time. One that lapsed and began anew proves that the end was unknown for as
   * long as a run may be.
   */
  leaseAtStart: boolean;
}

interface GangRecord {
  presentMembers: Set<string>;
  /** When the last member arrived. */
  since?: number;
  /** Rate of the slowest member. */
  rate: number;
  ending?: Ending;
}

/** The record of a soak, as createLedger returns it. */
export type Ledger = ReturnType<typeof createLedger>;

/**
 * Creates an empty record. Violations are listed by rule:
 * TWICE - a task runs a second time beside a run or after its end;
 * UNASKED - a run starts without a job, after a cancellation, or stays behind;
 * ORDER - a step starts before the steps that it depends on;
 * LIMIT - a worker runs more than its accelerators allow;
 * BUDGET - a task starts again after its last permitted failure or crash;
 * LOST - an accepted job is unknown, ends wrongly or never ends, or a request
 * is cut off;
 * MIXED - a job is shown as completed before it is;
 * REFUSED - a job starts though all its submissions were refused;
 * EXIT - a process ends by itself;
 * CONFIG - an entry lacks or loses a configuration version;
 * EVACUATED - a run starts in a failure domain that is evacuated for long.
 */
export function createLedger(fields: {
  now: () => number;
  /** Longest time in milliseconds for which a fault may delay a call. */
  maxFaultDuration: number;
  /** Whether runs that start on this worker now have to fail. */
  failsRuns: (worker: string) => boolean;
  /** Whether no fault affected the agent of the worker a moment ago. */
  isInTouch: (worker: string) => boolean;
  /**
   * Whether the worker has had a lease without a break since that time; false
   * once it has crashed.
   */
  hasLease: (worker: string, since: number) => boolean;
  /** Whether nothing may start on the worker, since its domain is evacuated. */
  isEvacuated: (worker: string) => boolean;
  /** Called when a task started that crashes the worker after `delay` ms. */
  onDeadlyStart: (worker: string, task: string, delay: number) => void;
}) {
  const jobs = new Map<string, JobRecord>();
  const tasks = new Map<string, TaskRecord>();
  const gangs = new Map<string, GangRecord>();
  const failing = new Set<string>();
  const violations: string[] = [];

  const report = (rule: string, text: string) =>
    void violations.push(`${rule} at ${Math.round(fields.now())}: ${text}`);

  function parse(task: string) {
    const [id, occurrence, step, index] = task.split(".");
    const record = jobs.get(id!);
    return {
      record,
      step: record?.job.steps[Number(step)],
      prefix: `${id}.${occurrence}`,
      stepIndex: Number(step),
      index: Number(index),
    };
  }

  function findTask(name: string): TaskRecord {
    let task = tasks.get(name);
    if (!task) {
      task = {
        running: new Map(),
        done: new Map(),
        failures: 0,
        crashes: { own: 0, other: 0, beside: 0, lateStarts: 0 },
      };
      tasks.set(name, task);
    }
    return task;
  }

  function findGang(run: WorkerRun): GangRecord {
    const { prefix, stepIndex } = parse(run.task);
    const key = `${prefix}.${stepIndex}#${run.run}`;
    let gang = gangs.get(key);
    if (!gang) {
      gangs.set(key, gang = { presentMembers: new Set(), rate: Infinity });
    }
    return gang;
  }

  /** Whether a step is done; one member's end is enough for a gang. */
  function isStepDone(
    prefix: string,
    record: JobRecord,
    step: number,
  ): boolean {
    const { count, gang } = record.job.steps[step]!;
    const done = Array.from({ length: count }, (_, index) => {
      return (tasks.get(`${prefix}.${step}.${index}`)?.done.size ?? 0) > 0;
    });
    return gang ? done.some(Boolean) : done.every(Boolean);
  }

  function isJobDone(record: JobRecord): boolean {
    return record.job.steps.every((_, step) =>
      isStepDone(`${record.job.id}.0`, record, step)
    );
  }

  /**
   * Ends as done of the task. For a task of a gang these are the ends of all
   * members, since one end completes the whole gang.
   */
  function listDoneEnds(task: string): DoneEnd[] {
    const { step, prefix, stepIndex } = parse(task);
    if (!step?.gang) return [...findTask(task).done.values()];
    return Array.from({ length: step.count }, (_, index) => {
      const member = tasks.get(`${prefix}.${stepIndex}.${index}`);
      return [...member?.done.values() ?? []];
    }).flat();
  }

  function checkStart(
    worker: string,
    run: WorkerRun,
    used: number,
    capacity: number,
  ): void {
    const name = `${run.task}#${run.run} at ${worker}`;
    const { record, step, prefix } = parse(run.task);
    if (!record || !step) return report("UNASKED", name);
    const task = findTask(run.task);
    if (task.running.size > 0) {
      report("TWICE", `${name}, beside ${[...task.running.keys()].join()}`);
    }
    for (const end of listDoneEnds(run.task)) {
      if (end.acknowledged) report("TWICE", `${name}, after acknowledged end`);
      end.leaseAtStart ||= fields.hasLease(end.worker, end.at);
    }
    for (const earlier of step.after) {
      if (!isStepDone(prefix, record, earlier)) report("ORDER", name);
    }
    const limit = fields.isInTouch(worker) ? capacity : WORKER_ACCELERATORS;
    if (used > limit) report("LIMIT", `${name}: ${used} of ${limit}`);
    if (fields.isEvacuated(worker)) report("EVACUATED", name);
    if (task.failures >= MAX_ATTEMPTS) report("BUDGET", name);
    if (task.crashes.own >= CRASHES && fields.isInTouch(worker)) {
      if (++task.crashes.lateStarts > LATE_STARTS) report("BUDGET", name);
    }
    const { cancelledAt } = record;
    const latestStart = (cancelledAt ?? Infinity) + CANCEL_BOUND +
      fields.maxFaultDuration;
    if (fields.now() > latestStart) {
      report("UNASKED", `${name}, cancelled at ${cancelledAt}`);
    }
  }

  /** Time from the task's start to the crash that it causes, if it does. */
  function crashDelay(task: string): number | undefined {
    const { record, stepIndex, index } = parse(task);
    const deadly = record?.job.deadly;
    const causes = deadly && stepIndex === 0 && index < deadly.count;
    return causes ? deadly.delay : undefined;
  }

  /** Records a crash under these runs, caused by the deadly task if given. */
  function crashed(runs: WorkerRun[], cause?: string): void {
    for (const { task } of runs) {
      const { crashes } = findTask(task);
      if (task === cause) crashes.own++;
      else if (cause === undefined) crashes.other++;
      else crashes.beside++;
    }
  }

  /** Whether workers crashed under a task as often as a given-up job needs. */
  function hasCrashes({ job }: JobRecord): boolean {
    return [...tasks].some(([name, { crashes }]) => {
      if (!name.startsWith(job.id)) return false;
      const alone = crashes.own + crashes.other;
      return alone >= CRASHES_TO_GIVE_UP ||
        alone + crashes.beside >= CRASHES_BESIDE_TO_GIVE_UP;
    });
  }

  function gangEndingAt(step: SoakStep, run: WorkerRun, now: number) {
    const gang = findGang(run);
    if (gang.ending) return gang.ending === "done" ? "done" : "broken";
    if (gang.since === undefined) {
      if (now < run.startedAt + GANG_TIMEOUT) return undefined;
      return gang.ending = "alone";
    }
    if (now < gang.since + step.duration / gang.rate) return undefined;
    return gang.ending = "done";
  }

  /** Share of its own work that the run has done, without an upper bound. */
  function workedPercent(step: SoakStep, run: WorkerRun, now: number): number {
    const since = step.gang ? findGang(run).since ?? now : run.startedAt;
    return 100 * (run.rate ?? 1) * (now - since) / step.duration;
  }

  const observer: WorkObserver = {
    accelerators: (task) => parse(task).step?.accelerators ?? 0,
    endingAt: (run, now) => {
      const { step } = parse(run.task);
      if (!step) return undefined;
      if (failing.has(`${run.task}#${run.run}`)) return "failed";
      if (step.gang) return gangEndingAt(step, run, now);
      return workedPercent(step, run, now) >= 100 ? "done" : undefined;
    },
    percentAt: (run, now) => {
      const { step } = parse(run.task);
      return step ? Math.min(100, workedPercent(step, run, now)) : 0;
    },
    started: ({ worker, run, used, capacity }) => {
      checkStart(worker, run, used, capacity);
      const { record, step } = parse(run.task);
      if (!record || !step) return;
      record.started = true;
      const delay = crashDelay(run.task);
      if (delay !== undefined) fields.onDeadlyStart(worker, run.task, delay);
      findTask(run.task).running.set(worker, run.run);
      if (fields.failsRuns(worker)) failing.add(`${run.task}#${run.run}`);
      if (!step.gang) return;
      const gang = findGang(run);
      gang.presentMembers.add(run.task);
      gang.rate = Math.min(gang.rate, run.rate ?? 1);
      if (gang.presentMembers.size === step.count) gang.since = run.startedAt;
    },
    ended: ({ worker, run, ending }) => {
      const task = findTask(run.task);
      task.running.delete(worker);
      if (ending === "done") {
        task.done.set(run.run, {
          worker,
          at: fields.now(),
          acknowledged: false,
          leaseAtStart: false,
        });
      }
      const { step } = parse(run.task);
      if (step?.gang && ending !== "done") findGang(run).ending ??= ending;
    },
    acknowledged: ({ run, ending }) => {
      const task = findTask(run.task);
      const { record } = parse(run.task);
      if (ending === "failed") {
        task.failures++;
        if (record) record.failures = Math.max(record.failures, task.failures);
      }
      const end = task.done.get(run.run);
      if (ending !== "done" || !end || end.acknowledged) return;
      end.acknowledged = true;
      if (end.leaseAtStart) {
        report(
          "TWICE",
          `${run.task}#${run.run} at ${end.worker}, whose end was acknowledged after a new start`,
        );
      }
    },
  };

  function shown(id: string, status: number, state: string): void {
    const record = jobs.get(id);
    if (!record) return;
    if (status === 410) {
      if (record.accepted && !record.cancelSent) {
        report("LOST", `${id} is unknown`);
      }
      return;
    }
    if (status !== 200) return;
    record.lastState = state;
    if (state === "completed" && !isJobDone(record)) {
      report("MIXED", `${id} is shown as completed`);
    }
    if (state === "cancelled" && !record.cancelSent) {
      report("LOST", `${id} is shown as cancelled`);
    }
    if (state === "failed" && record.failures < MAX_ATTEMPTS) {
      // The programs count a failure before they acknowledge it at its worker.
      if (!hasFailures(record) && !hasCrashes(record)) {
        report("LOST", `${id} is shown as failed`);
      }
    }
  }

  function hasFailures(record: JobRecord): boolean {
    const runs = [...failing].filter((name) => name.startsWith(record.job.id));
    return runs.length >= MAX_ATTEMPTS;
  }

  return {
    violations,
    jobs,
    observer,
    report,
    crashed,
    isJobDone,
    sent: (job: SoakJob): JobRecord => {
      const record: JobRecord = {
        job,
        submissionStatuses: [],
        accepted: false,
        cancelSent: false,
        started: false,
        failures: 0,
      };
      jobs.set(job.id, record);
      return record;
    },
    answered: (record: JobRecord, status: number) => {
      record.submissionStatuses.push(status);
      if (status === 200) record.accepted = true;
    },
    shown,
    /** Checks at the end of a soak that no refused job has started. */
    finish: () => {
      for (
        const { job, submissionStatuses: answers, started } of jobs.values()
      ) {
        const rejected = answers.length > 0 &&
          answers.every((status) => status === 503 || status === 429);
        if (started && rejected) report("REFUSED", `${job.id} has started`);
      }
    },
  };
}
