import { performance } from "node:perf_hooks";
import { test } from "tap";
import { LEAVING_TARGET } from "@dragonflyledge/model";
import { createCallers } from "./callers.ts";
import type { RequestTemplate } from "./callers.ts";
import { startCluster } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const SEED = 51;
const SHORT_REQUEST: RequestTemplate = {
  team: "fry-floor",
  class: "shift-plan",
  runMs: 20,
};
/**
 * Another long request is sent after every 25 checks, which is half a second,
 * until one runs at the leaving agent.
 */
const CHECKS_PER_SEND = 25;
/** Its answer is too large for the buffers of a connection. */
const LONG_REQUEST: RequestTemplate = {
  ...SHORT_REQUEST,
  runMs: 6000,
  deadline: 20_000,
  size: 2_000_000,
};

// Guards against a stopping process that is sent new requests or aborts those
// that it runs.
test("a leaving agent gets no new work and finishes the old", async (t) => {
  const cluster = await startCluster({
    example: "nyabugogo",
    entries: 2,
    agents: 3,
    accelerators: 32,
  });
  t.teardown(() => cluster.stop());
  t.comment(`seed ${SEED}`);
  const { entries, agents, store } = cluster;
  const callers = createCallers(cluster);
  await cluster.deploy();
  let loading = true;
  const load = callers.generateLoad({
    seed: SEED,
    callers: 6,
    kinds: [SHORT_REQUEST],
    done: () => !loading,
  });
  const stopAgent = async (index: number) => {
    const long = Array.from(
      { length: 6 },
      (_, at) => callers.send(LONG_REQUEST, at),
    );
    const agent = agents[index]!;
    const { executions } = agent.endpoint;
    // Each entry distributes requests by its own counts, so the first six may
    // all run at the other two agents.
    let checks = 0;
    await waitUntil("a long request runs at the leaving agent", 5000, () => {
      if (++checks % CHECKS_PER_SEND === 0) {
        long.push(callers.send(LONG_REQUEST, long.length));
      }
      return executions.some((one) =>
        one.ended === undefined && one.body.includes("6000")
      );
    }).catch((cause) => {
      const seen = agents.map(({ id, endpoint }) => {
        const found = endpoint.executions
          .filter((one) => one.body.includes("6000"));
        const ended = found.filter((one) => one.ended !== undefined);
        return `${id}: ${found.length} begun, ${ended.length} ended`;
      });
      const outcomes = JSON.stringify(callers.outcomes());
      throw new Error(`${cause.message}; ${seen.join(", ")}; ${outcomes}`);
    });
    agent.process.signal("SIGTERM");
    const signalledAt = performance.now();
    // The second signal must not abort the requests in flight.
    agent.process.signal("SIGTERM");
    const ending = await agent.process.ended(15_000);
    t.same(ending, { code: 0, signal: null });
    const late = executions.filter((one) =>
      one.started > signalledAt + LEAVING_TARGET
    );
    t.same(late, [], "no work started after the target");
    for (const one of await Promise.all(long)) {
      const last = one.tries.at(-1)!;
      t.equal(last.outcome, "done", "work in flight is answered");
      if (last.outcome === "done") continue;
      t.comment(JSON.stringify(one));
      const processes = [agent, ...entries].map(({ process }) => process);
      for (const line of processes.flatMap(({ lines }) => lines.slice(-20))) {
        t.comment(line);
      }
    }
    cluster.restart(agent);
  };
  await stopAgent(0);
  await cluster.waitUntilReady();
  store.faults.down = true;
  await stopAgent(1);
  for (const [index, entry] of entries.entries()) {
    const body = `"runMs":${2000 + index}`;
    const long = callers.send({ ...LONG_REQUEST, runMs: 2000 + index }, index);
    await waitUntil("the request runs", 5000, () => {
      return agents.some(({ endpoint }) =>
        endpoint.executions.some((one) => one.body.includes(body))
      );
    });
    entry.process.signal("SIGTERM");
    entry.process.signal("SIGTERM");
    const ending = await entry.process.ended(15_000);
    t.same(ending, { code: 0, signal: null }, `${entry.id} stops`);
    t.equal((await long).tries.at(-1)!.outcome, "done");
    cluster.restart(entry);
    await waitUntil(`${entry.id} is ready`, 15_000, () => entry.ready);
  }
  store.faults.down = false;
  await cluster.waitUntilReady();
  loading = false;
  await load;
  t.same(callers.findContradictions(), []);
  t.comment(JSON.stringify(callers.outcomes()));
  showOutput(t, cluster);
});
