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

/** How close the accelerators of one shape must be to each other. */
export const Adjacency = {
  /** An aligned block of accelerators of one worker. */
  Worker: "worker",
  /** Workers of one rack. */
  Rack: "rack",
  /** Anywhere. */
  Any: "any",
} as const;
export type Adjacency = typeof Adjacency[keyof typeof Adjacency];

/** A capacity shape that is guaranteed to a team, `count` times. */
export interface Shape {
  /** Accelerators of one shape. Over one worker's worth, whole workers. */
  accelerators: number;
  adjacency: Adjacency;
  count: number;
}

/** A team with its guarantees and limits. */
export interface Team {
  name: TeamName;
  /** SHA-256 digests, in lower-case hex, of the bearer tokens of the team. */
  tokenDigests: string[];
  guarantees: Shape[];
  /** Most accelerators that the team holds, borrowed ones included. */
  acceleratorQuota: number;
  /** Relative share of request slots under contention. */
  weight: number;
}

/** A class of work. */
export interface WorkClass {
  name: ClassName;
  /** Urgent work may not wait; other work may. */
  urgent: boolean;
  /** Largest share, in (0, 1], of an endpoint's slots for this class. */
  slotShare: number;
  /** Deadline of requests that name none. */
  defaultDeadline: Milliseconds;
  /** Longest queue per team and entry. */
  queueLimit: number;
}

/** A service that endpoints offer. */
export interface Service {
  name: ServiceName;
  /** Path on the endpoint to which requests are posted. */
  path: string;
  /** Largest request body, in bytes. */
  bodyLimit: number;
}

/** The whole document. `version` grows by one with each accepted change. */
export interface Configuration {
  version: number;
  teams: Team[];
  classes: WorkClass[];
  services: Service[];
}

/** One guaranteed shape on concrete accelerators. */
export interface Home {
  team: TeamName;
  /** Index into `Team.guarantees`. */
  shape: number;
  /** Which of the `count` instances of the shape, from 0. */
  instance: number;
  parts: HomePart[];
}

/** The accelerators of one worker that belong to a home. */
export interface HomePart {
  worker: WorkerId;
  accelerators: number[];
}

/** All homes. `version` only grows. */
export interface HomesTable {
  version: number;
  /** Version of the configuration from which the table was computed. */
  configurationVersion: number;
  homes: Home[];
  /** Guaranteed shapes for which no capacity exists at present. */
  unplaced: { team: TeamName; shape: number; instance: number }[];
}
