/**
 * Looks up jobs in the memory of this entry, and in the store for jobs that
 * other entries own.
 *
 * @module
 */

import { explainJob } from "@dragonflyledge/entry-reducer";
import type { EntryState } from "@dragonflyledge/entry-reducer";
import { JobState } from "@dragonflyledge/model";
import type { JobId, JobRecord, TeamName } from "@dragonflyledge/model";
import type { JobLookup, JobView } from "./http/job_api.ts";
import type { Records } from "./records.ts";
import type { WaitingCounts } from "./status.ts";

/** Job lookup that also counts waiting work, for the status document. */
export interface CountingLookup extends JobLookup {
  /** Counts the queued jobs and the open requests of a team. */
  countWaiting(team: TeamName): WaitingCounts;
}

/** Creates the lookup over the state and the records of one entry. */
export function createJobLookup(fields: {
  state: EntryState;
  records: Records;
}): CountingLookup {
  const { state, records } = fields;

  const view = (record: JobRecord): JobView => ({
    record,
    why: explainJob(state, record.id),
  });

  /**
   * Finds a job of this entry, whose record may be newer than the stored one.
   */
  function findOwn(job: JobId): JobRecord | undefined {
    return state.jobs.jobs.get(job)?.record ?? state.jobs.ended.get(job);
  }

  async function find(job: JobId): Promise<JobView | undefined> {
    const own = findOwn(job);
    if (own) return view(own);
    const stored = await records.readJob(job);
    const record = stored.isOk()
      ? stored.value?.record
      : state.jobs.foreign.get(job)?.record;
    return record && view(record);
  }

  async function list(team: TeamName | undefined): Promise<JobView[]> {
    const known = new Map<JobId, JobRecord>();
    for (const [id, { record }] of state.jobs.foreign) known.set(id, record);
    const stored = await records.listJobs();
    for (const { record } of stored.unwrapOr([])) known.set(record.id, record);
    for (const [id, record] of state.jobs.ended) known.set(id, record);
    for (const [id, { record }] of state.jobs.jobs) known.set(id, record);
    return [...known.values()]
      .filter((record) => team === undefined || record.spec.team === team)
      .sort((left, right) => left.submitted < right.submitted ? -1 : 1)
      .map(view);
  }

  function countWaiting(team: TeamName): WaitingCounts {
    const own = [...state.jobs.jobs.values()].map((job) => job.record);
    const foreign = [...state.jobs.foreign.values()].map((job) => job.record);
    const jobs =
      [...own, ...foreign].filter((record) =>
        record.spec.team === team && record.state === JobState.Queued
      ).length;
    const requests = [...state.requests.open.values()]
      .filter((request) => request.request.team === team).length;
    return { requests, jobs };
  }

  return { find, list, countWaiting };
}
