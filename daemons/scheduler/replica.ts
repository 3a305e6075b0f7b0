/**
 * Copy of the store's records of jobs, agents, entries and the leader.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import type { Change, Item } from "@dragonflyledge/platform";
import { parseAddress } from "@dragonflyledge/model";
import {
  checkJobRequest,
  createProgress,
  isFinal,
  isProgressOf,
  JobStatus,
  parseStoreKey,
  unpackProgress,
} from "@dragonflyledge/scheduler";
import type { JobProgress, JobRequest } from "@dragonflyledge/scheduler";

/** Records of one job. */
export interface JobCopy {
  request?: JobRequest;
  /** Revision of the request's record; 0 if there is none. */
  revision: number;
  progress?: JobProgress;
  /** Revision of the progress record; 0 if there is none. */
  progressRevision: number;
  cancelled: boolean;
  /** Revision of the cancel's record; 0 if there is none. */
  cancelRevision: number;
}

/** Record of the current leader. */
export interface LeaderCopy {
  /** Name of the entry. */
  name: string;
  revision: number;
}

/** Registration of an agent. */
export interface AgentCopy {
  /** Link address. */
  address: string;
  revision: number;
}

/** Jobs, agents, entries and leader as this process knows them. */
export interface Replica {
  readonly jobs: Map<string, JobCopy>;
  /** Registrations of agents by name. */
  readonly agents: Map<string, AgentCopy>;
  /** Link addresses of entries by name. */
  readonly entries: Map<string, string>;
  leader(): LeaderCopy | undefined;
  /**
   * Replaces all records by a list that was begun at `revision`, but keeps the
   * records of jobs that are newer.
   */
  replace(items: Item[], revision: number): void;
  /** Applies the changes that a watch brought, in order. */
  apply(changes: Change[]): void;
  /**
   * Takes over a record that was read or written beside the watch. Returns false
   * for one that is overtaken: the watch has brought a later revision, and the
   * record is not held, so that it was removed since.
   */
  learn(item: Item): boolean;
  /** Status as shown to callers; undefined for an unknown job. */
  status(id: string): JobStatus | undefined;
  /**
   * Counts the unfinished jobs of a queue of which no task has started. Tasks
   * that were placed but not seen on a worker have not.
   */
  countPending(queue: string): number;
}

/** Encodes a job's request as it is stored. */
export function encodeRequest(request: JobRequest): Uint8Array {
  return encode(request);
}

/** Decodes the stored request of a job; throws if it is none. */
function decodeRequest(id: string, value: Uint8Array): JobRequest {
  const request = checkJobRequest(id, decode(value));
  if (!request) throw new Error("the value is no request of the job");
  return request;
}

/** Decodes an address of a process; throws if it is none. */
function decodeAddress(value: Uint8Array): string {
  const text = Buffer.from(value).toString();
  if (!parseAddress(text)) throw new Error("the value is no address");
  return text;
}

/** Throws an error if the progress can't be that of the job. */
function checkProgress(progress: JobProgress, request: JobRequest): void {
  if (isProgressOf(progress, request)) return;
  throw new Error("the progress has other tasks than the job");
}

/** Creates an empty replica; `onBadItem` gets items that can't be decoded. */
export function createReplica(
  fields: { onBadItem: (key: string, error: unknown) => void },
): Replica {
  const jobs = new Map<string, JobCopy>();
  const agents = new Map<string, AgentCopy>();
  const entries = new Map<string, string>();
  let leader: LeaderCopy | undefined;
  /** Revision up to which the list and the watch have brought all records. */
  let known = 0;

  function findOrAddJob(id: string): JobCopy {
    let job = jobs.get(id);
    if (!job) {
      job = {
        revision: 0,
        progressRevision: 0,
        cancelled: false,
        cancelRevision: 0,
      };
      jobs.set(id, job);
    }
    return job;
  }

  function put(item: Item): void {
    const { kind, id } = parseStoreKey(item.key);
    switch (kind) {
      case "job": {
        const request = decodeRequest(id, item.value);
        const job = findOrAddJob(id);
        job.request = request;
        job.revision = item.revision;
        if (job.progress) checkProgress(job.progress, request);
        return;
      }
      case "cancel": {
        const job = findOrAddJob(id);
        job.cancelled = true;
        job.cancelRevision = item.revision;
        return;
      }
      case "progress": {
        const job = findOrAddJob(id);
        if (item.revision < job.progressRevision) return;
        const progress = unpackProgress(decode(item.value));
        if (job.request) checkProgress(progress, job.request);
        job.progressRevision = item.revision;
        job.progress = progress;
        return;
      }
      case "agent":
        agents.set(id, {
          address: decodeAddress(item.value),
          revision: item.revision,
        });
        return;
      case "entry":
        entries.set(id, decodeAddress(item.value));
        return;
      case "leader":
        leader = {
          name: Buffer.from(item.value).toString(),
          revision: item.revision,
        };
        return;
      case "other":
        return;
    }
  }

  /** Keeps what was learnt of a job after a list had been begun. */
  function keepNewer(id: string, before: JobCopy, revision: number): void {
    if (before.revision > revision) {
      const job = findOrAddJob(id);
      job.request = before.request;
      job.revision = before.revision;
    }
    if (before.cancelRevision > revision) {
      const job = findOrAddJob(id);
      job.cancelled = true;
      job.cancelRevision = before.cancelRevision;
    }
    const job = jobs.get(id);
    if (!job || before.progressRevision <= job.progressRevision) return;
    job.progressRevision = before.progressRevision;
    job.progress = before.progress;
  }

  /**
   * Whether the record was removed after it had been read or written. The list
   * and the watch have brought all records of jobs and cancels up to `known`.
   * Progress has no use without its job, and is compared by its own revision,
   * since a leader does not watch it.
   */
  function isOvertaken(item: Item): boolean {
    const { kind, id } = parseStoreKey(item.key);
    const job = jobs.get(id);
    if (kind === "progress") return !job?.request;
    if (item.revision > known) return false;
    return kind === "cancel" ? !job?.cancelled : !job?.request;
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
    const { status, begun } = job.progress ?? createProgress();
    const stored = status === JobStatus.Running && !begun
      ? JobStatus.Queued
      : status;
    return job.cancelled && !isFinal(stored) ? JobStatus.Cancelled : stored;
  }

  return {
    jobs,
    agents,
    entries,
    leader: () => leader,
    replace: (items, revision) => {
      const before = new Map(jobs);
      jobs.clear();
      agents.clear();
      entries.clear();
      leader = undefined;
      items.forEach(tryPut);
      for (const [id, job] of before) keepNewer(id, job, revision);
      known = revision;
    },
    apply: (changes) => {
      for (const change of changes) {
        if (change.kind === "put") tryPut(change.item);
        else remove(change.key);
        const { revision } = change.kind === "put" ? change.item : change;
        known = Math.max(known, revision);
      }
    },
    learn: (item) => {
      if (isOvertaken(item)) return false;
      tryPut(item);
      return true;
    },
    status,
    countPending: (queue) => {
      let count = 0;
      for (const [id, job] of jobs) {
        if (job.request?.queue !== queue) continue;
        const current = status(id);
        if (current === undefined || isFinal(current)) continue;
        if (!job.progress?.begun) count++;
      }
      return count;
    },
  };
}
