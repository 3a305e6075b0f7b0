/**
 * Runs of the stand-in worker, and who determines how they end.
 *
 * @module
 */

/** A run on a worker. */
export interface WorkerRun {
  task: string;
  run: number;
  /** Start in milliseconds, on the clock that all workers of a test share. */
  startedAt: number;
  /** How fast the worker runs it; 1 if it is not set. */
  rate?: number;
}

/**
 * How a run ends at its worker: "lapsed" without a lease or by a crash,
 * "broken" with another member of its gang, "alone" after waiting in vain for
 * the other members.
 */
export type Ending =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone";

/**
 * Determines what tasks need and how they end, and learns what they do. All
 * times are on the clock that all workers of a test share.
 */
export interface WorkObserver {
  /** Accelerators that a task needs. */
  accelerators(task: string): number;
  /** How the run ends at `now`; undefined while it goes on. */
  endingAt(run: WorkerRun, now: number): Ending | undefined;
  /** Share of the run's own work that is done, 0 to 100; 0 by default. */
  percentAt?(run: WorkerRun, now: number): number;
  /**
   * A run started; `used` accelerators are now in use at the worker, of
   * `capacity` that it has or had a moment ago.
   */
  started(fields: {
    worker: string;
    run: WorkerRun;
    used: number;
    capacity: number;
  }): void;
  /** A run ended at the worker. */
  ended(fields: { worker: string; run: WorkerRun; ending: Ending }): void;
  /** The agent acknowledged the end, so that the worker forgets it. */
  acknowledged(fields: { run: WorkerRun; ending: Ending }): void;
}

/** Lets each task take `duration` milliseconds and one accelerator. */
export function observeFixedDuration(duration: number): WorkObserver {
  return {
    accelerators: () => 1,
    endingAt: ({ startedAt }, now) =>
      now >= startedAt + duration ? "done" : undefined,
    started: () => {},
    ended: () => {},
    acknowledged: () => {},
  };
}
