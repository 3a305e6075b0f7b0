/**
 * Effects of steps: how fast the tasks of each step gain on a usual worker.
 * Before evidence they follow from the estimates, corrected by what is learnt
 * of the estimates of the same service.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Step } from "../job.ts";
import { addEvidence } from "./evidence_graph.ts";
import type { Evidence } from "./evidence_graph.ts";
import type { Unknown, Unknowns } from "./unknowns.ts";

/**
 * Standard deviation of the logarithm of run times against estimates, which are
 * off by 20 to 50 %.
 */
const STEP_SD = 0.35;
/**
 * Logarithm of the factor from which an estimate is wrong rather than off. A
 * worker of rate 0.6, an estimate that is off by half and a task that takes a
 * third more come to a factor of 3.3 together.
 */
const WRONG_ESTIMATE = Math.log(3.3);
/** Precision of a wrong estimate, so low that thousands of them tell nothing. */
const WRONG_PRECISION = 1e-6;
/** Standard deviation by which the estimates of a service are off together. */
const BIAS_SD = 0.3;

/** By how much the estimates of a service's steps are off together. */
interface Bias {
  value: number;
}

/** The effect of a step. */
export interface StepEffect extends Unknown {
  bias: Bias;
  /** Whether its estimate is wrong, or missing, so that only siblings tell. */
  isWrong: boolean;
}

/** The effects of all steps that have runs. */
export interface StepEffects {
  /** Effect of the step, which is created at first use. */
  of(step: Step, service: string): StepEffect;
  /** Effect of the step; undefined if it has no runs. */
  find(step: Step): StepEffect | undefined;
  /** Ignores the estimate of a step whose tasks take far more or less time. */
  checkEstimate(effect: StepEffect, gain: number): void;
  /** Removes the steps that have no edges. */
  removeUnused(): void;
  /**
   * Learns by how much the estimates of each service are off together. Services
   * have their own workers and callers, so that no task compares them.
   */
  updateBiases(): void;
}

/** Creates effects for the unknowns of one graph. */
export function createStepEffects(unknowns: Unknowns): StepEffects {
  const steps = new Map<Step, StepEffect>();
  const biases = new Map<string, Bias>();

  function biasOf(service: string): Bias {
    const known = biases.get(service);
    if (known) return known;
    const created = { value: 0 };
    biases.set(service, created);
    return created;
  }

  function effectOf(step: Step, service: string): StepEffect {
    const known = steps.get(step);
    if (known) return known;
    const bias = biasOf(service);
    const mean = expectedGain(step) + bias.value;
    const unknown = unknowns.create({ mean, deviation: STEP_SD });
    const created = { ...unknown, bias, isWrong: false };
    steps.set(step, created);
    return created;
  }

  /** Sums up, for each service, how far its steps are from their estimates. */
  function sumDeviations(): Map<Bias, Evidence> {
    const sums = new Map<Bias, Evidence>();
    for (const [step, effect] of steps) {
      if (effect.isWrong || !unknowns.isTold(effect)) continue;
      const told = unknowns.toldOf(effect);
      const sum = sums.get(effect.bias) ??
        { precision: 1 / BIAS_SD ** 2, weighted: 0 };
      const precision = 1 / (STEP_SD ** 2 + 1 / told.precision);
      const mean = told.weighted / told.precision - expectedGain(step);
      addEvidence(sum, { precision, weighted: precision * mean });
      sums.set(effect.bias, sum);
    }
    return sums;
  }

  /** Moves the priors of all steps to the present biases. */
  function shiftPriors(): void {
    for (const [step, effect] of steps) {
      if (effect.isWrong) continue;
      const { precision } = effect.prior;
      const weighted = precision * (expectedGain(step) + effect.bias.value);
      unknowns.replacePrior(effect, { precision, weighted });
    }
  }

  return {
    of: effectOf,
    find: (step) => steps.get(step),
    checkEstimate: (effect, gain) => {
      const expected = effect.prior.weighted / effect.prior.precision;
      if (effect.isWrong || Math.abs(gain - expected) < WRONG_ESTIMATE) return;
      effect.isWrong = true;
      unknowns.replacePrior(effect, {
        precision: WRONG_PRECISION,
        weighted: WRONG_PRECISION * gain,
      });
    },
    removeUnused: () => {
      for (const [step, effect] of steps) {
        if (effect.edges > 0) continue;
        steps.delete(step);
        unknowns.remove(effect);
      }
    },
    updateBiases: () => {
      for (const [bias, { precision, weighted }] of sumDeviations()) {
        bias.value = weighted / precision;
      }
      shiftPriors();
    },
  };
}

/** Logarithm of the gain in percent a second that the estimate promises. */
function expectedGain(step: Step): number {
  return Math.log(100 * SECOND / Math.max(1, step.estimate));
}
