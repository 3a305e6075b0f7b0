/**
 * Jobs of generated traces.
 *
 * @module
 */

import type { Milliseconds, Random, Shape } from "@dragonflyledge/model";
import type { Deployment } from "../deployment.ts";
import type { TraceJob } from "./trace.ts";

/** Jobs of a scenario. */
export interface JobLoad {
  /** Small revocable jobs of one member, spread over this time. */
  smallJobs: number;
  /** Large revocable gangs, spread over the same time. */
  largeGangs: number;
  submitUntil: Milliseconds;
  /** When each team asks for some of its guarantees; none if empty. */
  guaranteedJobTimes: Milliseconds[];
  /** Factor between declared and real run time. */
  drawDeclaredFactor: (random: Random) => number;
}

const SMALL_RUN_TIME: Milliseconds = 6000;
const LARGE_RUN_TIME: Milliseconds = 15_000;
const GUARANTEED_RUN_TIME: Milliseconds = 8000;
const LARGE_GANGS = [
  { members: 4, accelerators: 8 },
  { members: 8, accelerators: 4 },
  { members: 16, accelerators: 2 },
];
const SMALL_SIZES = [1, 1, 2, 4];
const CORES_PER_ACCELERATOR = 3;
const MEMORY_PER_ACCELERATOR = 8192;

/** Generates the jobs of a load, in the order of their submission. */
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
  const big = teams.filter((team) => team.acceleratorQuota >= 48);
  for (let count = 0; count < load.smallJobs; count++) {
    const at = Math.round(random() * load.submitUntil);
    const shape = { members: 1, accelerators: pick(SMALL_SIZES) };
    jobs.push(createJob(fields, pick(big).name, at, shape, SMALL_RUN_TIME));
  }
  for (let count = 0; count < load.largeGangs; count++) {
    const at = Math.round(
      (count + random() * 0.5) * load.submitUntil / load.largeGangs,
    );
    const shape = pick(LARGE_GANGS);
    jobs.push(createJob(fields, pick(big).name, at, shape, LARGE_RUN_TIME));
  }
  for (const at of load.guaranteedJobTimes) {
    teams.forEach((team, index) => {
      const shape = team.guarantees[0];
      // A team asks for one shape at a time, well within its guarantee.
      if (shape) {
        jobs.push(
          createGuaranteedJob(fields, team.name, at + index * 50, shape),
        );
      }
    });
  }
  return jobs.sort((left, right) => left.at - right.at);
}

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

/** Shapes larger than a worker are gangs of whole workers. */
function createGuaranteedJob(
  fields: { deployment: Deployment; load: JobLoad; random: Random },
  team: string,
  at: Milliseconds,
  guarantee: Shape,
): TraceJob {
  const perWorker = 8;
  const members = Math.max(1, guarantee.accelerators / perWorker);
  const accelerators = Math.min(perWorker, guarantee.accelerators);
  const job = createJob(
    fields,
    team,
    at,
    { members, accelerators },
    GUARANTEED_RUN_TIME,
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
