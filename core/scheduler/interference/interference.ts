/**
 * Estimates which kinds of tasks slow each other down on one worker.
 *
 * Load pattern: tasks of some images use what the amounts of a step do not
 * name, such as memory bandwidth, so that tasks of other images run slower
 * beside them than beside others.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { createFollowedWorkers } from "./followed_workers.ts";
import type { FollowedRun, WorkerList } from "./followed_workers.ts";
import { createKindEvidence } from "./kind_evidence.ts";
import { createKindTable } from "./kinds.ts";
import { createPairs } from "./pairs.ts";

/** Kinds that are decided on in one refresh. */
const KINDS_PER_REFRESH = 2;

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

/** Creates the estimates of a fleet of which nothing is known. */
export function createInterference(): Interference {
  const pairs = createPairs();
  const evidence = createKindEvidence();
  const kinds = createKindTable(clearKind);
  const workers = createFollowedWorkers({ kinds, onRun: addRun });
  /** Kind that is decided on next. */
  let next = 0;

  function clearKind(kind: number): void {
    evidence.clear(kind);
    pairs.clear(kind);
    // Runs under way hold shares of the former kind.
    workers.clear();
  }

  function addRun(run: FollowedRun): void {
    for (const beside of evidence.add(run)) {
      pairs.noteVaried({ kind: run.kind, beside }, run.agent);
    }
  }

  function refresh(now: Milliseconds): InterferenceChange[] {
    workers.release(now);
    const changes: InterferenceChange[] = [];
    const last = Math.min(next + KINDS_PER_REFRESH, kinds.size);
    for (; next < last; next++) changes.push(...refreshKind(next, now));
    if (next >= kinds.size) next = 0;
    return changes;
  }

  function refreshKind(kind: number, now: Milliseconds): InterferenceChange[] {
    const effects = evidence.solve(kind, now);
    if (!effects) return [];
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
    follows: workers.follows,
    observe: workers.observe,
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
