/**
 * State of the requests of an entry.
 *
 * @module
 */

export interface RequestsState {
  /** Number of requests that have not ended. */
  open: number;
}

export function createRequestsState(): RequestsState {
  return { open: 0 };
}
