/**
 * How many slots of one endpoint work of a class may hold.
 *
 * @module
 */

import type { WorkClass } from "@dragonflyledge/model";

/** Largest share of an endpoint's slots for work observed to be long. */
const LONG_SHARE = 0.5;

/**
 * Largest share of an endpoint's slots for all deferrable work during a peak.
 * With all slots but one, urgent requests of a tenfold surge had a p99 wait of
 * 0.9 to 1.3 s behind deferrable work that had started between two of them.
 */
const PEAK_SHARE = 3 / 8;

/** Slots of one endpoint that the class, and all deferrable work, may hold. */
export interface SlotLimit {
  ofClass: number;
  ofDeferrable: number;
}

/**
 * Urgent work may use all slots. Other work may hold a share of them, at least
 * one, and during a peak it leaves most slots of each endpoint to urgent work.
 */
export function slotLimit(fields: {
  slots: number;
  workClass: WorkClass;
  /** Observed to run far longer than other work. */
  long: boolean;
  peak: boolean;
}): SlotLimit {
  const { slots, workClass, long, peak } = fields;
  if (workClass.urgent && !long) {
    return { ofClass: slots, ofDeferrable: slots };
  }
  const share = long
    ? Math.min(workClass.slotShare, LONG_SHARE)
    : workClass.slotShare;
  return {
    ofClass: Math.max(1, Math.floor(share * slots)),
    ofDeferrable: peak ? Math.max(1, Math.floor(PEAK_SHARE * slots)) : slots,
  };
}
