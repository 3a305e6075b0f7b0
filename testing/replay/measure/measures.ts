/**
 * Computes the figures of one run.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { JobEntry, RequestRecord, RunRecord } from "../record.ts";
import { WARM_UP } from "../replay.ts";
import type { Trace } from "../trace/trace.ts";
import { summarise } from "./distribution.ts";
import type { Distribution } from "./distribution.ts";

/** Requests that run for less are short work. */
export const SHORT_RUN_TIME: Milliseconds = 1000;
/** Requests that run for this long or longer are long work. */
export const LONG_RUN_TIME: Milliseconds = 2000;

/** Figures of one run of one trace. */
export interface Figures {
  urgent: Distribution;
  deferrable: Distribution;
  jobs: Distribution;
  /** Share of urgent requests of the peak that were answered in time. */
  inTime: number;
  /** Share of the slot time of the peak that was spent on answers in time. */
  goodput: number;
  peakWait: Distribution;
  /** Waits of short work. */
  shortWait: Distribution;
  largestGang: number;
  placeable: number;
  /** Longest time until an owner's members had all started. */
  ownerStart: Milliseconds;
  /** Number of requests by outcome. */
  outcomes: Record<string, number>;
  /** Number of jobs by state. */
  jobStates: Record<string, number>;
}

/** Computes the figures of a run. */
export function measure(fields: {
  trace: Trace;
  record: RunRecord;
  slots: number;
}): Figures {
  const { trace, record, slots } = fields;
  const end = record.endedAt;
  const requests = [...record.requests.values()];
  const wanted = requests.filter((each) => !each.callerLeft);
  const jobs = [...record.jobs.values()];
  const [from, to] = trace.peak.map((at) => at + WARM_UP) as [number, number];
  const peak = wanted.filter((each) =>
    each.urgent && each.sentAt >= from && each.sentAt < to
  );
  const samples = record.samples;
  const mean = (values: number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return {
    urgent: completions(wanted.filter((each) => each.urgent), end),
    deferrable: completions(wanted.filter((each) => !each.urgent), end),
    jobs: jobCompletions(jobs, end),
    inTime: peak.length === 0 ? 1 : peak.filter(isInTime).length / peak.length,
    goodput: usefulSlotTime(requests, from, to) / (slots * (to - from)),
    peakWait: summarise(peak.map(waitOf)),
    shortWait: summarise(
      wanted.filter((each) => each.runTime < SHORT_RUN_TIME).map(waitOf),
    ),
    largestGang: mean(samples.map((each) => each.largestGang)),
    placeable: Math.min(1, ...samples.map((each) => each.placeableGuarantees)),
    ownerStart: Math.max(
      0,
      ...jobs.filter((each) => each.owner).map(startTimeOf),
    ),
    outcomes: countBy(requests, outcomeOf),
    jobStates: countBy(jobs, (job) => job.state || "none"),
  };
}

/** Time until the work began, or until the deadline if it never did. */
export function waitOf(request: RequestRecord): Milliseconds {
  const first = request.executions[0];
  return (first?.start ?? request.deadline) - request.sentAt;
}

/** Time until all members of one epoch had started; infinite if none did. */
export function startTimeOf(job: JobEntry): Milliseconds {
  const byEpoch = new Map<number, number[]>();
  for (const memberRun of job.memberRuns) {
    byEpoch.set(memberRun.epoch, [
      ...byEpoch.get(memberRun.epoch) ?? [],
      memberRun.start,
    ]);
  }
  for (const starts of byEpoch.values()) {
    if (starts.length < job.spec.members) continue;
    return Math.max(...starts) - job.submittedAt;
  }
  return Infinity;
}

/** Kind of the first outcome of a request, or why there is none. */
export function outcomeOf(request: RequestRecord): string {
  const outcome = request.outcomes[0]?.outcome;
  if (outcome) return outcome.kind;
  return request.callerLeft ? "left" : "open";
}

function isInTime(request: RequestRecord): boolean {
  const first = request.outcomes[0];
  return first?.outcome.kind === "done" && first.at <= request.deadline;
}

/**
 * Completion times. Work that was not done counts until its deadline or the end
 * of the run, whichever is earlier.
 */
function completions(requests: RequestRecord[], end: Milliseconds) {
  return summarise(requests.map((request) => {
    const first = request.outcomes[0];
    const at = first?.outcome.kind === "done"
      ? first.at
      : Math.min(request.deadline, end);
    return at - request.sentAt;
  }));
}

function jobCompletions(jobs: JobEntry[], end: Milliseconds): Distribution {
  const wanted = jobs.filter((job) =>
    !job.owner && job.cancelledAt === Infinity
  );
  return summarise(
    wanted.map((job) => Math.min(job.endedAt, end) - job.submittedAt),
  );
}

/** Time within the period that endpoints spent on answers in time. */
function usefulSlotTime(
  requests: RequestRecord[],
  from: Milliseconds,
  to: Milliseconds,
): Milliseconds {
  let sum = 0;
  for (const request of requests) {
    if (!isInTime(request)) continue;
    const run = request.executions.find((each) => each.ending === "done");
    if (run === undefined) continue;
    sum += Math.max(0, Math.min(run.end, to) - Math.max(run.start, from));
  }
  return sum;
}

function countBy<Item>(items: Item[], key: (item: Item) => string) {
  const counts: Record<string, number> = {};
  for (const item of items) counts[key(item)] = (counts[key(item)] ?? 0) + 1;
  return counts;
}
