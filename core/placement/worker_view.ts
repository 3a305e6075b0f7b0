/**
 * Input and output of gang placement: workers with the work on them, owners of
 * accelerators, and plans.
 *
 * @module
 */

import type {
  ClassName,
  Inventory,
  RunId,
  TeamName,
  WorkerId,
} from "@dragonflyledge/model";

/** A gang member that runs on a worker or has capacity reserved there. */
export interface HeldMember {
  run: RunId;
  member: number;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  accelerators: number[];
  cores: number;
  memoryMiB: number;
}

/** A worker with all members that hold capacity on it. */
export interface WorkerView {
  inventory: Inventory;
  /** Whether new members may be placed on the worker. */
  available: boolean;
  /** Members that the agent reported, and members of pending reservations. */
  held: HeldMember[];
  /** Cores and memory that no member holds. */
  free: { cores: number; memoryMiB: number };
}

/**
 * The team whose home contains each accelerator, by worker and accelerator
 * index. Accelerators without a home have no owner.
 */
export type HomeIndex = ReadonlyMap<
  WorkerId,
  readonly (TeamName | undefined)[]
>;

/** The members of one gang that a plan puts on one worker. */
export interface PlannedWorker {
  worker: WorkerId;
  members: { member: number; accelerators: number[] }[];
  /** Whether gangs have to be stopped on this worker first. */
  reclaims: boolean;
}

/** The workers and accelerators for all members of a gang. */
export interface PlacementPlan {
  run: RunId;
  /** In ascending order of worker id. */
  workers: PlannedWorker[];
  /** Gangs that have to be stopped before the gang can run. */
  victims: RunId[];
}

/** Why no plan was found for a gang. */
export interface PlacementFailure {
  /**
   * `never`: the gang would not fit even if all workers were idle. `not-now`:
   * the capacity that it needs is in use.
   */
  kind: "never" | "not-now";
  reason: string;
}
