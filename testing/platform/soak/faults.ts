/**
 * Faults that the soak injects into processes, connections, the store and the
 * workers, without help of the programs under test.
 *
 * @module
 */

import {
  CONFIGURATION_FAULTS,
  LARGE_CONFIGURATION_FAULTS,
} from "./configuration_faults.ts";
import { EVACUATION_FAULTS } from "./evacuation_faults.ts";
import type { Fault } from "./fault_target.ts";
import { LINK_FAULTS } from "./link_faults.ts";
import { OVERTAKING_FAULTS } from "./overtaking_faults.ts";
import type { LongFault } from "./overtaking_faults.ts";
import { PROCESS_FAULTS } from "./process_faults.ts";
import { RETURNED_WORKER_FAULTS } from "./returned_worker_faults.ts";
import { STORE_FAULTS } from "./store_faults.ts";
import { WORKER_FAULTS } from "./worker_faults.ts";

/** Shortest duration of a fault in milliseconds. */
const MIN_FAULT_DURATION = 300;
/** Longest duration of a short fault in milliseconds. */
export const MAX_FAULT_DURATION = 6000;

/** Faults of at most MAX_FAULT_DURATION by the name that `--faults` takes. */
export const FAULTS: Record<string, Fault> = {
  ...PROCESS_FAULTS,
  ...STORE_FAULTS,
  ...LINK_FAULTS,
  ...WORKER_FAULTS,
  ...CONFIGURATION_FAULTS,
};

/** Faults with a duration of their own, by the name that `--faults` takes. */
export const LONG_FAULTS: Record<string, LongFault> = OVERTAKING_FAULTS;

/** Names of the faults that seeds drew before there were evacuations. */
export const FORMER_FAULT_NAMES = [
  ...Object.keys(FAULTS),
  ...Object.keys(LONG_FAULTS),
];
/** Names of all faults. */
export const FAULT_NAMES = [
  ...FORMER_FAULT_NAMES,
  ...Object.keys(EVACUATION_FAULTS),
  ...Object.keys(RETURNED_WORKER_FAULTS),
  ...Object.keys(LARGE_CONFIGURATION_FAULTS),
];

/** Returns the fault with this name and a duration in its bounds. */
export function drawFault(
  name: string,
  random: () => number,
): { inject: Fault; time: number } {
  const long = LONG_FAULTS[name] ?? EVACUATION_FAULTS[name] ??
    RETURNED_WORKER_FAULTS[name] ?? LARGE_CONFIGURATION_FAULTS[name];
  const inject = long?.inject ?? FAULTS[name];
  if (!inject) throw new Error(`unknown fault: ${name}`);
  const shortest = long?.shortest ?? MIN_FAULT_DURATION;
  const longest = long?.longest ?? MAX_FAULT_DURATION;
  return { inject, time: shortest + random() * (longest - shortest) };
}
