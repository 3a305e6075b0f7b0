/**
 * Connects the estimates of interference with the scheduler's state.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "../messages.ts";
import type { AgentReport } from "../messages.ts";
import { stepKey } from "../state.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";
import type { ListedRun } from "./followed_workers.ts";
import { kindName } from "./kinds.ts";

/** Name of the kind of a run's task. */
export function kindOfRun({ step, job, task }: Run): string {
  return kindName({ step, queue: job.request.queue, stepIndex: task.step });
}

/** Learns from the running tasks that a report lists. */
export function noteProgress(
  state: SchedulerState,
  worker: Worker,
  report: AgentReport,
  now: Milliseconds,
): void {
  const { agent } = worker;
  if (!state.interference.follows(agent)) return;
  // All that runs on a cold or slowed worker is slow, whatever is beside it.
  const steady = !worker.state.warmupLeft &&
    !state.rateEstimator.isSlowed(agent);
  const runs: ListedRun[] = [];
  for (const running of report.running) {
    const run = state.runs.get(runKey(running));
    if (run?.worker !== worker.state.key) continue;
    const listed = toListed(worker, run, running.percent);
    runs.push({ ...listed, measurable: steady && listed.measurable });
  }
  state.interference.observe({
    agent,
    worker: worker.state.key,
    at: report.listClock ?? report.sentAt,
    now,
    runs,
    rate: () => state.rateEstimator.beliefOf(agent),
  });
}

/** Decides on pairs, and logs those that are kept apart or no longer are. */
export function refreshInterference(
  state: SchedulerState,
  now: Milliseconds,
): void {
  const { interference } = state;
  const changes = interference.refresh(now);
  for (const { apart, slowdown, certainty, ...change } of changes) {
    state.effects.push({
      kind: "log",
      level: "info",
      text: apart
        ? "Kinds of tasks kept apart."
        : "Kinds of tasks no longer kept apart.",
      fields: {
        ...change,
        slowdown: Number(slowdown.toFixed(3)),
        certainty: Number(certainty.toFixed(1)),
      },
    });
  }
  if (changes.length === 0) return;
  state.effects.push({
    kind: "interference",
    pairs: interference.pairCount(),
  });
}

function toListed(worker: Worker, run: Run, percent: number): ListedRun {
  const { step, task } = run;
  const { dataRack } = step;
  return {
    key: runKey({ task: run.name, run: run.run }),
    kind: kindOfRun(run),
    step: `${task.job}.${stepKey(task)}`,
    percent,
    measurable: !run.stopping && !step.longRunning,
    // Work away from its data runs several times slower.
    comparable: dataRack === "" || dataRack === worker.state.rack,
  };
}
