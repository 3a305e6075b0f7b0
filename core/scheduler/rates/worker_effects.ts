/**
 * Effects of workers: how fast each runs tasks, apart from their sizes. They
 * go by the name of the agent on the worker's machine.
 *
 * @module
 */

import type { Belief, Unknown, Unknowns } from "./unknowns.ts";

/** Standard deviation of the logarithm of workers' rates, before evidence. */
export const WORKER_SD = 0.35;
/** Recovered rates are no more certain than this. */
const RECOVERED_SD = 0.05;
/** Recovered logarithms beyond this are no rates of workers. */
const MAX_RECOVERED = 3;

/** The effects of all workers. */
export interface WorkerEffects {
  /** Effect of the worker, which is created at first use. */
  of(agent: string): Unknown;
  /** Effect of the worker; undefined if it is not known. */
  find(agent: string): Unknown | undefined;
  /** Adds what an earlier model believed of a worker. */
  recover(agent: string, belief: Belief): void;
  /** Multiplies the weight of what all workers showed earlier by the factor. */
  decay(factor: number): void;
  remove(agent: string): void;
  /** Effect of the worker; undefined if nothing is known. */
  beliefOf(agent: string): Belief | undefined;
  /** What is known of each worker from evidence alone. */
  likelihoods(): Belief[];
  /** Means of the effects of all known workers. */
  means(): number[];
}

/** Creates effects for the unknowns of one graph. */
export function createWorkerEffects(unknowns: Unknowns): WorkerEffects {
  const workers = new Map<string, Unknown>();

  function effectOf(agent: string): Unknown {
    const known = workers.get(agent);
    if (known) return known;
    const created = unknowns.create({ mean: 0, deviation: WORKER_SD });
    workers.set(agent, created);
    return created;
  }

  return {
    of: effectOf,
    find: (agent) => workers.get(agent),
    recover: (agent, { mean, variance }) => {
      // The prior has its part in the belief already.
      const precision = 1 / Math.max(variance, RECOVERED_SD ** 2) -
        1 / WORKER_SD ** 2;
      if (precision <= 0 || Math.abs(mean) > MAX_RECOVERED) return;
      const weight = precision + 1 / WORKER_SD ** 2;
      const told = { precision, weighted: mean * weight };
      unknowns.addPast(effectOf(agent), told);
    },
    decay: (factor) => {
      for (const worker of workers.values()) unknowns.scalePast(worker, factor);
    },
    remove: (agent) => {
      const worker = workers.get(agent);
      if (!worker) return;
      workers.delete(agent);
      unknowns.remove(worker);
    },
    beliefOf: (agent) => {
      const worker = workers.get(agent);
      if (!worker || !unknowns.isTold(worker)) return undefined;
      return unknowns.beliefIn(worker);
    },
    likelihoods: () => {
      const known: Belief[] = [];
      for (const worker of workers.values()) {
        const { precision, weighted } = unknowns.toldOf(worker);
        if (precision * WORKER_SD ** 2 < 1) continue;
        known.push({ mean: weighted / precision, variance: 1 / precision });
      }
      return known;
    },
    means: () => {
      const means: number[] = [];
      for (const worker of workers.values()) {
        if (!unknowns.isTold(worker)) continue;
        means.push(unknowns.beliefIn(worker).mean);
      }
      return means;
    },
  };
}
