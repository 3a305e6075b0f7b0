/**
 * Failure domains that the operator evacuates, and several workers at once that
 * fail what they start.
 *
 * @module
 */

import { pick } from "./fault_target.ts";
import type { FaultTarget } from "./fault_target.ts";
import type { LongFault } from "./overtaking_faults.ts";

function listZoneWorkers({ zones }: FaultTarget, zone: string): string[] {
  return zones.flatMap((each, index) => each === zone ? [`i-${index}`] : []);
}

/** Faults of failure domains, which excuse no broken guarantee, by name. */
export const EVACUATION_FAULTS: Record<string, LongFault> = {
  /** Evacuates a failure domain; at times the store then drops its history. */
  evacuateZone: {
    shortest: 4000,
    longest: 16_000,
    inject: (target, time) => {
      const { programs: { store }, evacuated, random } = target;
      const zone = pick(target, target.zones);
      const forgets = random() < 0.3;
      if (evacuated.has(zone)) return [];
      store.put(`op/evacuate/${zone}`, {});
      evacuated.set(zone, performance.now());
      setTimeout(() => {
        evacuated.delete(zone);
        store.remove(`op/evacuate/${zone}`);
        if (forgets) store.compact();
      }, time);
      return [];
    },
  },
  /** Makes every run that starts in a failure domain fail. */
  failingZone: {
    shortest: 5000,
    longest: 7000,
    inject: (target, time) => {
      const { failingWorkers } = target;
      const workers = listZoneWorkers(target, pick(target, target.zones));
      for (const worker of workers) failingWorkers.add(worker);
      setTimeout(() => {
        for (const worker of workers) failingWorkers.delete(worker);
      }, time);
      return [];
    },
  },
};
