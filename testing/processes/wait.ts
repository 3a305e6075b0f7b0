/**
 * Waits for conditions, bounded by the target that a test states.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers/promises";

const POLL_INTERVAL = 20;

/** Polls until the condition holds; throws what was awaited after `limit`. */
export async function waitUntil(
  what: string,
  limit: number,
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + limit;
  while (!await holds()) {
    if (performance.now() > end) {
      throw new Error(`not within ${limit} ms: ${what}`);
    }
    await setTimeout(POLL_INTERVAL);
  }
}
