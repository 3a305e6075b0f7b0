/**
 * Seeds of soaks that once failed. A seed always draws the same faults, but the
 * order of events depends on the speed of the machine, so that the failure need
 * not occur again. Each cause therefore has a test of its own.
 *
 * @module
 */

import { FORMER_FAULT_NAMES, LONG_FAULTS } from "./faults.ts";

/** A seed that once failed, and the program error that was the cause. */
export interface FailedSeed {
  seed: number;
  /** Faults that were drawn from; all short ones by default. */
  faults?: string[];
  cause: string;
}

const LONG = Object.keys(LONG_FAULTS);
const DROPPED_END =
  "the end of a run that counted as lost was acknowledged and dropped";
const UNKNOWN_END =
  "the soak's check counted an end that nobody knew when its lease was over";

/** All seeds that once failed, in the order in which they were found. */
export const FAILED_SEEDS: FailedSeed[] = [
  {
    seed: 7,
    cause: "the soak submitted a gang that three workers can't hold",
  },
  {
    seed: 123,
    cause:
      "a gang's failure was not counted if another end was listed before it",
  },
  {
    seed: 125,
    cause: "the soak's check counted an end that was lost with its worker",
  },
  {
    seed: 202,
    cause: "a draining worker's refusal was taken as proof without a list",
  },
  {
    seed: 207,
    cause: "a gang never ended if its end arrived after the loss of a member",
  },
  {
    seed: 218,
    cause: "a gang ran again if its end arrived after the loss of a member",
  },
  {
    seed: 5102,
    cause: "the soak's check took an entry with a newer version for an old one",
  },
  {
    seed: 6100,
    faults: ["formerLinks", "pauseAgentLong"],
    cause: "an agent carried out the orders of a former link",
  },
  { seed: 6200, faults: LONG, cause: DROPPED_END },
  { seed: 6201, faults: LONG, cause: DROPPED_END },
  { seed: 6202, faults: LONG, cause: DROPPED_END },
  { seed: 6203, faults: LONG, cause: UNKNOWN_END },
  { seed: 6210, faults: FORMER_FAULT_NAMES, cause: DROPPED_END },
  { seed: 6212, faults: FORMER_FAULT_NAMES, cause: UNKNOWN_END },
  {
    seed: 6400,
    faults: FORMER_FAULT_NAMES,
    cause: "the soak's check took the lease that a new start at the same " +
      "worker renews for one that was left",
  },
];
