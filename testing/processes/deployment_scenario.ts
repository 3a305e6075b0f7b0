/**
 * What both deployments must go through: rolling restarts, lost agents, silent
 * connections and a store that is down, all under load.
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

/** Runs the scenario at 3 entries and 11 agents. */
export async function runDeployment(fields: {
  t: Test;
  example: "nyabugogo" | "sahil";
  seed: number;
  kinds: RequestTemplate[];
  /** Time for which the store is down. */
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
  const note = (phase: string) =>
    t.comment(
      `${phase}: ${JSON.stringify(callers.countOutcomes())}`,
      JSON.stringify(callers.countRefusals()),
    );

  const restart = async (seat: EntryNode | AgentNode) => {
    const ending = await cluster.stopGracefully(seat);
    t.same(ending, { code: 0, signal: null }, `${seat.id} stops gracefully`);
    cluster.restart(seat);
  };
  for (const entry of entries) {
    await restart(entry);
    await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  }
  note("after the restart of all entries");
  for (let i = 0; i < agents.length; i += AGENTS_AT_ONCE) {
    await Promise.all(agents.slice(i, i + AGENTS_AT_ONCE).map(restart));
    await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  }
  note("after the restart of all agents");

  const lost = agents.slice(0, Math.ceil(agents.length / 3));
  await Promise.all(lost.map(cluster.kill));
  await waitUntil(
    "all entries see the loss",
    SESSION_LOSS_TIMEOUT,
    async () => {
      const shown = await Promise.all(entries.map(cluster.status));
      return shown.every(({ workers }) =>
        workers.filter((one) => one.state === "ready").length ===
          agents.length - lost.length
      );
    },
  );
  lost.forEach(cluster.restart);
  await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  note("after the loss of a third of the agents");

  await silenceSessions(cluster, entries[0]!);
  await cluster.waitUntilReady(RECOVERY_TIMEOUT);
  note("after silent connections");

  store.faults.down = true;
  const before = callers.sent.length;
  const down = performance.now();
  await silenceSessions(cluster, entries[1]!);
  await waitUntil("the outage is over", fields.outage + 5000, () => {
    return performance.now() - down >= fields.outage;
  });
  const during = callers.sent.slice(before);
  const served = during.filter((one) =>
    one.key === undefined && one.tries.at(-1)?.outcome === "done"
  );
  t.ok(served.length > 0, "requests without a key go on without the store");
  store.faults.down = false;
  note("after the outage of the store");

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
  note("at the end");
  showOutput(t, cluster);
}

/** Makes all sessions with an entry silent, and waits for their successors. */
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
