/**
 * Checks the stored records of a job, which other writers may have replaced by
 * something that no part of the system can work with.
 *
 * @module
 */

import {
  isAmount,
  isCount,
  isFlag,
  isNumber,
  isText,
  listOf,
  objectWith,
  optional,
} from "../guards.ts";
import type { Guard } from "../guards.ts";
import type {
  JobProgress,
  JobRequest,
  QueuePolicy,
  Schedule,
  Step,
} from "../job.ts";
import { MAX_TASKS, TaskPhase } from "../job.ts";

const isStep = objectWith<Step>({
  count: (value): value is number => isCount(value) && value > 0,
  millicores: isAmount,
  megabytes: isAmount,
  accelerators: isAmount,
  estimate: isAmount,
  after: listOf(isCount),
  gang: isFlag,
  sameRack: isFlag,
  checkpointing: isFlag,
  longRunning: isFlag,
  label: isText,
  dataRack: isText,
  maxPerWorker: isAmount,
  image: isText,
  fillsIdleCores: isFlag,
});
const isSchedule = objectWith<Schedule>({
  first: isNumber,
  interval: isAmount,
  occurrences: isCount,
});
const isPolicy = objectWith<QueuePolicy>({
  service: isText,
  priority: isNumber,
  maxAttempts: isNumber,
  slackFactor: optional(isAmount),
  targetRuntime: optional(isAmount),
});
const isRequest: Guard<JobRequest> = objectWith<JobRequest>({
  id: isText,
  queue: isText,
  team: isText,
  spec: isText,
  steps: listOf(isStep),
  schedule: optional(isSchedule),
  policy: isPolicy,
  acceptedAt: isNumber,
});

const PHASES = Object.values(TaskPhase);

/** Values of fields that records of older builds may lack. */
const STEP_DEFAULTS: Omit<Step, "count"> = {
  millicores: 0,
  megabytes: 0,
  accelerators: 0,
  estimate: 0,
  after: [],
  gang: false,
  sameRack: false,
  checkpointing: false,
  longRunning: false,
  label: "",
  dataRack: "",
  maxPerWorker: 0,
  image: "",
  fillsIdleCores: false,
};
const REQUEST_DEFAULTS = { team: "", spec: "", acceptedAt: 0 };

const isRecord = objectWith<{ steps: object[] }>({ steps: listOf(isObject) });

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

/**
 * Returns the request of the job `id` that the value holds. Returns undefined if
 * a field has another type or range, if a step does not only wait for earlier
 * ones, or if there are more tasks than a job may have. Missing fields get
 * defaults.
 */
export function checkJobRequest(
  id: string,
  value: unknown,
): JobRequest | undefined {
  if (!isRecord(value)) return undefined;
  const request = {
    ...REQUEST_DEFAULTS,
    ...value,
    steps: value.steps.map((step) => ({ ...STEP_DEFAULTS, ...step })),
  };
  if (!isRequest(request) || request.id !== id) return undefined;
  const { steps, schedule } = request;
  const inOrder = steps.every((step, index) =>
    step.after.every((earlier) => earlier < index)
  );
  const tasks = steps.reduce((sum, step) => sum + step.count, 0);
  const total = tasks * Math.max(1, schedule?.occurrences ?? 1);
  return steps.length > 0 && inOrder && total <= MAX_TASKS
    ? request
    : undefined;
}

/** Whether the progress can be that of the job: it has the same tasks. */
export function isProgressOf(
  progress: JobProgress,
  request: JobRequest,
): boolean {
  const total = request.schedule?.occurrences ?? 1;
  const { occurrences, nextOccurrence } = progress;
  return isCount(nextOccurrence) && nextOccurrence <= total &&
    occurrences.every(({ index, steps }) =>
      isCount(index) && index < nextOccurrence &&
      steps.length === request.steps.length &&
      steps.every((tasks, step) =>
        tasks.length === request.steps[step]!.count &&
        tasks.every(({ phase, run, failures }) =>
          PHASES.includes(phase) && isCount(run) && isCount(failures)
        )
      )
    );
}
