/**
 * Builds workers and gangs for tests.
 *
 * @module
 */

import type { Inventory, JobSpec } from "@dragonflyledge/model";
import type { HeldMember, WorkerView } from "./worker_view.ts";

/**
 * Returns workers `w000`, `w001`, and so on, three in each rack. The racks are
 * assigned to `domains` failure domains in turn.
 */
export function buildInventories(
  count: number,
  domains = 3,
  accelerators = 8,
): Inventory[] {
  return Array.from({ length: count }, (_, index) => ({
    worker: `w${String(index).padStart(3, "0")}`,
    location: {
      region: "r",
      failureDomain: `d${Math.floor(index / 3) % domains}`,
      rack: `k${Math.floor(index / 3)}`,
    },
    capacity: { accelerators, cores: 32, memoryMiB: 128_000 },
    service: "s",
    slots: 8,
    connections: 64,
  }));
}

/**
 * Returns views of the workers, with the members in `held` by worker. Cores and
 * memory are all free.
 */
export function buildViews(
  inventories: Inventory[],
  held: Record<string, HeldMember[]> = {},
): WorkerView[] {
  return inventories.map((inventory) => {
    const { cores, memoryMiB } = inventory.capacity;
    return {
      inventory,
      available: true,
      held: held[inventory.worker] ?? [],
      free: { cores, memoryMiB },
    };
  });
}

/** Returns a member of a revocable, deferrable gang. */
export function buildHeldMember(
  job: string,
  team: string,
  accelerators: number[],
  change: Partial<HeldMember> = {},
): HeldMember {
  return {
    run: { job, epoch: 1 },
    member: 0,
    team,
    class: "batch",
    urgent: false,
    revocable: true,
    accelerators,
    cores: 0,
    memoryMiB: 0,
    ...change,
  };
}

/** Returns the job of a revocable, idempotent gang of team `a`. */
export function buildSpec(
  members: number,
  accelerators: number,
  change: Partial<JobSpec> = {},
): JobSpec {
  return {
    team: "a",
    class: "batch",
    members,
    perMember: { accelerators, cores: 1, memoryMiB: 1 },
    adjacency: "worker",
    revocable: true,
    idempotent: true,
    declaredRunTime: 60_000,
    command: "run",
    ...change,
  };
}
