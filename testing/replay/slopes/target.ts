/**
 * Deployments from the present size to the one expected in two years.
 *
 * @module
 */

import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { Configuration, Inventory } from "@dragonflyledge/model";

/** Teams and workers of a deployment. */
export interface Size {
  teams: number;
  workers: number;
}

/** Sizes by number of workers. */
export const SIZES: readonly Size[] = [
  { teams: 2, workers: 11 },
  { teams: 10, workers: 100 },
  { teams: 35, workers: 860 },
];

const RACK_SIZE = 3;
const DOMAINS = ["d1", "d2", "d3", "d4"];
/** The largest deployment has 1,500 accelerators on 860 workers. */
const ACCELERATORS_PER_WORKER = 1500 / 860;

/** Workers in two regions with four failure domains, three to a rack. */
export function createInventories(workers: number): Inventory[] {
  return Array.from({ length: workers }, (_, index) => {
    const rack = Math.floor(index / RACK_SIZE);
    const domain = rack % DOMAINS.length;
    const accelerators = Math.floor((index + 1) * ACCELERATORS_PER_WORKER) -
      Math.floor(index * ACCELERATORS_PER_WORKER);
    return {
      worker: `worker-${String(index).padStart(4, "0")}`,
      location: {
        region: domain < 2 ? "r1" : "r2",
        failureDomain: DOMAINS[domain]!,
        rack: `rack-${String(rack).padStart(3, "0")}`,
      },
      capacity: { accelerators, cores: 32, memoryMiB: 131_072 },
      service: "fryer-line-planning",
      slots: 8,
      connections: 64,
    };
  });
}

/**
 * Teams whose guarantees take nine tenths of the accelerators in shapes of one
 * accelerator, which gives the largest table.
 */
export function createConfiguration({ teams, workers }: Size): Configuration {
  const total = Math.floor(workers * ACCELERATORS_PER_WORKER);
  const count = Math.max(1, Math.floor(total * 0.9 / teams));
  const queue = { defaultDeadline: 30 * SECOND, queueLimit: 200 };
  return {
    version: 150_000,
    teams: Array.from({ length: teams }, (_, index) => ({
      name: `team-${String(index).padStart(3, "0")}`,
      tokenDigests: [
        String(index).padStart(64, "a"),
        String(index).padStart(64, "b"),
      ],
      guarantees: [{ accelerators: 1, adjacency: "worker" as const, count }],
      acceleratorQuota: 2 * count,
      weight: 1,
    })),
    classes: [
      { name: "shift-plan", urgent: true, slotShare: 1, ...queue },
      {
        name: "recipe-tuning",
        urgent: false,
        slotShare: 0.5,
        defaultDeadline: 5 * MINUTE,
        queueLimit: 1000,
      },
    ],
    services: [
      { name: "fryer-line-planning", path: "/plan", bodyLimit: 65_536 },
    ],
  };
}
