/**
 * Shows in the metrics what only the leader knows of the fleet.
 *
 * @module
 */

import type { Instruments } from "@dragonflyledge/exposition";
import {
  countClosed,
  countOnProbation,
  missingCapacity,
} from "@dragonflyledge/scheduler";
import type { SchedulerState } from "@dragonflyledge/scheduler";

/** Value of each gauge, by its name. */
const GAUGES = {
  missing_accelerators: (state) => missingCapacity(state).accelerators,
  missing_cores: (state) => missingCapacity(state).millicores / 1000,
  evacuated_domains: ({ policies }) => policies.evacuated.size,
  workers_differ: ({ rates }) => rates.differ() ? 1 : 0,
  known_rates: ({ rateNotices }) => rateNotices.counts.known,
  slow_workers: ({ rateNotices }) => rateNotices.counts.slow,
  slowed_workers: ({ rateNotices }) => rateNotices.counts.slowed,
  workers_on_probation: countOnProbation,
  closed_workers: countClosed,
} as const satisfies Record<string, (state: SchedulerState) => number>;
const NAMES = Object.keys(GAUGES) as (keyof typeof GAUGES)[];

/** Sets the gauges of the fleet to the leader's state. */
export function showFleet(
  instruments: Instruments,
  state: SchedulerState,
): void {
  for (const name of NAMES) instruments.set(name, GAUGES[name](state));
}

/** Sets all gauges to 0 at the end of a term; another process shows them then. */
export function hideFleet(instruments: Instruments): void {
  for (const name of NAMES) instruments.set(name, 0);
  instruments.set("interfering_pairs", 0);
}
