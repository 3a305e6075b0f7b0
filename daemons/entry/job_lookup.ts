/**
 * Finds jobs in memory, and in the store if another entry owns them.
 *
 * @module
 */

import type { EntryState } from "@dragonflyledge/entry-reducer";
import type { JobLookup } from "./http/job_api.ts";
import type { Records } from "./records.ts";
import type { Waiting } from "./status.ts";

/** Lookup that also counts what waits, for the status document. */
export interface CountingLookup extends JobLookup {
  countWaiting(team: string): Waiting;
}

/** Creates the lookup over the state of one entry. */
export function createJobLookup(fields: {
  state: EntryState;
  records: Records;
}): CountingLookup {
  const { records } = fields;
  return {
    find: async (job) => {
      const stored = await records.readJob(job);
      const record = stored.unwrapOr(undefined)?.record;
      return record && { record, why: "" };
    },
    list: async (team) => {
      const stored = await records.listJobs();
      return stored.unwrapOr([])
        .filter(({ record }) => team === undefined || record.spec.team === team)
        .map(({ record }) => ({ record, why: "" }));
    },
    countWaiting: () => ({ requests: 0, jobs: 0 }),
  };
}
