/**
 * The configuration document that operators submit, and the homes table that
 * is computed from it.
 *
 * @module
 */

import type {
  ClassName,
  ServiceName,
  TeamName,
  WorkerId,
} from "./resources.ts";
import type { Milliseconds } from "./clock.ts";

/** How close the accelerators of a shape or gang must be to each other. */
export const Adjacency = {
  /**
   * An aligned block of accelerators of one worker. A shape larger than a worker
   * takes whole workers and an aligned block for the remainder.
   */
  Worker: "worker",
  /** Accelerators of workers of one rack. */
  Rack: "rack",
  /** Any accelerators. */
  Any: "any",
} as const;
export type Adjacency = typeof Adjacency[keyof typeof Adjacency];

/** An amount of accelerators that is guaranteed to a team `count` times. */
export interface Shape {
  /** Accelerators of each instance. */
  accelerators: number;
  adjacency: Adjacency;
  /** Number of instances. */
  count: number;
}

/** A team with its guarantees and limits. */
export interface Team {
  name: TeamName;
  /** SHA-256 digests, in lower-case hex, of the bearer tokens of the team. */
  tokenDigests: string[];
  guarantees: Shape[];
  /** Most accelerators that the team may hold, including borrowed ones. */
  acceleratorQuota: number;
  /** Relative share of request slots under contention. */
  weight: number;
}

/** A class of work, which decides about its priority and its limits. */
export interface WorkClass {
  name: ClassName;
  /**
   * Whether work of the class is urgent. Other work is deferrable: it waits for
   * urgent work, and urgent work may preempt it if it is revocable.
   */
  urgent: boolean;
  /** Largest share of an endpoint's slots for this class, in (0, 1]. */
  slotShare: number;
  /** Deadline of requests that give none, from their arrival. */
  defaultDeadline: Milliseconds;
  /** Most requests of the class that wait at an entry, for each team. */
  queueLimit: number;
}

/** A service that endpoints offer. */
export interface Service {
  name: ServiceName;
  /** Path on the endpoint to which requests are sent with POST. */
  path: string;
  /** Largest request body, in bytes. */
  bodyLimit: number;
}

/** The whole configuration. */
export interface Configuration {
  /** Grows by one with each accepted change. */
  version: number;
  teams: Team[];
  classes: WorkClass[];
  services: Service[];
}

/** The accelerators that are assigned to one instance of a guaranteed shape. */
export interface Home {
  team: TeamName;
  /** Index into `Team.guarantees`. */
  shape: number;
  /** Number of the instance, from 0 to less than the shape's `count`. */
  instance: number;
  parts: HomePart[];
}

/** The accelerators of one worker that belong to a home. */
export interface HomePart {
  worker: WorkerId;
  accelerators: number[];
}

/** The homes of all teams. */
export interface HomesTable {
  /** Grows by one with each new table. */
  version: number;
  /** Version of the configuration from which the table was computed. */
  configurationVersion: number;
  homes: Home[];
  /** Instances of guaranteed shapes for which no accelerators are left. */
  unplaced: { team: TeamName; shape: number; instance: number }[];
}
