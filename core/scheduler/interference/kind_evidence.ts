/**
 * Evidence of what slows each kind of tasks down, which decays with time.
 *
 * @module
 */

import { MINUTE } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { createEvidence } from "./evidence.ts";
import type { Evidence } from "./evidence.ts";
import type { FollowedRun } from "./followed_workers.ts";
import { addAmongSiblings, addWithinRun, meanOfRun } from "./observations.ts";
import type { StepMeans } from "./observations.ts";
import { hash } from "./pairs.ts";
import type { Effects } from "./pairs.ts";

/** Time after which an observation counts half as much. */
const EVIDENCE_HALF_LIFE: Milliseconds = 2 * MINUTE;
/** Without new runs, an estimate is made again after this time. */
const MIN_DECAY_TIME: Milliseconds = EVIDENCE_HALF_LIFE / 10;

/** Evidence of all kinds. */
export interface KindEvidence {
  /**
   * Adds what a run showed. Returns the kinds that were beside it for a part of
   * the time only.
   */
  add(run: FollowedRun): number[];
  /**
   * Effects of all kinds on the kind; undefined if they have hardly changed
   * since the last call.
   */
  solve(kind: number, now: Milliseconds): Effects | undefined;
  /** Forgets the kind, whose number is given to another one. */
  clear(kind: number): void;
}

interface EvidenceParts {
  /** From changes within runs, for each half of the workers. */
  halves: [Evidence, Evidence];
  siblings: Evidence;
  decayedAt: Milliseconds;
  /** Whether runs were added since the effects were last solved. */
  changed: boolean;
}

/** Creates evidence without observations. */
export function createKindEvidence(): KindEvidence {
  const evidence = new Map<number, EvidenceParts>();
  const means: StepMeans = new Map();

  function partsOf(kind: number, now: Milliseconds): EvidenceParts {
    const known = evidence.get(kind);
    if (known) return known;
    const created: EvidenceParts = {
      halves: [createEvidence(), createEvidence()],
      siblings: createEvidence(),
      decayedAt: now,
      changed: false,
    };
    evidence.set(kind, created);
    return created;
  }

  return {
    add: (run) => {
      const parts = partsOf(run.kind, run.now);
      const half = parts.halves[hash(run.agent) & 1]!;
      const varied = addWithinRun(half, run.segments);
      const mean = run.comparable ? meanOfRun(run.segments) : undefined;
      const rate = run.rate();
      if (mean && rate) {
        const fields = { means, step: run.step, run: mean, rate };
        addAmongSiblings(parts.siblings, fields);
      }
      parts.changed = true;
      return varied;
    },
    solve: (kind, now) => {
      const parts = evidence.get(kind);
      if (!parts) return undefined;
      const elapsed = now - parts.decayedAt;
      if (!parts.changed && elapsed < MIN_DECAY_TIME) return undefined;
      const factor = 0.5 ** (elapsed / EVIDENCE_HALF_LIFE);
      for (const part of listParts(parts)) part.decay(factor);
      parts.decayedAt = now;
      parts.changed = false;
      return {
        halves: parts.halves.map((half) => half.solve()),
        siblings: parts.siblings.solve(),
      };
    },
    clear: (kind) => {
      evidence.delete(kind);
      means.clear();
      for (const parts of evidence.values()) {
        for (const part of listParts(parts)) part.clear(kind);
      }
    },
  };
}

function listParts({ halves, siblings }: EvidenceParts): Evidence[] {
  return [...halves, siblings];
}
