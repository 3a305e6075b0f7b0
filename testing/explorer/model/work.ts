/**
 * What runs do on the workers: how long they work, how they end, and how the
 * members of a gang work together.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { parseTask, RunEnding } from "@dragonflyledge/scheduler";
import type { Deadly, Happening } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";

/** How long a member of a gang waits for the others. */
const GANG_TIMEOUT: Milliseconds = 3000;
/** Time after which members learn of the end of another. */
const MEMBER_DELAY: Milliseconds = 3;

type JobInput = Extract<Happening, { kind: "job" }>;

/** A run that is at work or waits for its gang. */
export interface WorkingRun {
  readonly task: string;
  readonly run: number;
  /** How fast its worker runs it. */
  readonly rate: number;
  end(ending: RunEnding): void;
  crashWorker(deadly: Deadly): void;
}

/** Work of all workers. */
export interface Work {
  /** Accelerators that the task needs. */
  need(task: string): number;
  isGang(task: string): boolean;
  begin(run: WorkingRun): void;
  /** Share of its own work that the run has done, from 0 to 100. */
  percent(run: WorkingRun): number;
  /** Called when a run has ended in any way. */
  ended(run: WorkingRun, ending: RunEnding): void;
}

/** Runs that work together; one, if the step is no gang. */
interface Unit {
  members: Set<WorkingRun>;
  /** When the work began, which is once all members are there. */
  assembledAt?: Milliseconds;
}

/** Creates the work of the given jobs, which may be added later. */
export function createWork(
  { agenda, jobs }: { agenda: Agenda; jobs: Map<string, JobInput> },
): Work {
  const units = new Map<string, Unit>();
  /** Number of failed runs by task. */
  const failures = new Map<string, number>();

  function stepOf(task: string) {
    const name = parseTask(task)!;
    const job = jobs.get(name.job)!;
    return { name, job, step: job.steps[name.step]! };
  }

  function unitKey({ task, run }: WorkingRun): string {
    const { name, step } = stepOf(task);
    return step.gang ? `${name.job}.${name.step}#${run}` : `${task}#${run}`;
  }

  function unitOf(run: WorkingRun): Unit {
    const key = unitKey(run);
    const unit = units.get(key) ?? { members: new Set() };
    units.set(key, unit);
    return unit;
  }

  function begin(run: WorkingRun): void {
    const { step, job } = stepOf(run.task);
    const unit = unitOf(run);
    unit.members.add(run);
    if (unit.members.size < (step.gang ? step.count : 1)) {
      agenda.after(GANG_TIMEOUT, () => {
        if (unit.assembledAt === undefined && unit.members.has(run)) {
          run.end(RunEnding.Alone);
        }
      });
      return;
    }
    unit.assembledAt = agenda.now();
    const members = [...unit.members];
    const isWhole = () => members.every((each) => unit.members.has(each));
    crashLater(members, isWhole);
    if (job.lastsFor !== undefined) return;
    const slowest = Math.min(...members.map(({ rate }) => rate));
    agenda.after(step.duration / slowest, () => {
      if (isWhole()) finish(members);
    });
  }

  function crashLater(members: WorkingRun[], isWhole: () => boolean): void {
    for (const run of members) {
      const { name, job } = stepOf(run.task);
      if (!job.deadly || name.step !== 0 || name.index !== 0) continue;
      const { deadly } = job;
      agenda.after(deadly.after, () => {
        if (isWhole()) run.crashWorker(deadly);
      });
    }
  }

  function finish(members: WorkingRun[]): void {
    const first = members.find(({ task }) => stepOf(task).name.index === 0);
    if (first) {
      const count = failures.get(first.task) ?? 0;
      if (count < stepOf(first.task).job.failures) {
        failures.set(first.task, count + 1);
        return first.end(RunEnding.Failed);
      }
    }
    for (const run of members) run.end(RunEnding.Done);
  }

  return {
    need: (task) => stepOf(task).step.accelerators,
    isGang: (task) => stepOf(task).step.gang,
    begin,
    percent: (run) => {
      const { assembledAt } = unitOf(run);
      if (assembledAt === undefined) return 0;
      const worked = run.rate * (agenda.now() - assembledAt);
      return Math.min(100, 100 * worked / stepOf(run.task).step.duration);
    },
    ended: (run, ending) => {
      const unit = unitOf(run);
      unit.members.delete(run);
      if (ending === RunEnding.Done) return;
      agenda.after(MEMBER_DELAY, () => {
        for (const other of [...unit.members]) {
          if (unit.assembledAt !== undefined) other.end(RunEnding.Broken);
        }
      });
    },
  };
}
