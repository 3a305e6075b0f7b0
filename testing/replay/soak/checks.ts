/**
 * Checks of invariants over the record of a whole run.
 *
 * @module
 */

import {
  GANG_LEASE,
  Invariant,
  RECLAIM_GRACE,
  SECOND,
  URGENT_START_TARGET,
} from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { startTimeOf } from "../measure/measures.ts";
import type { JobEntry, RequestRecord, RunRecord } from "../record.ts";

/** A violation of an invariant. */
export interface Violation {
  invariant: string;
  /** Id of the request, job or process; empty if none is known. */
  subject: string;
  detail: string;
}

/** Checks the record of a whole run and returns the violations found. */
export type Check = (record: RunRecord) => Violation[];

/** Time after its deadline within which a request must have its outcome. */
export const REQUEST_BOUND: Milliseconds = 5 * SECOND;
/**
 * Longest time for which a gang may run with only some of its members: until
 * its lease lapses, and then until the members have stopped.
 */
export const GANG_BOUND: Milliseconds = GANG_LEASE + RECLAIM_GRACE + SECOND;

const END_STATES = ["succeeded", "failed", "cancelled", "unknown"];

/**
 * A request that is not idempotent runs at most once, and so do all requests
 * with the same idempotency key together.
 */
export const checkAtMostOnce: Check = (record) => {
  const groups = new Map<string, RequestRecord[]>();
  for (const request of record.requests.values()) {
    if (request.idempotent) continue;
    const key = request.idempotencyKey ?? request.id;
    groups.set(key, [...groups.get(key) ?? [], request]);
  }
  return [...groups.values()].flatMap((requests) => {
    const runs = requests.flatMap((each) => each.executions);
    if (runs.length <= 1) return [];
    const where = runs.map((run) => `${run.request} on ${run.worker}`);
    return violation(
      Invariant.AtMostOnce,
      requests[0]!.id,
      `ran ${runs.length} times: ${where.join(", ")}`,
    );
  });
};

/**
 * A request or job that was reported as not run did not run, neither before the
 * report nor after it.
 */
export const checkNotRun: Check = (record) => [
  ...[...record.requests.values()].flatMap((request) => {
    const reported = request.outcomes.some(({ outcome }) =>
      outcome.kind === "not-run"
    );
    if (!reported || request.executions.length === 0) return [];
    const { worker, start } = request.executions[0]!;
    const detail = `ran on ${worker} at ${start.toFixed(1)}`;
    return violation(Invariant.NotRunTrue, request.id, detail);
  }),
  ...[...record.jobs.values()].flatMap((job) => {
    const reported = job.answer?.kind === "not-run";
    if (!reported || job.memberRuns.length === 0) return [];
    const detail = `started on ${job.memberRuns[0]!.worker}`;
    return violation(Invariant.NotRunTrue, job.id, detail);
  }),
];

/** Each request has exactly one outcome, or none if it is excused. */
export const checkOneOutcome: Check = (record) =>
  [...record.requests.values()].flatMap((request) => {
    const count = request.outcomes.length;
    if (count === 1 || (count === 0 && isExcused(request))) return [];
    return violation(Invariant.OneOutcome, request.id, `${count} outcomes`);
  });

/**
 * Each request ends within `REQUEST_BOUND` after its deadline, plus the time
 * for which its entry was paused.
 */
export const checkDeadlines: Check = (record) =>
  [...record.requests.values()].flatMap((request) => {
    const pause = record.pauses.get(request.entry) ?? 0;
    const limit = request.deadline + REQUEST_BOUND + pause;
    const at = request.outcomes[0]?.at ?? record.endedAt;
    const excused = request.outcomes.length === 0 && isExcused(request);
    if (at <= limit || excused) return [];
    const detail = `ended ${(at - request.deadline).toFixed(0)} ms late`;
    return violation(Invariant.NoEndlessWait, request.id, detail);
  });

/**
 * No gang runs with only some of its members for longer than `GANG_BOUND`, no
 * member runs twice at once, and no job that is not idempotent starts again.
 */
export const checkGangs: Check = (record) =>
  [...record.jobs.values()].flatMap((job) => [
    ...checkPartialGang(job, record.endedAt),
    ...checkOverlappingRuns(job),
    ...checkRestarted(job),
  ]);

/**
 * An accepted job is in the store, ends, and succeeds only if all its members
 * finished. The same holds for a job that is in the store although its
 * submission was answered with `unknown`.
 */
export const checkJobs: Check = (record) =>
  [...record.jobs.values()].flatMap((job) => {
    const open = job.answer?.kind === "unknown" && job.state !== "";
    if (job.answer?.kind !== "accepted" && !open) return [];
    if (job.state === "") {
      return violation(Invariant.NoLostJob, job.id, "not in the store");
    }
    if (!END_STATES.includes(job.state)) {
      const detail = `still ${job.state} at the end`;
      return violation(Invariant.NoEndlessWait, job.id, detail);
    }
    if (job.state !== "succeeded" || allMembersFinished(job)) return [];
    const detail = "succeeded, but not all members finished";
    return violation(Invariant.GangWhole, job.id, detail);
  });

/** No process goes back to an older configuration. */
export const checkVersions: Check = (record) =>
  [...record.versions].flatMap(([process, versions]) => {
    const back = versions.findIndex((version, index) =>
      index > 0 && version < versions[index - 1]!
    );
    if (back < 0) return [];
    const detail = `version ${versions[back - 1]} became ${versions[back]}`;
    return violation(Invariant.VersionForward, process, detail);
  });

/** Jobs that claim a guarantee after all faults have ended start in time. */
export const checkOwners: Check = (record) =>
  [...record.jobs.values()].flatMap((job) => {
    if (!job.owner) return [];
    const time = startTimeOf(job);
    if (time <= URGENT_START_TARGET) return [];
    const detail = `its owner's work started after ${time} ms`;
    return violation(Invariant.GuaranteeReclaimable, job.id, detail);
  });

/**
 * Reports the violations that the fakes recorded during the run, which concern
 * the capacity of workers and the answers to callers.
 */
export const checkRecordedViolations: Check = (record) =>
  record.faults.flatMap((fault) => {
    const [invariant = "", detail = ""] = fault.split(/: (.*)/s);
    const subject = /\b[rj]\d+\b/.exec(detail)?.[0] ?? "";
    return violation(invariant, subject, detail);
  });

/** All checks. */
export const checks: readonly Check[] = [
  checkAtMostOnce,
  checkNotRun,
  checkOneOutcome,
  checkDeadlines,
  checkGangs,
  checkJobs,
  checkVersions,
  checkOwners,
  checkRecordedViolations,
];

/**
 * Tells whether a request may lack an outcome: its caller left, or its entry
 * ended before the request arrived or was answered.
 */
function isExcused(request: RequestRecord): boolean {
  return request.entryDied || request.callerLeft || !request.delivered;
}

function violation(
  invariant: string,
  subject: string,
  detail: string,
): Violation[] {
  return [{ invariant, subject, detail }];
}

/** Finds a time for which a gang ran too long with only some members. */
function checkPartialGang(job: JobEntry, end: Milliseconds): Violation[] {
  const changes = job.memberRuns
    .flatMap((memberRun) =>
      [[memberRun.start, 1], [Math.min(memberRun.end, end), -1]] as const
    )
    .sort((left, right) => left[0] - right[0] || left[1] - right[1]);
  let running = 0;
  let since: Milliseconds | undefined;
  for (const [at, change] of changes) {
    running += change;
    const partial = running > 0 && running < job.spec.members;
    if (partial) since ??= at;
    else if (since !== undefined) {
      if (at - since > GANG_BOUND) {
        const detail = `partial from ${since.toFixed(0)} to ${at.toFixed(0)}`;
        return violation(Invariant.GangWhole, job.id, detail);
      }
      since = undefined;
    }
  }
  return [];
}

/** Finds a member that ran twice at once. */
function checkOverlappingRuns(job: JobEntry): Violation[] {
  const last = new Map<number, Milliseconds>();
  const sorted = job.memberRuns.toSorted((left, right) =>
    left.start - right.start
  );
  for (const memberRun of sorted) {
    if (memberRun.start < (last.get(memberRun.member) ?? -Infinity)) {
      const detail = `member ${memberRun.member} runs twice from ` +
        `${memberRun.start.toFixed(0)} on ${memberRun.worker}`;
      return violation(Invariant.GangWhole, job.id, detail);
    }
    last.set(memberRun.member, memberRun.end);
  }
  return [];
}

/** Finds a job that is not idempotent and was started in several epochs. */
function checkRestarted(job: JobEntry): Violation[] {
  const epochs = new Set(job.memberRuns.map((memberRun) => memberRun.epoch));
  if (job.spec.idempotent || epochs.size <= 1) return [];
  const detail = `was started in epochs ${[...epochs].join(", ")}`;
  return violation(Invariant.AtMostOnce, job.id, detail);
}

/** Tells whether all members of a job finished in the same epoch. */
function allMembersFinished(job: JobEntry): boolean {
  const finished = new Map<number, Set<number>>();
  for (const memberRun of job.memberRuns) {
    if (memberRun.ending !== "finished") continue;
    const members = finished.get(memberRun.epoch) ?? new Set();
    finished.set(memberRun.epoch, members.add(memberRun.member));
  }
  return [...finished.values()].some((members) =>
    members.size === job.spec.members
  );
}
