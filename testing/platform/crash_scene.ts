/**
 * Crashes of workers under the programs, for tests.
 *
 * @module
 */

import type { Programs } from "./programs.ts";
import { waitUntil } from "./wait.ts";

/** Time in ms in which the entries answer after their start. */
export const START_TIMEOUT = 20_000;
/** Time in ms for which a worker that crashed accepts no connections. */
const DOWN_TIME = 1500;

/** Crashes the worker, which refuses connections for a while. */
export function crashWorker(
  { workers, agents }: Programs,
  worker: string,
): void {
  const index = Number(worker.split("-")[1]);
  const relay = agents[index]!.relays.worker!;
  workers[index]!.crash();
  relay.cut();
  relay.refuse(true);
  setTimeout(() => relay.refuse(false), DOWN_TIME);
}

/** Waits until all entries answer callers. */
export async function waitForEntries(
  { entries, call }: Programs,
): Promise<void> {
  await waitUntil("entries answer", START_TIMEOUT, async () => {
    for (const entry of entries) {
      if ((await call(entry, "GET", "/plans/")).status !== 200) return false;
    }
    return true;
  });
}
