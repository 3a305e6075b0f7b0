import { request } from "undici";
import { test } from "tap";
import { createCallers } from "./callers.ts";
import type { RequestTemplate } from "./callers.ts";
import { startCluster, tokenOf } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const SEED = 11;

const REQUEST_TEMPLATES: RequestTemplate[] = [
  { team: "fry-floor", class: "shift-plan", runMs: 20 },
  { team: "dispatch", class: "shift-plan", runMs: 50, idempotent: true },
  { team: "quality-lab", class: "image-batch", runMs: 300 },
  { team: "quality-lab", class: "image-batch", runMs: 300, idempotent: true },
];

const GANG_JOB = {
  class: "recipe-tuning",
  members: 4,
  perMember: { accelerators: 4, cores: 8, memoryMiB: 16384 },
  adjacency: "rack",
  revocable: true,
  idempotent: true,
  declaredRunTime: 1500,
  command: "run 1500",
};

// Guards against wrong results for callers when an entry and an agent are
// killed under load.
test("callers get true results when processes are killed", async (t) => {
  const cluster = await startCluster({
    example: "nyabugogo",
    entries: 2,
    agents: 3,
    // The guarantees of the example need 72 accelerators.
    accelerators: 32,
  });
  t.teardown(() => cluster.stop());
  t.comment(`seed ${SEED}`);
  const { entries, agents } = cluster;
  const callers = createCallers(cluster);
  await cluster.deploy();

  let loading = true;
  const load = callers.generateLoad({
    seed: SEED,
    callers: 12,
    kinds: REQUEST_TEMPLATES,
    done: () => !loading,
  });
  const waitUntilSent = (count: number) =>
    waitUntil(`${count} requests were sent`, 20_000, () => {
      return callers.sent.length >= count;
    });
  const headers = { authorization: `Bearer ${tokenOf("recipe-tuning")}` };
  const answer = await request(`${entries[0]!.url}/v1/jobs`, {
    method: "POST",
    headers,
    body: JSON.stringify(GANG_JOB),
  });
  const { id } = await answer.body.json() as { id: string };
  t.equal(answer.statusCode, 202);
  await waitUntilSent(50);
  await cluster.kill(agents[0]!);
  await cluster.kill(entries[0]!);
  await waitUntilSent(150);
  const jobState = async () => {
    const answer = await request(`${entries[1]!.url}/v1/jobs/${id}`, {
      headers,
    });
    return (await answer.body.json() as { state: string }).state;
  };
  // Another entry takes over after the lease has expired and a margin has
  // passed; then the gang runs.
  await waitUntil("the gang job ends", 40_000, async () => {
    return await jobState() === "succeeded";
  });
  cluster.restart(agents[0]!);
  cluster.restart(entries[0]!);
  await cluster.waitUntilReady();
  await waitUntilSent(callers.sent.length + 50);
  loading = false;
  await load;
  t.same(callers.findContradictions(), []);
  t.comment(JSON.stringify(callers.outcomes()));

  const work: RequestTemplate = { ...REQUEST_TEMPLATES[0]!, key: "plan-1" };
  const first = await callers.send(work, 0);
  const second = await callers.repeatElsewhere(first, work);
  t.equal(first.tries[0]!.outcome, "done");
  t.equal(second.outcome, "done");
  t.equal(second.body, first.body, "the repeat gets the first answer");
  t.same(callers.findContradictions(), [], "the repeat does not run again");
  showOutput(t, cluster);
});
