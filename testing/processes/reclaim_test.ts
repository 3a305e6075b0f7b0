import { performance } from "node:perf_hooks";
import { request } from "undici";
import { test } from "tap";
import { shape, team, tokenDigest } from "@dragonflyledge/declare";
import { URGENT_START_TARGET } from "@dragonflyledge/model";
import { startCluster, tokenOf } from "./cluster.ts";
import type { Cluster } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const MEMBERS = 6;
const GANG_JOB = {
  class: "recipe-tuning",
  members: MEMBERS,
  perMember: { accelerators: 4, cores: 1, memoryMiB: 1024 },
  adjacency: "worker",
  idempotent: true,
  declaredRunTime: 600_000,
  command: "forever",
};
const TEAMS = [
  team({
    name: "owner-of-homes",
    tokenDigests: [tokenDigest(tokenOf("owner-of-homes"))],
    guarantees: [
      shape({ accelerators: 4, adjacency: "worker", count: MEMBERS }),
    ],
    acceleratorQuota: 24,
  }),
  team({
    name: "borrower-of-homes",
    tokenDigests: [tokenDigest(tokenOf("borrower-of-homes"))],
    guarantees: [],
    acceleratorQuota: 24,
  }),
];

/** Submits the gang job for a team and returns the identifier of the job. */
async function submitGang(
  cluster: Cluster,
  name: string,
  revocable: boolean,
): Promise<string> {
  const answer = await request(`${cluster.entries[0]!.url}/v1/jobs`, {
    method: "POST",
    headers: { authorization: `Bearer ${tokenOf(name)}` },
    body: JSON.stringify({ ...GANG_JOB, revocable }),
    reset: true,
  });
  const body = await answer.body.json() as { id: string };
  if (answer.statusCode !== 202) throw new Error(JSON.stringify(body));
  return body.id;
}

/**
 * Returns the starts (`started` is true) or the ends of a job's members on all
 * workers, with their times.
 */
function listRecords(cluster: Cluster, job: string, started: boolean) {
  return cluster.agents.flatMap(({ id, worker }) =>
    worker.records
      .filter((one) => one.task.startsWith(`${job}.`))
      .filter((one) => (one.kind === "started") === started)
      .map(({ at, kind }) => ({ worker: id, at, kind }))
  );
}

// Guards against an owner that waits too long for its guaranteed capacity, and
// against a borrower's gang of which some members are stopped and others keep
// running.
test("an owner gets its homes back from a borrower in time", async (t) => {
  const cluster = await startCluster({
    example: "nyabugogo",
    entries: 2,
    agents: 3,
  });
  t.teardown(() => cluster.stop());
  await cluster.deploy({ ...cluster.configuration, teams: TEAMS });
  const borrower = await submitGang(cluster, "borrower-of-homes", true);
  await waitUntil("the borrower runs", 15_000, () => {
    return listRecords(cluster, borrower, true).length === MEMBERS;
  });
  const submittedAt = performance.now();
  const owner = await submitGang(cluster, "owner-of-homes", false);
  await waitUntil("the owner runs", URGENT_START_TARGET, () => {
    return listRecords(cluster, owner, true).length === MEMBERS;
  }).catch((cause: Error) => t.fail(cause.message));
  await waitUntil("the borrower ends", 15_000, () => {
    return listRecords(cluster, borrower, false).length === MEMBERS;
  });
  const starts = listRecords(cluster, owner, true);
  const ends = listRecords(cluster, borrower, false);
  const startDelay = Math.max(...starts.map((one) => one.at)) - submittedAt;
  t.ok(startDelay <= URGENT_START_TARGET, "the last member started in time");
  t.comment(`started ${Math.round(startDelay)} ms after the submission`);
  const firstStart = Math.min(...starts.map((one) => one.at));
  t.same(
    ends.filter((one) => one.at > firstStart),
    [],
    "no borrower runs when the owner starts",
  );
  t.same(ends.filter((one) => one.kind !== "stopped"), [], "all were stopped");
  for (const { worker, id } of cluster.agents) {
    t.equal(worker.tasks().length, 2, `${id} runs only the owner's members`);
  }
  showOutput(t, cluster);
});
