/**
 * Faults of the store.
 *
 * @module
 */

import { listProcesses, toNames } from "./fault_target.ts";
import type { Fault, FaultTarget } from "./fault_target.ts";

function createStoreFault(
  set: (target: FaultTarget, on: boolean) => void,
): Fault {
  return (target, time) => {
    set(target, true);
    setTimeout(() => set(target, false), time);
    return ["store", ...toNames(listProcesses(target))];
  };
}

/** Faults of the store by name. */
export const STORE_FAULTS: Record<string, Fault> = {
  /** The store answers no calls and does nothing. */
  storeSilent: createStoreFault(({ programs }, on) =>
    programs.store.silent = on
  ),
  /** The store refuses calls with 503. */
  storeBusy: createStoreFault(({ programs }, on) => programs.store.busy = on),
  /** The store answers 400 ms late. */
  storeSlow: createStoreFault(({ programs }, on) => {
    programs.store.delay = on ? 400 : 0;
  }),
  /**
   * The store leaves 30 % of the writes without an answer; these take effect
   * at once or 2.5 s late.
   */
  storeLoses: createStoreFault(({ programs, random }, on) => {
    programs.store.lost = on ? 0.3 : 0;
    programs.store.lostWriteDelay = random() < 0.5 ? 0 : 2500;
  }),
  /** The store drops its history, so that watches have to start anew. */
  storeForgets: (target) => {
    target.programs.store.compact();
    return ["store"];
  },
};
