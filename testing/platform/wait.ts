/**
 * Waits for conditions, with a time limit.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL = 50;

/**
 * Polls until the condition holds. Returns false if it does not within `limit`
 * milliseconds.
 */
export async function holdsWithin(
  limit: number,
  condition: () => Promise<boolean>,
): Promise<boolean> {
  const end = performance.now() + limit;
  while (!await condition()) {
    if (performance.now() > end) return false;
    await sleep(POLL_INTERVAL);
  }
  return true;
}

/** Polls until the condition holds; throws if it does not in time. */
export async function waitUntil(
  what: string,
  limit: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  if (await holdsWithin(limit, condition)) return;
  throw new Error(`not in ${limit} ms: ${what}`);
}
