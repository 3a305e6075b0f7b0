/**
 * Copy of what the store holds of jobs, agents and the leader.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import type { Change, Item } from "@dragonflyledge/platform";
import {
  hasBegun,
  isFinal,
  JobStatus,
  parseStoreKey,
  unpackProgress,
} from "@dragonflyledge/scheduler";
import type {
  JobProgress,
  JobRequest,
  ProgressRow,
} from "@dragonflyledge/scheduler";

/** What is known of one job. */
export interface JobCopy {
  request?: JobRequest;
  progress?: JobProgress;
  /** Revision of the progress record; 0 if there is none. */
  progressRevision: number;
  cancelled: boolean;
}

/** Holder of the leadership. */
export interface LeaderCopy {
  name: string;
  revision: number;
}

/** Jobs, agents and leader as this process knows them. */
export interface Replica {
  readonly jobs: Map<string, JobCopy>;
  /** Link addresses of agents by name. */
  readonly agents: Map<string, string>;
  /** Link addresses of entries by name. */
  readonly entries: Map<string, string>;
  leader(): LeaderCopy | undefined;
  replace(items: Item[]): void;
  apply(changes: Change[]): void;
  /** Status that callers are told; undefined for an unknown job. */
  status(id: string): JobStatus | undefined;
  /** Jobs of a queue of which no task has started. */
  countPending(queue: string): number;
}

/** Encodes a request for the store. */
export function encodeRequest(request: JobRequest): Uint8Array {
  return encode(request);
}

/** Creates an empty replica. */
export function createReplica(
  fields: { onBadItem: (key: string, error: unknown) => void },
): Replica {
  const jobs = new Map<string, JobCopy>();
  const agents = new Map<string, string>();
  const entries = new Map<string, string>();
  let leader: LeaderCopy | undefined;

  function jobOf(id: string): JobCopy {
    let job = jobs.get(id);
    if (!job) {
      job = { progressRevision: 0, cancelled: false };
      jobs.set(id, job);
    }
    return job;
  }

  function put(item: Item): void {
    const { kind, id } = parseStoreKey(item.key);
    const text = () => Buffer.from(item.value).toString();
    switch (kind) {
      case "job":
        jobOf(id).request = decode(item.value) as JobRequest;
        return;
      case "cancel":
        jobOf(id).cancelled = true;
        return;
      case "progress": {
        const job = jobOf(id);
        if (item.revision < job.progressRevision) return;
        job.progressRevision = item.revision;
        job.progress = unpackProgress(decode(item.value) as ProgressRow);
        return;
      }
      case "agent":
        agents.set(id, text());
        return;
      case "entry":
        entries.set(id, text());
        return;
      case "leader":
        leader = { name: text(), revision: item.revision };
        return;
      case "other":
        return;
    }
  }

  /** A write may have been confirmed while the list was on its way. */
  function keepNewer(job: JobCopy, before: JobCopy | undefined): void {
    if (!before || before.progressRevision <= job.progressRevision) return;
    job.progressRevision = before.progressRevision;
    job.progress = before.progress;
  }

  function tryPut(item: Item): void {
    try {
      put(item);
    } catch (error) {
      fields.onBadItem(item.key, error);
    }
  }

  function remove(key: string): void {
    const { kind, id } = parseStoreKey(key);
    if (kind === "job") jobs.delete(id);
    else if (kind === "cancel" && !jobs.get(id)?.request) jobs.delete(id);
    else if (kind === "agent") agents.delete(id);
    else if (kind === "entry") entries.delete(id);
    else if (kind === "leader") leader = undefined;
  }

  function status(id: string): JobStatus | undefined {
    const job = jobs.get(id);
    if (!job?.request) return undefined;
    const told = job.progress?.status ?? JobStatus.Queued;
    return job.cancelled && !isFinal(told) ? JobStatus.Cancelled : told;
  }

  return {
    jobs,
    agents,
    entries,
    leader: () => leader,
    replace: (items) => {
      const before = new Map(jobs);
      jobs.clear();
      agents.clear();
      entries.clear();
      leader = undefined;
      items.forEach(tryPut);
      for (const [id, job] of jobs) keepNewer(job, before.get(id));
    },
    apply: (changes) => {
      for (const change of changes) {
        if (change.kind === "put") tryPut(change.item);
        else remove(change.key);
      }
    },
    status,
    countPending: (queue) => {
      let count = 0;
      for (const [id, job] of jobs) {
        if (job.request?.queue !== queue) continue;
        const told = status(id);
        if (told === undefined || isFinal(told)) continue;
        if (!job.progress || !hasBegun(job.progress)) count++;
      }
      return count;
    },
  };
}
