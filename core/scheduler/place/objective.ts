/**
 * Objectives of jobs: until when a job should complete.
 *
 * Load pattern: queues state how much slower than on an idle fleet their jobs
 * may be. A late job is worth a part of one on time, and nothing once it is
 * much later.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { JobRequest, Step } from "../job.ts";

/**
 * Share of a service's accelerators that a step can expect to use at once. A
 * wider step runs in waves.
 */
const STEP_SHARE = 0.25;
/** A job that takes this many times its objective is worth nothing. */
const WORTHLESS_FACTOR = 3;
/** Time from the end of a job's last task until callers are told. */
const REPORT_DELAY: Milliseconds = 50;

/** Unix times by which one step of a job should end. */
export interface StepObjective {
  /** The job is late if the step ends later. */
  dueAt: Milliseconds;
  /** The job is worth nothing if the step ends later. */
  worthlessAt: Milliseconds;
}

/**
 * Objective of one step of an occurrence of the job, so that the steps after it
 * can still be on time; undefined if the job has no objective.
 *
 * @param accelerators of all workers of the job's service
 */
export function objectiveOf(
  request: JobRequest,
  name: { occurrence: number; step: number },
  accelerators: number,
): StepObjective | undefined {
  const { slackFactor, targetRuntime = 0 } = request.policy;
  if (slackFactor === undefined) return undefined;
  const { longest, after } = chainsOf(request, accelerators);
  const allowed = slackFactor * longest + targetRuntime;
  const begin = beginOf(request, name.occurrence);
  const rest = after[name.step]! + REPORT_DELAY;
  return {
    dueAt: begin + allowed - rest,
    worthlessAt: begin + WORTHLESS_FACTOR * allowed - rest,
  };
}

/** Chains of work of a job; they change only with the size of the fleet. */
interface Chains {
  accelerators: number;
  longest: Milliseconds;
  /** Longest chain of the steps that wait for each step, without itself. */
  after: Milliseconds[];
}

/**
 * Chains computed before. A round of planning asks for those of all jobs, many
 * times for some.
 */
const knownChains = new WeakMap<JobRequest, Chains>();

function chainsOf(request: JobRequest, accelerators: number): Chains {
  const known = knownChains.get(request);
  if (known?.accelerators === accelerators) return known;
  const durations = request.steps
    .map((step) => expectedDuration(step, accelerators));
  const after = chainsAfter(request.steps, durations);
  const longest = Math.max(
    ...durations.map((duration, step) => duration + after[step]!),
  );
  const chains = { accelerators, longest, after };
  knownChains.set(request, chains);
  return chains;
}

/** Time that the step takes on workers of the usual rate. */
export function expectedDuration(
  step: Step,
  accelerators: number,
): Milliseconds {
  if (step.gang || accelerators === 0) return step.estimate;
  const needed = step.count * step.accelerators;
  const waves = Math.ceil(needed / (STEP_SHARE * accelerators));
  return Math.max(1, waves) * step.estimate;
}

/** Unix time from which the occurrence's objective counts. */
function beginOf(request: JobRequest, occurrence: number): Milliseconds {
  const { schedule, acceptedAt } = request;
  return schedule
    ? Math.max(acceptedAt, schedule.first + occurrence * schedule.interval)
    : acceptedAt;
}

/** Longest chain of the steps that wait for each step, without itself. */
function chainsAfter(steps: Step[], durations: Milliseconds[]): Milliseconds[] {
  const chains = steps.map(() => 0);
  for (let index = steps.length - 1; index >= 0; index--) {
    for (const earlier of steps[index]!.after) {
      const chain = durations[index]! + chains[index]!;
      chains[earlier] = Math.max(chains[earlier]!, chain);
    }
  }
  return chains;
}
