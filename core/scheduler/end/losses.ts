/**
 * Losses of runs whose worker or agent is gone.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentReport } from "../messages.ts";
import type { Agent, Run, SchedulerState } from "../state.ts";
import { noteUnexplainedLoss } from "./crashes.ts";
import { loseRun, loseStart } from "./endings.ts";

/** Fields of a loss. */
export interface LossFields {
  state: SchedulerState;
  agent: Agent;
  /** The report that shows the loss; undefined without one. */
  report?: AgentReport;
  now: Milliseconds;
  date: Milliseconds;
}

/** Why all runs of a worker or an agent are lost at once, as it is logged. */
export const LossReason = {
  Emptied: "worker emptied",
  Replaced: "worker replaced",
  NoWorker: "the agent has no worker",
  AgentLost: "agent lost",
} as const;
export type LossReason = typeof LossReason[keyof typeof LossReason];

/** Treats the selected runs, whose worker is gone, as ended. */
export function loseRuns(
  fields: LossFields,
  isLost: (run: Run) => boolean,
  reason: LossReason,
): void {
  const replaced = reason === LossReason.Replaced ||
    reason === LossReason.NoWorker;
  const crashes = fields.report?.crashes ?? [];
  for (const run of [...fields.state.runs.values()]) {
    if (!isLost(run)) continue;
    // The report of a crash names every run that may have been on the worker.
    const neverBegan = crashes.some(({ worker }) => worker === run.worker);
    if (neverBegan) {
      loseStart(fields.state, run, reason);
      continue;
    }
    noteUnexplainedLoss(fields, run, replaced);
    loseRun(fields.state, run, reason);
  }
}
