/**
 * Estimates which kinds of tasks slow each other down on one worker.
 *
 * Load pattern: tasks of some images use what the amounts of a step do not
 * name, such as memory bandwidth, so that tasks of other images run slower
 * beside them than beside others.
 *
 * @module
 */

import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Belief } from "../rates/unknowns.ts";
import { createEvidence } from "./evidence.ts";
import type { Evidence, SparseRow } from "./evidence.ts";
import { createKindTable } from "./kinds.ts";
import { addAmongSiblings, addWithinRun, meanOfRun } from "./observations.ts";
import type { StepMeans } from "./observations.ts";
import { createPairs, hash } from "./pairs.ts";
import { addGain, createRunGains, joinBlocks } from "./run_gains.ts";
import type { RunGains } from "./run_gains.ts";

/** Time after which an observation counts half as much. */
const EVIDENCE_HALF_LIFE: Milliseconds = 2 * MINUTE;
/** Most workers that are followed at a time, which bounds the cost. */
const MAX_WORKERS = 100;
/** Time for which a worker is followed while others wait for their turn. */
const TURN: Milliseconds = 30 * SECOND;
/** Blocks after which a long run is evaluated and begun anew. */
const MAX_BLOCKS = 32;
/** Workers whose turn ends in one refresh, which evaluates their runs. */
const TURNS_PER_REFRESH = 2;
/** Kinds that are decided on in one refresh. */
const KINDS_PER_REFRESH = 2;
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

/** A pair of kinds that is kept apart from now on, or no longer. */
export interface InterferenceChange {
  kind: string;
  beside: string;
  apart: boolean;
  /** Share of its rate that the kind loses beside the other one. */
  slowdown: number;
  certainty: number;
  runs: number;
  workers: number;
}

/** What is known of the kinds of tasks that slow each other down. */
export interface Interference {
  /** Whether a list of the worker is wanted; others wait for their turn. */
  follows(agent: string): boolean;
  /** Learns from a list of a worker that is followed. */
  observe(list: WorkerList): void;
  /** Decides on some of the kinds that have new evidence. */
  refresh(now: Milliseconds): InterferenceChange[];
  /** Whether any pair is kept apart that the kind belongs to. */
  concerns(kind: string): boolean;
  /**
   * Share of the rate that tasks of the two kinds lose together, as a sum; 0
   * unless they are kept apart.
   */
  lossBetween(kind: string, other: string): number;
  /** Number of pairs that are kept apart. */
  pairCount(): number;
}

interface FollowedRun {
  kind: number;
  step: string;
  comparable: boolean;
  gains: RunGains;
}

interface ListedWorker {
  worker: string;
  /** When the worker was first listed. */
  since: Milliseconds;
  at: Milliseconds;
  now: Milliseconds;
  /** Persistent rate of the worker; undefined if it is not known. */
  rate: () => Belief | undefined;
  /** Number of runs of each kind. */
  counts: Map<number, number>;
  runs: Map<string, FollowedRun>;
  /** Number of listed runs, and the sum of their percents. */
  listed: number;
  progress: number;
}

interface KindEvidence {
  /** From changes within runs, for each half of the workers. */
  halves: [Evidence, Evidence];
  siblings: Evidence;
  decayedAt: Milliseconds;
  changed: boolean;
}

/** Creates the estimates of a fleet of which nothing is known. */
export function createInterference(): Interference {
  const pairs = createPairs();
  const evidence = new Map<number, KindEvidence>();
  const workers = new Map<string, ListedWorker>();
  const means: StepMeans = new Map();
  const kinds = createKindTable(clearKind);
  let workersWait = false;
  let next = 0;

  function clearKind(kind: number): void {
    evidence.delete(kind);
    pairs.clear(kind);
    means.clear();
    for (const each of evidence.values()) {
      for (const part of partsOf(each)) part.clear(kind);
    }
    // Runs under way hold shares of the former kind.
    workers.clear();
  }

  function follows(agent: string): boolean {
    if (workers.has(agent) || workers.size < MAX_WORKERS) return true;
    workersWait = true;
    return false;
  }

  /** Ends following a worker, with what its runs have shown so far. */
  function forgetWorker(agent: string): void {
    const known = workers.get(agent);
    for (const [key, run] of known?.runs ?? []) {
      evaluate(agent, known!, key, run);
    }
    workers.delete(agent);
  }

  function evidenceOf(kind: number, now: Milliseconds): KindEvidence {
    const known = evidence.get(kind);
    if (known) return known;
    const created: KindEvidence = {
      halves: [createEvidence(), createEvidence()],
      siblings: createEvidence(),
      decayedAt: now,
      changed: false,
    };
    evidence.set(kind, created);
    return created;
  }

  function observe(list: WorkerList): void {
    const counts = countKinds(list);
    const progress = list.runs.reduce((sum, { percent }) => sum + percent, 0);
    let known = workers.get(list.agent);
    const gap = known ? list.at - known.at : 0;
    // The clock of an agent that was restarted may have gone back.
    const isFollowed = known?.worker === list.worker && gap >= 0 &&
      gap <= MAX_LIST_GAP;
    if (known && !isFollowed) {
      forgetWorker(list.agent);
      known = undefined;
    }
    // Agents repeat the latest list of their worker.
    const repeated = known?.progress === progress &&
      known.listed === list.runs.length;
    if (known && (repeated || gap === 0)) return;
    const current: ListedWorker = known ?? {
      worker: list.worker,
      since: list.now,
      at: list.at,
      now: list.now,
      rate: list.rate,
      counts,
      runs: new Map(),
      listed: list.runs.length,
      progress,
    };
    workers.set(list.agent, current);
    const shares = known ? shareKinds(known.counts, counts) : [];
    updateRuns({ list, current, shares, gap });
    current.at = list.at;
    current.now = list.now;
    current.counts = counts;
    current.listed = list.runs.length;
    current.progress = progress;
  }

  function countKinds({ runs, now }: WorkerList): Map<number, number> {
    const counts = new Map<number, number>();
    for (const run of runs) {
      const kind = kinds.see(run.kind, now);
      if (kind === undefined) continue;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return counts;
  }

  function updateRuns(fields: {
    list: WorkerList;
    current: ListedWorker;
    shares: KindShare[];
    gap: Milliseconds;
  }): void {
    const { list, current, shares, gap } = fields;
    const unlisted = new Set(current.runs.keys());
    for (const listed of list.runs) {
      unlisted.delete(listed.key);
      const run = current.runs.get(listed.key);
      if (!run) follow(current, listed);
      else if (!listed.measurable || listed.percent >= 100) {
        evaluate(list.agent, current, listed.key, run);
      } else {
        const beside = besideRun(shares, run.kind);
        addGain(run.gains, { percent: listed.percent, time: gap, beside });
        if (run.gains.blocks.length >= MAX_BLOCKS) {
          evaluate(list.agent, current, listed.key, run);
        }
      }
    }
    for (const key of unlisted) {
      evaluate(list.agent, current, key, current.runs.get(key)!);
    }
  }

  function follow(current: ListedWorker, listed: ListedRun): void {
    const { key, percent, step, comparable } = listed;
    // A run at 0 has not begun yet; it may wait for its gang.
    if (!listed.measurable || percent <= 0 || percent >= 100) return;
    const kind = kinds.find(listed.kind);
    if (kind === undefined) return;
    const gains = createRunGains(percent);
    current.runs.set(key, { kind, step, comparable, gains });
  }

  /** Adds what a run showed to the evidence, and ends following it. */
  function evaluate(
    agent: string,
    current: ListedWorker,
    key: string,
    run: FollowedRun,
  ): void {
    current.runs.delete(key);
    const segments = joinBlocks(run.gains);
    if (segments.length === 0) return;
    const known = evidenceOf(run.kind, current.now);
    const half = known.halves[hash(agent) & 1]!;
    const varied = addWithinRun(half, segments);
    for (const beside of varied) {
      pairs.noteVaried({ kind: run.kind, beside }, agent);
    }
    const mean = run.comparable ? meanOfRun(segments) : undefined;
    const rate = current.rate();
    if (mean && rate) {
      const fields = { means, step: run.step, run: mean, rate };
      addAmongSiblings(known.siblings, fields);
    }
    known.changed = true;
  }

  function refresh(now: Milliseconds): InterferenceChange[] {
    let turnsLeft = workersWait ? TURNS_PER_REFRESH : 0;
    for (const [agent, { now: heard, since }] of workers) {
      const tookTurn = turnsLeft > 0 && now - since > TURN;
      if (tookTurn) turnsLeft--;
      if (tookTurn || now - heard > WORKER_RETENTION) forgetWorker(agent);
    }
    workersWait = false;
    const changes: InterferenceChange[] = [];
    const last = Math.min(next + KINDS_PER_REFRESH, kinds.size);
    for (; next < last; next++) changes.push(...refreshKind(next, now));
    if (next >= kinds.size) next = 0;
    return changes;
  }

  function refreshKind(kind: number, now: Milliseconds): InterferenceChange[] {
    const known = evidence.get(kind);
    const elapsed = known ? now - known.decayedAt : 0;
    // Without new runs, an estimate changes by its age alone.
    if (!known || (!known.changed && elapsed < EVIDENCE_HALF_LIFE / 10)) {
      return [];
    }
    const factor = 0.5 ** (elapsed / EVIDENCE_HALF_LIFE);
    for (const part of partsOf(known)) part.decay(factor);
    known.decayedAt = now;
    known.changed = false;
    const effects = {
      halves: known.halves.map((half) => half.solve()),
      siblings: known.siblings.solve(),
    };
    return pairs.decide(kind, effects).map((change) => ({
      ...change,
      kind: kinds.nameOf(change.kind),
      beside: kinds.nameOf(change.beside),
    }));
  }

  function lossBetween(kind: string, other: string): number {
    if (pairs.count === 0) return 0;
    const a = kinds.find(kind);
    const b = kinds.find(other);
    if (a === undefined || b === undefined) return 0;
    const loss = pairs.slowdownOf({ kind: a, beside: b });
    return a === b ? 2 * loss : loss + pairs.slowdownOf({ kind: b, beside: a });
  }

  return {
    follows,
    observe,
    refresh,
    concerns: (name) => {
      const kind = pairs.count > 0 ? kinds.find(name) : undefined;
      if (kind === undefined) return false;
      for (let other = 0; other < kinds.size; other++) {
        if (pairs.slowdownOf({ kind, beside: other }) > 0) return true;
        if (pairs.slowdownOf({ kind: other, beside: kind }) > 0) return true;
      }
      return false;
    },
    lossBetween,
    pairCount: () => pairs.count,
  };
}

function partsOf({ halves, siblings }: KindEvidence): Evidence[] {
  return [...halves, siblings];
}

/** Share of the time between two lists that a kind was on the worker. */
interface KindShare {
  kind: number;
  /** Share of time beside a run of another kind. */
  any: number;
  /** Share of time beside a run of the same kind. */
  several: number;
}

/** Compares two lists of a worker. */
function shareKinds(
  before: Map<number, number>,
  after: Map<number, number>,
): KindShare[] {
  const shares: KindShare[] = [];
  for (const kind of new Set([...before.keys(), ...after.keys()])) {
    const first = before.get(kind) ?? 0;
    const last = after.get(kind) ?? 0;
    const any = shareOf(first > 0, last > 0);
    shares.push({ kind, any, several: shareOf(first > 1, last > 1) });
  }
  return shares;
}

/**
 * Share of the time between two lists. A worker lists at once when a task ends,
 * while a start may fall anywhere between two lists.
 */
function shareOf(before: boolean, after: boolean): number {
  if (before) return 1;
  return after ? 0.5 : 0;
}

/** Kinds beside one run of the kind; it is not beside itself. */
function besideRun(shares: KindShare[], kind: number): SparseRow {
  const row: SparseRow = { kinds: [], values: [] };
  for (const share of shares) {
    const value = share.kind === kind ? share.several : share.any;
    if (value === 0) continue;
    row.kinds.push(share.kind);
    row.values.push(value);
  }
  return row;
}
