/**
 * Separates how fast the workers are from how large the tasks are.
 *
 * The logarithm of a task's gain per second is the sum of an effect of its
 * step, an effect of its worker and noise, all normally distributed. Each pair
 * of a step and a worker is an edge between two unknowns. Messages along the
 * edges (Gaussian belief propagation) carry what all other edges tell, so that
 * neither a step on slow workers nor a worker with large tasks misleads, and a
 * step that is on one worker only counts no more than its estimate.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "../job.ts";
import { createEvidenceGraph } from "./evidence_graph.ts";
import { createRateEdges } from "./rate_edges.ts";
import type { Sample } from "./rate_edges.ts";
import { createStepEffects } from "./step_effects.ts";
import { createTaskNoise } from "./task_noise.ts";
import { createUnknowns } from "./unknowns.ts";
import type { Belief } from "./unknowns.ts";
import { createWorkerEffects } from "./worker_effects.ts";

/** Time in which what ended runs have told loses a third of its weight. */
const MEMORY: Milliseconds = 600 * SECOND;
/** Interval of removing unused steps and of forgetting. */
const UPKEEP_INTERVAL: Milliseconds = SECOND;

/** Estimates the effects of all steps and workers. */
export interface RateModel {
  /** Adds the sample of a run, or takes note that it has changed. */
  note(fields: {
    sample: Sample;
    step: Step;
    service: string;
    agent: string;
    now: Milliseconds;
  }): void;
  /** Drops the samples of runs that are at work on the worker. */
  dropSamples(agent: string): void;
  /** Adds what an earlier model believed of a worker. */
  recover(agent: string, belief: Belief): void;
  /** Forgets what is known of a worker from earlier runs. */
  discountPast(agent: string): void;
  forget(agent: string): void;
  advance(now: Milliseconds): void;
  /** Effect of the worker; undefined if nothing is known. */
  beliefOf(agent: string): Belief | undefined;
  /** Logarithm of the expected gain per second; undefined if unknown. */
  expect(step: Step, agent: string): Belief | undefined;
  /** What is known of each worker from evidence alone. */
  likelihoods(): Belief[];
  /** Means of the effects of all known workers. */
  means(): number[];
}

/** Creates a model without evidence. */
export function createRateModel(): RateModel {
  const graph = createEvidenceGraph();
  const unknowns = createUnknowns(graph);
  const steps = createStepEffects(unknowns);
  const workers = createWorkerEffects(unknowns);
  const noise = createTaskNoise();
  const edges = createRateEdges({ graph, steps, noise });
  let upkeepAt: Milliseconds | undefined;

  function upkeep(now: Milliseconds): void {
    const elapsed = now - (upkeepAt ?? now);
    upkeepAt = now;
    steps.removeUnused();
    const keep = Math.exp(-elapsed / MEMORY);
    workers.decay(keep);
    noise.decay(keep);
    steps.updateBiases();
  }

  return {
    note: ({ sample, step, service, agent, now }) => {
      edges.note(sample, now, () => ({
        worker: workers.of(agent),
        step: steps.of(step, service),
        kind: step.gang ? "gang" : "single",
      }));
    },
    dropSamples: (agent) => {
      const worker = workers.find(agent);
      if (worker) edges.drop(worker);
    },
    recover: workers.recover,
    discountPast: (agent) => {
      const worker = workers.find(agent);
      if (worker) unknowns.scalePast(worker, 0);
    },
    forget: (agent) => {
      const worker = workers.find(agent);
      if (!worker) return;
      edges.drop(worker);
      workers.remove(agent);
    },
    advance: (now) => {
      if (now - (upkeepAt ?? -Infinity) >= UPKEEP_INTERVAL) upkeep(now);
      edges.advance(now);
    },
    beliefOf: workers.beliefOf,
    expect: (step, agent) => {
      const effect = steps.find(step);
      const worker = workers.find(agent);
      if (!effect || !worker) return undefined;
      const a = unknowns.beliefIn(effect);
      const b = unknowns.beliefIn(worker);
      return { mean: a.mean + b.mean, variance: a.variance + b.variance };
    },
    likelihoods: workers.likelihoods,
    means: workers.means,
  };
}
