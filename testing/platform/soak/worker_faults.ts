/**
 * Faults of workers.
 *
 * @module
 */

import { pick } from "./fault_target.ts";
import type { Fault } from "./fault_target.ts";
import { WORKER_ACCELERATORS } from "./ledger.ts";

/** Faults of workers by name. */
export const WORKER_FAULTS: Record<string, Fault> = {
  /** Crashes a worker; it comes back as another incarnation. */
  crashWorker: (target) => {
    const { workers } = target.programs;
    target.crashWorker(Math.floor(target.random() * workers.length));
    return [];
  },
  /** Takes accelerators from a worker while it runs, and gives them back. */
  shrinkWorker: (target, time) => {
    const worker = pick(target, target.programs.workers);
    worker.resize(Math.floor(target.random() * WORKER_ACCELERATORS));
    setTimeout(() => worker.resize(WORKER_ACCELERATORS), time);
    return [];
  },
  /** Drains a worker, then crashes it. */
  drainWorker: (target, time) => {
    const worker = pick(target, target.programs.workers);
    worker.drain();
    setTimeout(() => worker.crash(), Math.max(time, 2500));
    return [];
  },
  /** Makes every run that starts on a worker fail. */
  failingWorker: (target, time) => {
    const worker = `i-${
      Math.floor(target.random() * target.programs.workers.length)
    }`;
    target.failingWorkers.add(worker);
    setTimeout(() => target.failingWorkers.delete(worker), time);
    return [];
  },
};
