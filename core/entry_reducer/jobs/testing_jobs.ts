/**
 * Teams and jobs of the simulated cluster, for tests.
 *
 * @module
 */

import type { Configuration, JobSpec, Team } from "@dragonflyledge/model";

const team = (name: string, change: Partial<Team> = {}): Team => ({
  name,
  tokenDigests: [],
  guarantees: [],
  acceleratorQuota: 64,
  weight: 1,
  ...change,
});

/** Team a is guaranteed one worker, team c has a small quota. */
export const configuration: Configuration = {
  version: 1,
  services: [],
  teams: [
    team("a", {
      guarantees: [{ accelerators: 8, adjacency: "worker", count: 1 }],
    }),
    team("b"),
    team("c", { acceleratorQuota: 8 }),
  ],
  classes: [["batch", false], ["plan", true]].map(([name, urgent]) => ({
    name: name as string,
    urgent: urgent as boolean,
    slotShare: 1,
    defaultDeadline: 1000,
    queueLimit: 10,
  })),
};

/** A deferrable job of team b that is revocable and idempotent. */
export function buildSpec(
  members: number,
  accelerators: number,
  change: Partial<JobSpec> = {},
): JobSpec {
  return {
    team: "b",
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
