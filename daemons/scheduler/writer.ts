/**
 * Writes the progress of jobs, under the condition that this process leads.
 *
 * @module
 */

import { encode } from "cbor-x";
import type { Log } from "@dragonflyledge/log";
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

/** Changes of one moment are collected for this long. */
const BATCH_DELAY: Milliseconds = 4;
const RETRY_DELAY: Milliseconds = 150;
/** A commit takes 32 entries: the leader's, and two for each job. */
const JOBS_PER_COMMIT = 15;

/** Writes what the scheduler decided. */
export interface ProgressWriter {
  write(job: string): void;
  /** Removes all records of a job. */
  removeJob(job: string): void;
  /** Removes the address of an agent. */
  removeAgent(agent: string): void;
  stop(): void;
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
  onStored: (job: string, version: number, item: Item) => void;
  onDeposed: () => void;
}): ProgressWriter {
  const { store, epoch, timer, log } = fields;
  const waiting = new Set<string>();
  const removals: string[][] = [];
  const revisions = new Map<string, number>();
  let running = false;
  let stopped = false;

  const leaderCondition = { key: LEADER_KEY, revision: epoch };
  const sleep = (delay: Milliseconds) =>
    new Promise<void>((resolve) => {
      timer.after(delay, resolve);
    });

  async function run(): Promise<void> {
    if (running) return;
    running = true;
    await sleep(BATCH_DELAY);
    while (!stopped && waiting.size + removals.length > 0) {
      const done = waiting.size > 0 ? await writeSome() : await removeSome();
      if (!done) await sleep(RETRY_DELAY);
    }
    running = false;
  }

  async function writeSome(): Promise<boolean> {
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
    if (outcome.kind === "conflict") return resolveConflict(outcome.items);
    log.warn("Progress is not stored.", {
      jobs: batch.length,
      reason: outcome.kind === "leaseLost" ? outcome.kind : outcome.reason,
    });
    return false;
  }

  /**
   * An earlier write without an answer may have taken effect. Only the leader
   * writes these records, so that the newest state may replace it.
   */
  function resolveConflict(items: Map<string, Item>): boolean {
    if (items.get(LEADER_KEY)?.revision !== epoch) {
      stopped = true;
      fields.onDeposed();
      return true;
    }
    for (const job of waiting) {
      const item = items.get(progressKey(job));
      if (item) revisions.set(job, item.revision);
    }
    return true;
  }

  async function removeSome(): Promise<boolean> {
    const outcome = await store.commit({
      conditions: [leaderCondition],
      puts: [],
      deletes: removals[0],
    });
    if (outcome.kind !== "committed") return false;
    removals.shift();
    return true;
  }

  function remove(keys: string[]): void {
    removals.push(keys);
    void run();
  }

  return {
    write: (job) => {
      waiting.add(job);
      void run();
    },
    removeJob: (job) => remove([jobKey(job), cancelKey(job), progressKey(job)]),
    removeAgent: (agent) => remove([agentKey(agent)]),
    stop: () => {
      stopped = true;
    },
  };
}
