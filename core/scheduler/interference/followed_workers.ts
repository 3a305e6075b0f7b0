/**
 * Follows the runs of some workers at a time, from list to list.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Belief } from "../rates/unknowns.ts";
import { besideRun, shareKinds } from "./kind_shares.ts";
import type { KindCounts, KindShare } from "./kind_shares.ts";
import type { KindTable } from "./kinds.ts";
import { addGain, createRunGains, joinBlocks } from "./run_gains.ts";
import type { RunGains, Segment } from "./run_gains.ts";

/** Most workers that are followed at a time, which bounds the cost. */
const MAX_WORKERS = 100;
/** Time for which a worker is followed while others wait for their turn. */
const TURN: Milliseconds = 30 * SECOND;
/** Workers whose turn ends in one refresh, which evaluates their runs. */
const TURNS_PER_REFRESH = 2;
/** Blocks after which a long run is evaluated and begun anew. */
const MAX_BLOCKS = 32;
/** Lists that are further apart than this say nothing of what ran between. */
const MAX_LIST_GAP: Milliseconds = 4 * SECOND;
/** Workers that were not listed for this long are forgotten. */
const WORKER_RETENTION: Milliseconds = 10 * SECOND;

/** A run that a worker lists. */
export interface ListedRun {
  key: string;
  kind: string;
  /** Names the step of one occurrence of a job, which siblings share. */
  step: string;
  percent: number;
  /** Whether its gains say how fast it runs: it is not stopping, and ends. */
  measurable: boolean;
  /** Whether its rate compares with that of siblings on other workers. */
  comparable: boolean;
}

/** All runs that a worker lists at one time. */
export interface WorkerList {
  agent: string;
  /** Key of the worker incarnation. */
  worker: string;
  /** When the list was made, on a clock of the agent. */
  at: Milliseconds;
  now: Milliseconds;
  runs: ListedRun[];
  /** Persistent rate of the worker; undefined if it is not known. */
  rate: () => Belief | undefined;
}

/** What a run showed while it was followed. */
export interface FollowedRun {
  agent: string;
  kind: number;
  step: string;
  /** Whether its rate compares with that of siblings on other workers. */
  comparable: boolean;
  /** At least one. */
  segments: Segment[];
  /** Persistent rate of the worker; undefined if it is not known. */
  rate: () => Belief | undefined;
  /** When the worker was last listed before. */
  now: Milliseconds;
}

/** The workers whose runs are followed. */
export interface FollowedWorkers {
  /** Whether a list of the worker is wanted; others wait for their turn. */
  follows(agent: string): boolean;
  /** Takes a list of a worker that is followed. */
  observe(list: WorkerList): void;
  /** Stops following workers that are gone, or whose turn is over. */
  release(now: Milliseconds): void;
  /** Drops all workers, with what their runs have shown so far. */
  clear(): void;
}

interface ActiveRun {
  kind: number;
  step: string;
  comparable: boolean;
  gains: RunGains;
}

/** What is kept of a list until the next one. */
interface Snapshot {
  at: Milliseconds;
  now: Milliseconds;
  counts: KindCounts;
  /** Number of listed runs, and the sum of their percents. */
  listed: number;
  progress: number;
}

interface FollowedWorker {
  agent: string;
  /** Key of the worker incarnation. */
  worker: string;
  /** When the worker was first listed. */
  since: Milliseconds;
  rate: () => Belief | undefined;
  runs: Map<string, ActiveRun>;
  latest: Snapshot;
}

/** Follows no worker yet; `onRun` is told of each run that showed its rate. */
export function createFollowedWorkers(fields: {
  kinds: KindTable;
  onRun: (run: FollowedRun) => void;
}): FollowedWorkers {
  const { kinds, onRun } = fields;
  const workers = new Map<string, FollowedWorker>();
  let workersWait = false;

  /** Ends following a worker, with what its runs have shown so far. */
  function endWorker(worker: FollowedWorker): void {
    for (const key of worker.runs.keys()) endRun(worker, key);
    workers.delete(worker.agent);
  }

  /** Ends following a run, with what it has shown so far. */
  function endRun(worker: FollowedWorker, key: string): void {
    const { kind, step, comparable, gains } = worker.runs.get(key)!;
    worker.runs.delete(key);
    const segments = joinBlocks(gains);
    if (segments.length === 0) return;
    const { agent, rate, latest: { now } } = worker;
    onRun({ agent, kind, step, comparable, segments, rate, now });
  }

  function countKinds({ runs, now }: WorkerList): KindCounts {
    const counts: KindCounts = new Map();
    for (const run of runs) {
      const kind = kinds.see(run.kind, now);
      if (kind === undefined) continue;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return counts;
  }

  function snapshotOf(list: WorkerList): Snapshot {
    return {
      at: list.at,
      now: list.now,
      counts: countKinds(list),
      listed: list.runs.length,
      progress: list.runs.reduce((sum, { percent }) => sum + percent, 0),
    };
  }

  /** The worker of the list, if the list continues the one before. */
  function findContinued(list: WorkerList): FollowedWorker | undefined {
    const known = workers.get(list.agent);
    if (!known) return undefined;
    const gap = list.at - known.latest.at;
    // The clock of an agent that was restarted may have gone back.
    const continues = known.worker === list.worker && gap >= 0 &&
      gap <= MAX_LIST_GAP;
    if (continues) return known;
    endWorker(known);
    return undefined;
  }

  function beginWorker(list: WorkerList, latest: Snapshot): FollowedWorker {
    const { agent, worker, now: since, rate } = list;
    const runs = new Map<string, ActiveRun>();
    const created = { agent, worker, since, rate, runs, latest };
    workers.set(agent, created);
    return created;
  }

  function observe(list: WorkerList): void {
    // A kind that replaces another one clears the workers.
    const latest = snapshotOf(list);
    const known = findContinued(list);
    if (known && isRepeated(known.latest, latest)) return;
    const worker = known ?? beginWorker(list, latest);
    updateRuns(worker, list.runs, {
      time: latest.at - worker.latest.at,
      shares: shareKinds(worker.latest.counts, latest.counts),
    });
    worker.latest = latest;
  }

  /** Updates all runs of a worker by what happened since its last list. */
  function updateRuns(
    worker: FollowedWorker,
    runs: ListedRun[],
    since: { time: Milliseconds; shares: KindShare[] },
  ): void {
    const unlisted = new Set(worker.runs.keys());
    for (const listed of runs) {
      unlisted.delete(listed.key);
      const run = worker.runs.get(listed.key);
      if (!run) beginRun(worker, listed);
      else if (!listed.measurable || listed.percent >= 100) {
        endRun(worker, listed.key);
      } else {
        const beside = besideRun(since.shares, run.kind);
        const { percent } = listed;
        addGain(run.gains, { percent, time: since.time, beside });
        if (run.gains.blocks.length >= MAX_BLOCKS) endRun(worker, listed.key);
      }
    }
    for (const key of unlisted) endRun(worker, key);
  }

  function beginRun(worker: FollowedWorker, listed: ListedRun): void {
    const { key, percent, step, comparable } = listed;
    // A run at 0 has not begun yet; it may wait for its gang.
    if (!listed.measurable || percent <= 0 || percent >= 100) return;
    const kind = kinds.find(listed.kind);
    if (kind === undefined) return;
    const gains = createRunGains(percent);
    worker.runs.set(key, { kind, step, comparable, gains });
  }

  return {
    follows: (agent) => {
      if (workers.has(agent) || workers.size < MAX_WORKERS) return true;
      workersWait = true;
      return false;
    },
    observe,
    release: (now) => {
      let turnsLeft = workersWait ? TURNS_PER_REFRESH : 0;
      for (const worker of workers.values()) {
        const tookTurn = turnsLeft > 0 && now - worker.since > TURN;
        if (tookTurn) turnsLeft--;
        const isGone = now - worker.latest.now > WORKER_RETENTION;
        if (tookTurn || isGone) endWorker(worker);
      }
      workersWait = false;
    },
    clear: () => workers.clear(),
  };
}

/** Whether a list says nothing new: agents repeat the latest of their worker. */
function isRepeated(before: Snapshot, latest: Snapshot): boolean {
  return before.at === latest.at ||
    (before.progress === latest.progress && before.listed === latest.listed);
}
