/**
 * Writes the progress of jobs, on the condition that this process still leads.
 *
 * @module
 */

import { encode } from "cbor-x";
import type { Log } from "@dragonflyledge/log";
import { sleep } from "@dragonflyledge/model";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import type { Item, KeyValue } from "@dragonflyledge/platform";
import {
  agentKey,
  cancelKey,
  jobKey,
  LEADER_KEY,
  packProgress,
  progressKey,
} from "@dragonflyledge/scheduler";
import type { JobProgress } from "@dragonflyledge/scheduler";

/** Changes are collected for this long before they are committed together. */
const BATCH_DELAY: Milliseconds = 4;
const RETRY_DELAY: Milliseconds = 150;
/** A commit takes 32 entries: one for the leader key and two for each job. */
const JOBS_PER_COMMIT = 15;

/** Writes and removes records; each write is retried until it succeeds. */
export interface ProgressWriter {
  /** Writes the newest progress of a job. */
  write(job: string): void;
  /** Removes all records of a job whose request has this revision. */
  removeJob(job: string, revision: number): void;
  /** Removes the address of an agent that has this revision. */
  removeAgent(agent: string, revision: number): void;
  stop(): void;
}

/**
 * Records that are removed together. One without an answer may take effect
 * late, so that the first record must still have the revision that was known.
 */
interface Removal {
  keys: [string, ...string[]];
  revision: number;
}

/** Creates a writer for one term of leadership. */
export function createProgressWriter(fields: {
  store: KeyValue;
  epoch: number;
  timer: Timer;
  log: Log;
  snapshot: (
    job: string,
  ) => { version: number; progress: JobProgress } | undefined;
  /** Revision of the job's progress record; 0 if there is none. */
  revision: (job: string) => number;
  /** Called when the store holds `version` of the job's progress as `item`. */
  onStored: (job: string, version: number, item: Item) => void;
  /** Called when a commit finds another leader; the writer has stopped then. */
  onDeposed: () => void;
}): ProgressWriter {
  const { store, epoch, timer, log } = fields;
  const waiting = new Set<string>();
  const pendingRemovals: Removal[] = [];
  const revisions = new Map<string, number>();
  let running = false;
  let stopped = false;

  const leaderCondition = { key: LEADER_KEY, revision: epoch };

  async function run(): Promise<void> {
    if (running) return;
    running = true;
    await sleep({ timer, delay: BATCH_DELAY });
    while (!stopped && waiting.size + pendingRemovals.length > 0) {
      const done = waiting.size > 0 ? await writeBatch() : await removeNext();
      if (!done) await sleep({ timer, delay: RETRY_DELAY });
    }
    running = false;
  }

  /** Commits the next jobs; returns false if it is to be retried. */
  async function writeBatch(): Promise<boolean> {
    const batch = [...waiting].slice(0, JOBS_PER_COMMIT).flatMap((job) => {
      const snapshot = fields.snapshot(job);
      waiting.delete(job);
      if (!snapshot) return [];
      const value = encode(packProgress(snapshot.progress));
      const revision = revisions.get(job) ?? fields.revision(job);
      return [{ job, version: snapshot.version, value, revision }];
    });
    if (batch.length === 0) return true;
    const outcome = await store.commit({
      conditions: [
        leaderCondition,
        ...batch.map(({ job, revision }) => ({
          key: progressKey(job),
          revision,
        })),
      ],
      puts: batch.map(({ job, value }) => ({ key: progressKey(job), value })),
    });
    if (stopped) return true;
    if (outcome.kind === "committed") {
      for (const { job, version, value } of batch) {
        revisions.set(job, outcome.revision);
        const key = progressKey(job);
        const { revision } = outcome;
        fields.onStored(job, version, { key, value, revision });
      }
      return true;
    }
    for (const { job } of batch) waiting.add(job);
    if (outcome.kind === "conflict") {
      return resolveConflict(batch.map(({ job }) => job), outcome.items);
    }
    log.warn("The progress of jobs could not be stored.", {
      jobs: batch.length,
      reason: outcome.kind === "leaseLost" ? outcome.kind : outcome.reason,
    });
    return false;
  }

  /**
   * Adopts the revisions found by a commit that conflicted. An earlier write
   * without an answer may have taken effect; since only the leader writes these
   * records, its newest state may replace it. The store may list no item where
   * there is no record.
   */
  function resolveConflict(jobs: string[], items: Map<string, Item>): boolean {
    if (notesSuccessor(items)) return true;
    for (const job of jobs) {
      const found = items.get(progressKey(job))?.revision ?? 0;
      log.info("The progress of a job was written before.", {
        job,
        revision: found,
        expected: revisions.get(job) ?? fields.revision(job),
      });
      revisions.set(job, found);
    }
    return true;
  }

  /** Commits the next removal; returns false if it is to be retried. */
  async function removeNext(): Promise<boolean> {
    const { keys, revision } = pendingRemovals[0]!;
    const [key] = keys;
    const outcome = await store.commit({
      conditions: [leaderCondition, { key, revision }],
      puts: [],
      deletes: keys,
    });
    if (stopped) return true;
    if (outcome.kind === "conflict") {
      if (notesSuccessor(outcome.items)) return true;
      const found = outcome.items.get(key)?.revision ?? 0;
      log.info("Removal not made.", { key, expected: revision, found });
    } else if (outcome.kind !== "committed") return false;
    pendingRemovals.shift();
    return true;
  }

  /** Ends all writes if a conflict shows another leader. */
  function notesSuccessor(items: Map<string, Item>): boolean {
    if (items.get(LEADER_KEY)?.revision === epoch) return false;
    stopped = true;
    fields.onDeposed();
    return true;
  }

  function remove(removal: Removal): void {
    pendingRemovals.push(removal);
    void run();
  }

  return {
    write: (job) => {
      waiting.add(job);
      void run();
    },
    removeJob: (job, revision) =>
      remove({
        keys: [jobKey(job), cancelKey(job), progressKey(job)],
        revision,
      }),
    removeAgent: (agent, revision) =>
      remove({ keys: [agentKey(agent)], revision }),
    stop: () => {
      stopped = true;
    },
  };
}
