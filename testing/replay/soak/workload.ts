/**
 * Random requests and jobs that a soak sends to its cluster.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { JobSpec, Random, Team } from "@dragonflyledge/model";
import type { Cluster } from "../cluster/mod.ts";
import { sendRequest, submitJob } from "../replay.ts";

/** Sends requests and submits jobs to one cluster. */
export interface Workload {
  /** Sends a random request, or repeats the last one with a key. */
  request(): void;
  /** Submits a random job. */
  job(): void;
  /**
   * Submits long revocable jobs for each team up to its accelerator quota, less
   * the accelerators it is guaranteed.
   */
  borrowAll(): void;
  /**
   * Submits an urgent job of each team for one instance of each shape that it
   * is guaranteed. These jobs must start in time.
   */
  claimGuarantees(): void;
}

/** Run times of requests, in milliseconds, before a random factor. */
const RUN_TIMES = [5, 50, 200, 1000, 4000];
/** Time from sending a request to its deadline, in milliseconds. */
const DEADLINES = [500, 2 * SECOND, 10 * SECOND];
/** Run times of jobs, in milliseconds, before a random factor. */
const JOB_RUN_TIMES = [500, 3000, 10_000];
/** Numbers of members and of accelerators for each member. */
const GANG_SIZES = [[1, 1], [1, 2], [2, 4], [4, 2], [3, 8], [8, 1]] as const;
/** Share of new requests that carry an idempotency key. */
const KEY_SHARE = 0.3;
/** Share of requests that repeat the last one with a key. */
const REPEAT_SHARE = 0.3;
/** Run time of a job that borrows accelerators, in milliseconds. */
const BORROWED_RUN_TIME = 60 * SECOND;
/** Accelerators of a job that borrows them. */
const BORROWED_ACCELERATORS = 4;

/** Counts the accelerators that a team is guaranteed. */
function guaranteed(team: Team): number {
  return team.guarantees.reduce(
    (sum, shape) => sum + shape.accelerators * shape.count,
    0,
  );
}

/** Creates the workload of a cluster. */
export function createWorkload(fields: {
  cluster: Cluster;
  random: Random;
}): Workload {
  const { cluster, random } = fields;
  const { configuration } = cluster.deployment;
  let requests = 0;
  let jobs = 0;
  let keys = 0;
  const pick = <Item>(list: readonly Item[]) =>
    list[Math.floor(random() * list.length)]!;
  type Request = Parameters<typeof sendRequest>[1];
  let keyed: Request | undefined;

  function newRequest(): Request {
    const key = random() < KEY_SHARE ? `k${keys++}` : undefined;
    const request: Request = {
      at: cluster.heap.now,
      team: pick(configuration.teams).name,
      class: pick(configuration.classes).name,
      runTime: pick(RUN_TIMES) * (0.5 + random()),
      deadline: pick(DEADLINES),
      idempotent: random() < 0.5,
      client: 0,
      key,
    };
    if (key !== undefined) keyed = request;
    return request;
  }

  function submit(spec: JobSpec, owner: boolean, runTime: number): void {
    const at = cluster.heap.now;
    submitJob(cluster, { at, spec, runTime, owner }, jobs++);
  }

  function spec(changes: Partial<JobSpec>, accelerators: number): JobSpec {
    return {
      team: pick(configuration.teams).name,
      class: pick(configuration.classes).name,
      members: 1,
      perMember: { accelerators, cores: accelerators, memoryMiB: 1024 },
      adjacency: "any",
      revocable: true,
      idempotent: random() < 0.7,
      declaredRunTime: pick(JOB_RUN_TIMES),
      command: "train",
      ...changes,
    };
  }

  return {
    request() {
      const repeat = keyed !== undefined && random() < REPEAT_SHARE;
      sendRequest(cluster, repeat ? keyed! : newRequest(), requests++);
    },
    job() {
      const [members, accelerators] = pick(GANG_SIZES);
      const revocable = random() < 0.8;
      const runTime = pick(JOB_RUN_TIMES) * (0.5 + random());
      submit(spec({ members, revocable }, accelerators), false, runTime);
    },
    borrowAll() {
      const deferrable = configuration.classes.find((each) => !each.urgent)!;
      const changes = { class: deferrable.name, idempotent: true };
      for (const team of cluster.store.contents.configuration.teams) {
        // A team that borrows its whole quota has none left for the job that
        // claims its own guarantee.
        const { acceleratorQuota: quota, name } = team;
        for (
          let left = quota - guaranteed(team);
          left >= BORROWED_ACCELERATORS;
        ) {
          const own = spec({ ...changes, team: name }, BORROWED_ACCELERATORS);
          submit(own, false, BORROWED_RUN_TIME);
          left -= BORROWED_ACCELERATORS;
        }
      }
    },
    claimGuarantees() {
      const urgent = configuration.classes.find((each) => each.urgent)!;
      const { teams } = cluster.store.contents.configuration;
      for (const team of teams) {
        for (const shape of team.guarantees) {
          const members = Math.max(1, shape.accelerators / 8);
          const changes = {
            team: team.name,
            class: urgent.name,
            members,
            adjacency: shape.adjacency,
            revocable: false,
          };
          const accelerators = shape.accelerators / members;
          submit(spec(changes, accelerators), true, SECOND);
        }
      }
    },
  };
}
