/**
 * Model of a leader's writer: stores the progress of jobs, one commit after the
 * other, until the store names another leader.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { packProgress } from "@dragonflyledge/scheduler";
import type { ProgressRow, Scheduler } from "@dragonflyledge/scheduler";
import type { Process } from "./process.ts";
import type { Commit, CommitOutcome, StoreModel } from "./store.ts";

const BATCH_DELAY: Milliseconds = 4;
const RETRY_DELAY: Milliseconds = 150;

/** Writes the progress of jobs during one term. */
export interface WriterModel {
  write(job: string): void;
  removeJob(job: string): void;
  removeAgent(agent: string): void;
  stop(): void;
}

/** Creates the writer of a term. */
export function createWriterModel(fields: {
  store: StoreModel;
  process: Process;
  epoch: number;
  snapshot: Scheduler["snapshot"];
  onStored: (job: string, version: number) => void;
  onDeposed: () => void;
}): WriterModel {
  const { store, process, epoch } = fields;
  const waiting = new Set<string>();
  const removals: Pick<Commit, "removedJobs" | "removedAgents">[] = [];
  const revisions = new Map<string, number>();
  let running = false;
  let stopped = false;

  function start(): void {
    if (running) return;
    running = true;
    process.after(BATCH_DELAY, next);
  }

  function next(): void {
    if (stopped) return;
    if (waiting.size > 0) return writeBatch();
    if (removals.length > 0) return removeNext();
    running = false;
  }

  function commit(
    commit: Omit<Commit, "epoch">,
    done: (outcome: CommitOutcome) => void,
  ): void {
    store.commit({ ...commit, epoch }, (outcome) =>
      process.run(() => {
        if (!stopped) done(outcome);
      }));
  }

  function writeBatch(): void {
    const batch = [...waiting].flatMap((job) => {
      const snapshot = fields.snapshot(job);
      if (!snapshot) return [];
      const { version } = snapshot;
      const progress = clone(packProgress(snapshot.progress));
      const revision = revisions.get(job) ?? store.jobs.get(job)?.revision ?? 0;
      return [{ job, version, revision, progress }];
    });
    waiting.clear();
    commit({ puts: batch }, (outcome) => {
      if (outcome.kind === "committed") {
        for (const { job, version } of batch) {
          revisions.set(job, outcome.revision);
          fields.onStored(job, version);
        }
        return next();
      }
      for (const { job } of batch) waiting.add(job);
      if (outcome.kind === "unknown") return process.after(RETRY_DELAY, next);
      if (outcome.epoch !== epoch) return depose();
      for (const [job, revision] of outcome.revisions) {
        revisions.set(job, revision);
      }
      next();
    });
  }

  function depose(): void {
    stopped = true;
    fields.onDeposed();
  }

  function removeNext(): void {
    commit({ puts: [], ...removals[0] }, (outcome) => {
      if (outcome.kind === "committed") removals.shift();
      if (outcome.kind === "committed") next();
      else process.after(RETRY_DELAY, next);
    });
  }

  return {
    write: (job) => {
      waiting.add(job);
      start();
    },
    removeJob: (job) => {
      removals.push({ removedJobs: [job] });
      start();
    },
    removeAgent: (agent) => {
      removals.push({ removedAgents: [agent] });
      start();
    },
    stop: () => {
      stopped = true;
    },
  };
}

/** Copies a row as its encoding would. */
function clone(row: ProgressRow): ProgressRow {
  return JSON.parse(JSON.stringify(row), (_, value) => value ?? undefined);
}
