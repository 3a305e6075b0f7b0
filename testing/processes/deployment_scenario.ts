/**
 * Scenario that is run at both example deployments: rolling restarts, lost
 * agents, silent connections and an outage of the store, all under load.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { Test } from "tap";
import { createCallers } from "./callers.ts";
import type { RequestTemplate } from "./callers.ts";
import { startCluster } from "./cluster.ts";
import type { AgentNode, Cluster, EntryNode } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const CALLER_COUNT = 8;
const AGENTS_AT_ONCE = 3;
const SESSION_LOSS_TIMEOUT = 10_000;
const RECOVERY_TIMEOUT = 30_000;

/**
 * Runs the scenario with 3 entries and 11 agents, and checks that no result that
 * a caller got contradicts the records of the endpoints.
 */
export async function runDeployment(fields: {
  t: Test;
  example: "nyabugogo" | "sahil";
  seed: number;
  /** Requests that callers choose from at random. */
  kinds: RequestTemplate[];
  /** Milliseconds for which the store is down. */
  outage: number;
}): Promise<void> {
  const { t, seed, kinds } = fields;
  const cluster = await startCluster({ ...fields, entries: 3, agents: 11 });
  t.teardown(() => cluster.stop());
  t.comment(`seed ${seed}`);
  const { entries, agents, store } = cluster;
  const callers = createCallers(cluster);
  await cluster.deploy();
  let loading = true;
  const done = () => !loading;
  const load = callers.generateLoad({
    seed,
    callers: CALLER_COUNT,
    kinds,
    done,
  });
  const logCounts = (phase: string) =>
    t.comment(
      `${phase}: ${JSON.stringify(callers.outcomes())}`,
      JSON.stringify(callers.countRefusals()),
    );

  const restart = async (node: EntryNode | AgentNode) => {
    const ending = await cluster.stopGracefully(node);
    t.same(ending, { code: 0, signal: null }, `${node.id} stops gracefully`);
    cluster.restart(node);
  };
  for (const entry of entries) {
    await restart(entry);
    await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  }
  logCounts("after the restart of all entries");
  for (let i = 0; i < agents.length; i += AGENTS_AT_ONCE) {
    await Promise.all(agents.slice(i, i + AGENTS_AT_ONCE).map(restart));
    await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  }
  logCounts("after the restart of all agents");

  const lost = agents.slice(0, Math.ceil(agents.length / 3));
  await Promise.all(lost.map(cluster.kill));
  await waitUntil(
    "all entries see the lost agents",
    SESSION_LOSS_TIMEOUT,
    async () => {
      const statuses = await Promise.all(entries.map(cluster.status));
      return statuses.every(({ workers }) =>
        workers.filter((one) => one.state === "ready").length ===
          agents.length - lost.length
      );
    },
  );
  lost.forEach(cluster.restart);
  await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  logCounts("after the loss of a third of the agents");

  await silenceSessions(cluster, entries[0]!);
  await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  logCounts("after silent connections");

  store.faults.down = true;
  const before = callers.sent.length;
  const downSince = performance.now();
  await silenceSessions(cluster, entries[1]!);
  await waitUntil("the outage is over", fields.outage + 5000, () => {
    return performance.now() - downSince >= fields.outage;
  });
  const during = callers.sent.slice(before);
  const served = during.filter((one) =>
    one.key === undefined && one.tries.at(-1)?.outcome === "done"
  );
  t.ok(served.length > 0, "requests without a key go on without the store");
  store.faults.down = false;
  logCounts("after the outage of the store");

  await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  loading = false;
  await load;
  for (const [index] of entries.entries()) {
    const key = `last-${index}`;
    for (const work of [kinds[0]!, { ...kinds[0]!, key }]) {
      const one = await callers.send(work, index);
      t.equal(one.tries.at(-1)!.outcome, "done", "new requests succeed");
    }
  }
  t.same(callers.findContradictions(), []);
  logCounts("at the end");
  showOutput(t, cluster);
}

/**
 * Stops the traffic of all sessions with an entry without closing them, and
 * waits until the agents have opened new ones.
 */
async function silenceSessions(
  cluster: Cluster,
  entry: EntryNode,
): Promise<void> {
  const { relay } = entry;
  const accepted = relay.connections.accepted;
  relay.silence();
  await waitUntil("silent sessions are replaced", SESSION_LOSS_TIMEOUT, () => {
    return relay.connections.accepted >= accepted + cluster.agents.length;
  });
}
