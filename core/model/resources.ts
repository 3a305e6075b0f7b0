/**
 * Names of workers and other parts of the system, and resources of workers.
 *
 * @module
 */

export type WorkerId = string;
export type EntryId = string;
export type TeamName = string;
export type ClassName = string;
export type ServiceName = string;
export type RequestId = string;
export type JobId = string;

/**
 * Number that tells apart the starts of one process; a later start has a higher
 * number.
 */
export type Incarnation = number;

/** Where a worker is. */
export interface Location {
  region: string;
  failureDomain: string;
  rack: string;
}

/** Amounts of the resources that a worker has or a task needs. */
export interface Resources {
  accelerators: number;
  cores: number;
  memoryMiB: number;
}

/** The capacity of a worker and of the endpoint on it. */
export interface Inventory {
  worker: WorkerId;
  location: Location;
  capacity: Resources;
  /** The service that the endpoint offers. */
  service: ServiceName;
  /** Requests that the endpoint runs at the same time. */
  slots: number;
  /** Connections that the endpoint accepts at the same time. */
  connections: number;
}
