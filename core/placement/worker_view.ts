/**
 * What placement sees of a worker.
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

/** A gang member that holds, or is about to hold, capacity of a worker. */
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

/** A worker with everything that holds its capacity. */
export interface WorkerView {
  inventory: Inventory;
  /** Whether new members may be placed here. */
  available: boolean;
  /** Reported members and pending reservations. */
  held: HeldMember[];
  /** Capacity that nothing holds. */
  free: { cores: number; memoryMiB: number };
}

/** Team that owns each accelerator of each worker. */
export type HomeIndex = ReadonlyMap<
  WorkerId,
  readonly (TeamName | undefined)[]
>;

/** Members of one gang on one worker. */
export interface PlannedWorker {
  worker: WorkerId;
  members: { member: number; accelerators: number[] }[];
  /** Whether other work has to be stopped here first. */
  reclaims: boolean;
}

/** Where a gang is to run. */
export interface PlacementPlan {
  run: RunId;
  /** In ascending order of worker id. */
  workers: PlannedWorker[];
  /** Gangs that are stopped for this plan. */
  victims: RunId[];
}

/** Why a gang has no place. */
export interface PlacementFailure {
  /** `never`: not even on idle workers. `not-now`: capacity is in use. */
  kind: "never" | "not-now";
  reason: string;
}
