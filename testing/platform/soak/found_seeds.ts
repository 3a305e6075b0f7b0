/**
 * Seeds that failed once. The order of events follows the machine's speed, so
 * that a seed draws the same faults but need not meet the same fault again;
 * each cause has a test of its own.
 *
 * @module
 */

/** A seed with the cause of its failure. */
export interface FailedSeed {
  seed: number;
  cause: string;
}

/** Failed seeds, in the order in which they were found. */
export const FAILED_SEEDS: FailedSeed[] = [
  {
    seed: 123,
    cause: "a gang's failure was not counted if another end was listed before",
  },
  {
    seed: 125,
    cause: "a check counted an end that was lost with its worker",
  },
  {
    seed: 202,
    cause: "a draining worker's refusal was taken as proof without a list",
  },
  {
    seed: 207,
    cause: "a gang never ended whose end was heard after a lost member",
  },
  {
    seed: 218,
    cause: "a gang ran again whose end was heard after a lost member",
  },
];
