/**
 * Clears tasks of crashes whose cause is found later.
 *
 * Load pattern: tasks that crash their workers meet others at work there. Each
 * crash counts for these, too, until the job that caused it is given up.
 *
 * @module
 */

import type { CrashCounts } from "../job.ts";
import { isFinal } from "../job.ts";
import { markChanged } from "../record/progress.ts";
import { findTask } from "../runs.ts";
import type { Run, SchedulerState, UnexplainedCrash } from "../state.ts";

/** Notes which tasks of other jobs were on a worker beside likely causes. */
export function noteCompanions(causes: Run[], present: Run[]): void {
  for (const { job, task } of present) {
    const crash: UnexplainedCrash = { job, task, explained: false };
    for (const cause of causes) {
      if (cause.job === job) continue;
      cause.job.crashCompanions.push({ cause: cause.name, crash });
    }
  }
}

/** Forgets the companions of a task that was not the cause. */
export function forgetCompanions({ job, name }: Run): void {
  job.crashCompanions = job.crashCompanions
    .filter(({ cause }) => cause !== name);
}

/** Moves the crashes that the task has caused to the explained ones of others. */
export function explainCrashes(state: SchedulerState, run: Run): void {
  for (const { cause, crash } of run.job.crashCompanions) {
    if (cause !== run.name || crash.explained) continue;
    crash.explained = true;
    const crashes = findTask(crash.job, crash.task)?.crashes;
    if (!crashes || isFinal(crash.job.progress.status)) continue;
    if (!explainOne(crashes)) continue;
    markChanged(state, crash.job);
    state.effects.push({
      kind: "log",
      level: "info",
      text: "A crash under a task is explained.",
      fields: {
        job: crash.job.request.id,
        cause: run.name,
        total: crashes.total,
        explained: crashes.explained,
      },
    });
  }
  forgetCompanions(run);
}

/** Whether a crash of unknown cause was left. */
function explainOne(crashes: CrashCounts): boolean {
  if (crashes.total === 0) return false;
  crashes.total--;
  crashes.explained++;
  return true;
}
