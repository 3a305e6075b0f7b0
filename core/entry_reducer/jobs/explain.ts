/**
 * Descriptions of jobs for users.
 *
 * @module
 */

import type { JobId } from "@dragonflyledge/model";
import type { EntryState } from "../state.ts";
import type { Gang } from "./state.ts";

/** Describes for users what the job does, waits for or ended with. */
export function explainJob(state: EntryState, id: JobId): string {
  const { jobs } = state;
  const job = jobs.jobs.get(id);
  if (job === undefined) {
    const ended = jobs.ended.get(id);
    if (ended !== undefined) return describeEnd(ended.state, ended.reason);
    const foreign = jobs.foreign.get(id);
    if (foreign === undefined) return "no job with this id is known";
    const { owner } = foreign.record;
    return owner === "" ? "waits for an owner" : `owned by entry ${owner}`;
  }
  if (job.phase === "submitting") return "waits for the store";
  if (job.phase === "claiming") return "is being taken over";
  if (job.phase === "queued") return `queued: ${job.wait}`;
  if (job.phase === "ended") {
    return describeEnd(job.record.state, job.record.reason);
  }
  return job.gang === undefined ? job.wait : describeGang(job.gang);
}

function describeEnd(state: string, reason: string | undefined): string {
  return reason ? `${state}: ${reason}` : state;
}

function describeGang(gang: Gang): string {
  const parts = [...gang.parts.values()];
  if (gang.phase === "reserving") {
    const missing = parts.filter((part) => part.answer !== "reserved");
    const names = missing.slice(0, 3).map((part) => part.worker).join(", ");
    return `starting: waits for ${missing.length} workers (${names})`;
  }
  if (gang.phase === "recording") return "starting: waits for the store";
  if (gang.phase === "running") return `running on ${parts.length} workers`;
  const reason = gang.ending?.reason ?? "";
  if (gang.unseen) return `stopping: ${reason}; waits for the lease to lapse`;
  const left = parts.filter((part) => !part.confirmedStopped).length;
  return `stopping: ${reason}; waits for ${left} workers or their lease`;
}
