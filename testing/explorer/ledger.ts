/**
 * Compares what workers do with the promises of the scheduler.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { parseTask, RunEnding } from "@dragonflyledge/scheduler";
import { createEndLimit } from "./end_limit.ts";
import type { EndLimit } from "./end_limit.ts";

/** Guarantees that can be broken. */
export const Guarantee = {
  /** Two runs of one task are never at work at once. */
  Once: "once",
  /** Nothing starts after an end `done` that was noted. */
  Done: "done",
  /** Nothing starts after as many failed runs as the queue permits. */
  Attempts: "attempts",
  /** No start exceeds the worker's capacity. */
  Room: "room",
  /** No start is sent in a domain that is evacuated for long enough. */
  Evacuated: "evacuated",
  /** Calls of one agent process never lower the fence. */
  Fence: "fence",
  /** Every job that can end has ended. */
  Ended: "ended",
  /** No reducer throws an error. */
  Error: "error",
} as const;
export type Guarantee = typeof Guarantee[keyof typeof Guarantee];

/** A guarantee that was broken. */
export interface Violation {
  guarantee: Guarantee;
  at: Milliseconds;
  text: string;
}

/** A run on a worker incarnation. */
export interface PlacedRun {
  task: string;
  run: number;
  /** Key of the worker incarnation. */
  worker: string;
}

interface TaskRecord {
  live: Set<PlacedRun>;
  done: EndLimit;
  /** Failed runs of the task, or of its gang. */
  failed: EndLimit;
}

/** What was seen of all runs. */
export interface Ledger {
  /** The first violation. */
  violation(): Violation | undefined;
  report(guarantee: Guarantee, text: string): void;
  started(run: PlacedRun): void;
  ended(run: PlacedRun, ending: RunEnding): void;
  /** The run ended since its worker crashed, which has no list of ends. */
  vanished(run: PlacedRun): void;
  /** The lease of a worker lapsed, so that earlier ends are not noted. */
  lapsed(worker: string): void;
  /** The leader noted the end of the run. */
  noted(run: PlacedRun, ending: RunEnding): void;
}

/** Creates an empty ledger. */
export function createLedger(fields: {
  now: () => Milliseconds;
  /** Failed runs that are permitted to the tasks of a job. */
  maxAttempts: (job: string) => number;
  /** Whether the step of the task is a gang. */
  isGang: (task: string) => boolean;
}): Ledger {
  const tasks = new Map<string, TaskRecord>();
  const gangs = new Map<string, EndLimit>();
  let violation: Violation | undefined;

  function report(guarantee: Guarantee, text: string): void {
    violation ??= { guarantee, at: fields.now(), text };
  }

  function recordOf(task: string): TaskRecord {
    const known = tasks.get(task);
    if (known) return known;
    const failed = createFailedLimit(task);
    const record = {
      live: new Set<PlacedRun>(),
      done: createEndLimit(1),
      failed,
    };
    tasks.set(task, record);
    return record;
  }

  /** The members of a gang fail together and share their attempts. */
  function createFailedLimit(task: string): EndLimit {
    const gang = task.slice(0, task.lastIndexOf("."));
    const known = fields.isGang(task) ? gangs.get(gang) : undefined;
    if (known) return known;
    const job = parseTask(task)!.job;
    const limit = createEndLimit(fields.maxAttempts(job));
    if (fields.isGang(task)) gangs.set(gang, limit);
    return limit;
  }

  function checkLimits({ done, failed }: TaskRecord): void {
    const late = done.broken();
    if (late) report(Guarantee.Done, `${describe(late)} starts, it was done`);
    const extra = failed.broken();
    if (!extra) return;
    report(
      Guarantee.Attempts,
      `${describe(extra)} starts, it may not any more`,
    );
  }

  function started(run: PlacedRun): void {
    const record = recordOf(run.task);
    const [other] = record.live;
    if (other) {
      report(
        Guarantee.Once,
        `${describe(run)} starts while ${describe(other)} is at work`,
      );
    }
    record.live.add(run);
    record.done.started(run);
    record.failed.started(run);
    checkLimits(record);
  }

  /** The limit to which ends of this kind count. */
  function limitOf(task: string, ending: RunEnding): EndLimit | undefined {
    if (ending === RunEnding.Done) return recordOf(task).done;
    if (ending === RunEnding.Failed) return recordOf(task).failed;
    return undefined;
  }

  return {
    violation: () => violation,
    report,
    started,
    ended: (run, ending) => {
      recordOf(run.task).live.delete(run);
      limitOf(run.task, ending)?.ended(run);
    },
    vanished: (run) => recordOf(run.task).live.delete(run),
    lapsed: (worker) => {
      for (const { done, failed } of tasks.values()) {
        done.lapsed(worker);
        failed.lapsed(worker);
      }
    },
    noted: (run, ending) => {
      limitOf(run.task, ending)?.noted(run);
      checkLimits(recordOf(run.task));
    },
  };
}

function describe({ task, run, worker }: PlacedRun): string {
  return `run ${run} of ${task} on ${worker}`;
}
