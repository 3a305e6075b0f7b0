/**
 * How many slots of one endpoint work of a class may hold.
 *
 * @module
 */

import type { WorkClass } from "@dragonflyledge/model";

/** Largest share of an endpoint's slots for work observed to be long. */
const LONG_SHARE = 0.5;

/** Slots of one endpoint that the class, and all deferrable work, may hold. */
export interface SlotLimit {
  ofClass: number;
  ofDeferrable: number;
}

/**
 * Urgent work may use all slots. Other work may hold a share of them, at least
 * one, and during a peak it leaves one slot of each endpoint to urgent work.
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
    ofDeferrable: peak ? Math.max(1, slots - 1) : slots,
  };
}
