/**
 * Random requests and jobs.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { JobSpec, Random, Team } from "@dragonflyledge/model";
import type { Cluster } from "../cluster/mod.ts";
import { sendRequest, submitJob } from "../replay.ts";

/** Sends random work. */
export interface Workload {
  request(): void;
  job(): void;
  /** Fills the accelerators with revocable jobs beyond all guarantees. */
  borrowAll(): void;
  /** Every team asks for one instance of each shape it is guaranteed. */
  claimGuarantees(): void;
}

const RUN_TIMES = [5, 50, 200, 1000, 4000];
const DEADLINES = [500, 2 * SECOND, 10 * SECOND];
const JOB_RUN_TIMES = [500, 3000, 10_000];
const GANG_SIZES = [[1, 1], [1, 2], [2, 4], [4, 2], [3, 8], [8, 1]] as const;
const KEY_SHARE = 0.3;
const REPEAT_SHARE = 0.3;
const BORROWED_RUN_TIME = 60 * SECOND;
const BORROWED_ACCELERATORS = 4;

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
        // A team that borrows its whole quota leaves nothing for its own home.
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
