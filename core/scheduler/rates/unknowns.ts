/**
 * The effects of steps and workers as unknown numbers of the evidence graph.
 *
 * @module
 */

import { addEvidence } from "./evidence_graph.ts";
import type { Evidence, EvidenceGraph } from "./evidence_graph.ts";

/** Less evidence, as a precision, is a rounding error of the sums. */
const MIN_PRECISION = 1e-3;

/** A normal distribution. */
export interface Belief {
  mean: number;
  variance: number;
}

/** The effect of a step or of a worker. */
export interface Unknown {
  /** Its node in the graph. */
  node: number;
  prior: Evidence;
  /** What folded edges and recovered estimates tell; part of the sums. */
  past: Evidence;
  /** Number of its edges in the graph. */
  edges: number;
}

/** Creates unknowns of one graph, and tells what is known of them. */
export interface Unknowns {
  /** Creates an unknown of which only the prior is known. */
  create(prior: { mean: number; deviation: number }): Unknown;
  remove(unknown: Unknown): void;
  /** What is known of an unknown, with its prior. */
  beliefIn(unknown: Unknown): Belief;
  /** What is known of an unknown beyond its prior; may be a rounding error. */
  toldOf(unknown: Unknown): Evidence;
  /** Whether anything is known of an unknown beyond its prior. */
  isTold(unknown: Unknown): boolean;
  /** Adds evidence to the past of an unknown and to its sums. */
  addPast(unknown: Unknown, told: Evidence): void;
  /** Multiplies the weight of the past of an unknown by the factor. */
  scalePast(unknown: Unknown, factor: number): void;
  replacePrior(unknown: Unknown, prior: Evidence): void;
}

/** Creates the access to the unknowns of the graph. */
export function createUnknowns(graph: EvidenceGraph): Unknowns {
  function toldOf({ node, prior }: Unknown): Evidence {
    return {
      precision: graph.precisionOf(node) - prior.precision,
      weighted: graph.weightedOf(node) - prior.weighted,
    };
  }

  return {
    create: ({ mean, deviation }) => {
      const precision = 1 / deviation ** 2;
      const prior = { precision, weighted: mean * precision };
      const past = { precision: 0, weighted: 0 };
      return { node: graph.addNode(prior), prior, past, edges: 0 };
    },
    remove: ({ node }) => graph.removeNode(node),
    beliefIn: ({ node }) => {
      const precision = graph.precisionOf(node);
      return {
        mean: graph.weightedOf(node) / precision,
        variance: 1 / precision,
      };
    },
    toldOf,
    isTold: (unknown) => toldOf(unknown).precision >= MIN_PRECISION,
    addPast: ({ node, past }, told) => {
      addEvidence(past, told);
      graph.add(node, told.precision, told.weighted);
    },
    scalePast: ({ node, past }, factor) => {
      const change = factor - 1;
      graph.add(node, past.precision * change, past.weighted * change);
      past.precision *= factor;
      past.weighted *= factor;
    },
    replacePrior: ({ node, prior }, { precision, weighted }) => {
      graph.add(node, precision - prior.precision, weighted - prior.weighted);
      prior.precision = precision;
      prior.weighted = weighted;
    },
  };
}
