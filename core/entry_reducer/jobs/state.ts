/**
 * State of the jobs of an entry.
 *
 * @module
 */

export interface JobsState {
  /** Number of jobs that have not ended. */
  open: number;
}

export function createJobsState(): JobsState {
  return { open: 0 };
}
