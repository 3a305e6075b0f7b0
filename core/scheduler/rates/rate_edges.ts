/**
 * Edges between steps and workers, one for each pair with recent samples.
 *
 * Load pattern: 13,000 running tasks. A tick brings a bounded number of edges
 * up to date, in turn.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { addEvidence } from "./evidence_graph.ts";
import type { EvidenceGraph } from "./evidence_graph.ts";
import type { StepEffect, StepEffects } from "./step_effects.ts";
import { NO_SPREAD } from "./task_noise.ts";
import type { Measurement, Spread, TaskKind, TaskNoise } from "./task_noise.ts";
import type { Unknown } from "./unknowns.ts";

/** An edge without new samples for this long is summed up in its ends. */
const FOLD_DELAY: Milliseconds = 3 * SECOND;
/** Edges that are brought up to date at a tick, at most. */
const EDGES_PER_TICK = 3000;
/** Passes over all edges at a tick, at most. */
const PASSES_PER_TICK = 4;

/** Gain per second of one run: its logarithm, and what measuring adds. */
export interface Sample extends Measurement {
  /** Set once the model has the sample. */
  edge?: Edge;
}

/** Runs of one step on one worker. */
export interface Edge {
  /** Its number in the graph. */
  number: number;
  step: StepEffect;
  worker: Unknown;
  kind: TaskKind;
  samples: Sample[];
  /** How much the samples differ. */
  spread: Spread;
  changed: boolean;
  updatedAt: Milliseconds;
  /** Whether its samples are summed up or dropped. */
  closed: boolean;
}

/** The ends of an edge. */
export interface EdgeEnds {
  step: StepEffect;
  worker: Unknown;
  kind: TaskKind;
}

/** The edges of one graph. */
export interface RateEdges {
  /**
   * Adds a sample, or takes note that it has changed. `ends` is asked for
   * samples that are new.
   */
  note(sample: Sample, now: Milliseconds, ends: () => EdgeEnds): void;
  /** Drops the edges of the worker, with what they told. */
  drop(worker: Unknown): void;
  /** Brings some of the edges up to date. */
  advance(now: Milliseconds): void;
}

/** Creates the edges of a graph that has none. */
export function createRateEdges(fields: {
  graph: EvidenceGraph;
  steps: StepEffects;
  noise: TaskNoise;
}): RateEdges {
  const { graph, steps, noise } = fields;
  const edgesOf = new Map<Unknown, Map<Unknown, Edge>>();
  let edges: Edge[] = [];
  /** Position of the edge that is brought up to date next. */
  let cursor = 0;

  function edgeBetween(ends: EdgeEnds, now: Milliseconds): Edge {
    const { step, worker } = ends;
    const known = edgesOf.get(worker)?.get(step);
    if (known) return known;
    const created: Edge = {
      ...ends,
      number: graph.addEdge(step.node, worker.node),
      samples: [],
      spread: NO_SPREAD,
      changed: true,
      updatedAt: now,
      closed: false,
    };
    edges.push(created);
    step.edges++;
    worker.edges++;
    const byStep = edgesOf.get(worker) ?? new Map<Unknown, Edge>();
    edgesOf.set(worker, byStep.set(step, created));
    return created;
  }

  function close(edge: Edge): void {
    edge.closed = true;
    graph.removeEdge(edge.number);
    edge.step.edges--;
    edge.worker.edges--;
    const byStep = edgesOf.get(edge.worker);
    byStep?.delete(edge.step);
    if (byStep?.size === 0) edgesOf.delete(edge.worker);
  }

  /** Keeps what the edge told as evidence of its ends. */
  function fold(edge: Edge): void {
    // The sums of both ends hold what the edge told already.
    addEvidence(edge.step.past, graph.toldBy(edge.number, 0));
    addEvidence(edge.worker.past, graph.toldBy(edge.number, 1));
    close(edge);
  }

  /** Combines the samples of an edge that has changed. */
  function update(edge: Edge): void {
    const { mean, variance } = noise.summarize(edge.kind, edge.samples);
    steps.checkEstimate(edge.step, mean);
    graph.measure(edge.number, mean, variance);
    edge.changed = false;
    edge.spread = noise.update(edge.kind, edge.spread, edge.samples);
  }

  /** Removes the edge at the position; the last one takes its place. */
  function removeAt(position: number): void {
    const last = edges.pop()!;
    if (position < edges.length) edges[position] = last;
  }

  return {
    note: (sample, now, ends) => {
      if (sample.edge?.closed) return;
      const edge = sample.edge ?? edgeBetween(ends(), now);
      if (!sample.edge) edge.samples.push(sample);
      sample.edge = edge;
      edge.changed = true;
      edge.updatedAt = now;
    },
    drop: (worker) => {
      for (const edge of [...edgesOf.get(worker)?.values() ?? []]) {
        graph.retract(edge.number);
        close(edge);
      }
      edges = edges.filter(({ closed }) => !closed);
    },
    advance: (now) => {
      const total = Math.min(EDGES_PER_TICK, PASSES_PER_TICK * edges.length);
      for (let count = 0; count < total && edges.length > 0; count++) {
        if (cursor >= edges.length) cursor = 0;
        const edge = edges[cursor]!;
        if (now - edge.updatedAt < FOLD_DELAY) {
          if (edge.changed) update(edge);
          graph.exchange(edge.number);
          cursor++;
        } else {
          fold(edge);
          removeAt(cursor);
        }
      }
    },
  };
}
