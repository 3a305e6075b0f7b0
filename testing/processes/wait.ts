/**
 * Waits for conditions, with a time limit.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers/promises";

const POLL_INTERVAL = 20;

/**
 * Polls until the condition `holds`. Throws an error that contains `what` if this
 * takes longer than `limit` milliseconds.
 */
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
