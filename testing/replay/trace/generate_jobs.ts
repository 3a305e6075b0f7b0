/**
 * Generates the jobs of traces.
 *
 * @module
 */

import type { Milliseconds, Random, Shape } from "@dragonflyledge/model";
import type { Deployment } from "../deployment.ts";
import type { TraceJob } from "./trace.ts";

/** Number and times of the jobs that a scenario submits. */
export interface JobLoad {
  /** Number of revocable jobs of one member. */
  smallJobs: number;
  /** Number of revocable jobs of several members. */
  largeGangs: number;
  /**
   * End of the time, from the start of the trace, in which the small jobs
   * and large gangs are submitted.
   */
  until: Milliseconds;
  /**
   * Times at which each team with a guarantee submits an owner job, that is
   * a job of its first guaranteed shape.
   */
  ownerJobTimes: Milliseconds[];
  /** Draws the declared run time of a job, as a factor of its run time. */
  drawDeclaredFactor: (random: Random) => number;
}

/** Mean run times; those of jobs vary between half of it and 1.5 times it. */
const SMALL_RUN_TIME: Milliseconds = 6000;
const LARGE_RUN_TIME: Milliseconds = 15_000;
const OWNER_RUN_TIME: Milliseconds = 8000;
const LARGE_GANGS = [
  { members: 4, accelerators: 8 },
  { members: 8, accelerators: 4 },
  { members: 16, accelerators: 2 },
];
const SMALL_SIZES = [1, 1, 2, 4];
const CORES_PER_ACCELERATOR = 3;
const MEMORY_PER_ACCELERATOR = 8192;

/** Generates the jobs of a load, ordered by the time of submission. */
export function generateJobs(fields: {
  load: JobLoad;
  deployment: Deployment;
  random: Random;
}): TraceJob[] {
  const { load, deployment, random } = fields;
  const jobs: TraceJob[] = [];
  const pick = <Item>(list: readonly Item[]) =>
    list[Math.floor(random() * list.length)]!;
  const { teams } = deployment.configuration;
  // Only teams with this large a quota submit revocable jobs.
  const largeTeams = teams.filter((team) => team.acceleratorQuota >= 48);
  for (let count = 0; count < load.smallJobs; count++) {
    const at = Math.round(random() * load.until);
    const shape = { members: 1, accelerators: pick(SMALL_SIZES) };
    jobs.push(
      createJob(fields, pick(largeTeams).name, at, shape, SMALL_RUN_TIME),
    );
  }
  for (let count = 0; count < load.largeGangs; count++) {
    const at = Math.round(
      (count + random() * 0.5) * load.until / load.largeGangs,
    );
    const shape = pick(LARGE_GANGS);
    jobs.push(
      createJob(fields, pick(largeTeams).name, at, shape, LARGE_RUN_TIME),
    );
  }
  for (const at of load.ownerJobTimes) {
    teams.forEach((team, index) => {
      const shape = team.guarantees[0];
      // Only one shape at a time, so that the team stays well within its
      // guarantee.
      if (shape) jobs.push(ownerJob(fields, team.name, at + index * 50, shape));
    });
  }
  return jobs.sort((left, right) => left.at - right.at);
}

/**
 * Creates a revocable job of the last deferrable class; `time` is its mean run
 * time.
 */
function createJob(
  fields: { load: JobLoad; deployment: Deployment; random: Random },
  team: string,
  at: Milliseconds,
  shape: { members: number; accelerators: number },
  time: Milliseconds,
): TraceJob {
  const { load, deployment, random } = fields;
  const runTime = Math.round(time * (0.5 + random()));
  const { accelerators, members } = shape;
  const deferrable = deployment.configuration.classes
    .filter((each) => !each.urgent).at(-1)!;
  return {
    at,
    runTime,
    owner: false,
    spec: {
      team,
      class: deferrable.name,
      members,
      perMember: {
        accelerators,
        cores: accelerators * CORES_PER_ACCELERATOR,
        memoryMiB: accelerators * MEMORY_PER_ACCELERATOR,
      },
      adjacency: "any",
      revocable: true,
      idempotent: true,
      declaredRunTime: Math.round(runTime * load.drawDeclaredFactor(random)),
      command: "train",
    },
  };
}

/**
 * Creates an owner job: a job of a guaranteed shape, in the first class, that
 * can't be revoked. A shape larger than a worker becomes a gang of whole
 * workers.
 */
function ownerJob(
  fields: { deployment: Deployment; load: JobLoad; random: Random },
  team: string,
  at: Milliseconds,
  guarantee: Shape,
): TraceJob {
  const acceleratorsPerWorker = 8;
  const members = Math.max(1, guarantee.accelerators / acceleratorsPerWorker);
  const accelerators = Math.min(acceleratorsPerWorker, guarantee.accelerators);
  const job = createJob(
    fields,
    team,
    at,
    { members, accelerators },
    OWNER_RUN_TIME,
  );
  const urgent = fields.deployment.configuration.classes[0]!;
  return {
    ...job,
    owner: true,
    spec: {
      ...job.spec,
      class: urgent.name,
      adjacency: guarantee.adjacency,
      revocable: false,
    },
  };
}
