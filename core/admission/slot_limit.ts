/**
 * Limits on the slots of one endpoint that work of a class may hold.
 *
 * @module
 */

import type { WorkClass } from "@dragonflyledge/model";

/** Largest share of an endpoint's slots that long work of a class may hold. */
const LONG_SHARE = 0.5;

/**
 * Largest share of an endpoint's slots that all deferrable work may hold during
 * a peak. When deferrable work could hold all slots but one, a tenfold surge of
 * urgent requests had a p99 wait of 0.9 to 1.3 s, because deferrable work had
 * started between two of them.
 */
const PEAK_SHARE = 3 / 8;

/** Limits on the slots of one endpoint. */
export interface SlotLimit {
  /** Slots that work of the class may hold. */
  ofClass: number;
  /** Slots that all deferrable work may hold together. */
  ofDeferrable: number;
}

/**
 * Returns the limits for work of a class. Urgent work may use all slots. Other
 * work, including long work of an urgent class, may hold a share of them but at
 * least one, and during a peak all of it together leaves most to urgent work.
 */
export function slotLimit(fields: {
  /** Slots of the endpoint. */
  slots: number;
  workClass: WorkClass;
  /** Whether the work was observed to run far longer than other work. */
  long: boolean;
  /** Whether urgent work of the service has had to wait lately. */
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
