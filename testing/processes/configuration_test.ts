import { test } from "tap";
import type { Configuration } from "@dragonflyledge/model";
import { CONFIGURATION_TARGET } from "@dragonflyledge/model";
import { startCluster } from "./cluster.ts";
import type { Cluster } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const POLL_INTERVAL = 50;

/**
 * Polls the configuration versions of all entries and workers, and records each
 * version that is lower than an earlier one of the same process.
 */
function watchVersions(cluster: Cluster) {
  const highest = new Map<string, number>();
  const reverted: string[] = [];
  let stopped = false;

  function record(name: string, version: number): void {
    const previous = highest.get(name) ?? 0;
    // A process that has just started knows no version yet.
    if (version === 0) return;
    if (version < previous) reverted.push(`${name}: ${previous} to ${version}`);
    highest.set(name, Math.max(previous, version));
  }

  async function run(): Promise<void> {
    while (!stopped && !cluster.stopped()) {
      for (const entry of cluster.entries) {
        const status = await cluster.status(entry).catch(() => undefined);
        if (!status) continue;
        record(entry.id, status.versions.configuration);
        for (const one of status.workers) {
          record(`${one.worker} at ${entry.id}`, one.configuration);
        }
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
    }
  }

  const running = run();
  return {
    reverted,
    stop: () => {
      stopped = true;
      return running;
    },
  };
}

/**
 * Waits until the version is in force at all entries and workers. Throws after
 * `limit` milliseconds, with the versions seen and the start times.
 */
async function waitUntilInForce(
  cluster: Cluster,
  version: number,
  limit = CONFIGURATION_TARGET,
): Promise<void> {
  let seen = "";
  await waitUntil(`version ${version} is in force`, limit, async () => {
    const statuses = await Promise.all(cluster.entries.map(cluster.status))
      .catch(() => []);
    seen = JSON.stringify(statuses.map((one) => [
      one.versions.configuration,
      ...one.workers.map((worker) => worker.configuration),
    ]));
    return statuses.length > 0 &&
      statuses.every((one) =>
        one.versions.configuration === version &&
        one.workers.length === cluster.agents.length &&
        one.workers.every((worker) =>
          worker.state !== "lost" && worker.configuration === version
        )
      );
  }).catch((cause) => {
    const starts = [...cluster.entries, ...cluster.agents]
      .map((node) =>
        `${node.id} ${node.process.firstOutputDelay?.toFixed()} ms`
      );
    throw new Error(`${cause.message}; versions ${seen}; starts ${starts}`);
  });
}

/** Returns the configuration with another weight of the first team. */
function withWeight(base: Configuration, weight: number): Configuration {
  const [first, ...others] = base.teams;
  return { ...base, teams: [{ ...first!, weight }, ...others] };
}

// Guards against a configuration version that reaches a process late or never,
// or that is replaced by an older version.
test("a configuration is in force everywhere and never reverts", async (t) => {
  const cluster = await startCluster({
    example: "nyabugogo",
    entries: 3,
    agents: 4,
    accelerators: 24,
  });
  t.teardown(() => cluster.stop());
  const { entries, agents, store, configuration } = cluster;
  await cluster.deploy();
  const watch = watchVersions(cluster);
  const submit = async (version: number) => {
    const document = withWeight(configuration, version);
    const result = await cluster.submit(document, version - 1);
    t.equal(result.code, 0, result.output);
    await waitUntilInForce(cluster, version);
  };
  await submit(2);

  const subset = [entries[0]!, agents[0]!, agents[1]!];
  const endings = await Promise.all(
    subset.map((node) => cluster.stopGracefully(node)),
  );
  t.ok(endings.every((ending) => ending.code === 0), "all stopped gracefully");
  subset.forEach(cluster.restart);
  await cluster.waitUntilReady();
  await submit(3);

  await Promise.all([entries[1]!, entries[2]!, agents[2]!].map(cluster.kill));
  [entries[1]!, entries[2]!, agents[2]!].forEach(cluster.restart);
  await cluster.waitUntilReady();
  await submit(4);

  store.faults.down = true;
  await cluster.kill(entries[0]!);
  await cluster.kill(agents[3]!);
  cluster.restart(entries[0]!);
  cluster.restart(agents[3]!);
  await cluster.answers(entries[0]!);
  // The store is down, so the restarted entry gets the version from the agents,
  // which know its address. They dial it at intervals of up to 2 s, which are
  // added to the target. The target counts from when the restarted processes
  // run.
  await waitUntilInForce(cluster, 4, CONFIGURATION_TARGET + 2000);
  const refused = await cluster.submit(
    withWeight(configuration, 9),
    4,
  );
  t.not(refused.code, 0, "no submission is accepted without the store");
  t.match(refused.output, /the store/);
  store.faults.down = false;
  await cluster.waitUntilReady();
  await submit(5);

  const race = await Promise.all([
    cluster.submit(withWeight(configuration, 6), 5, {
      operator: "operator-1",
      at: [entries[0]!],
    }),
    cluster.submit(withWeight(configuration, 7), 5, {
      operator: "operator-2",
      at: [entries[1]!],
    }),
  ]);
  t.same(race.map((one) => one.code).sort(), [0, 4], "one of two wins");
  const winner = race.findIndex((one) => one.code === 0);
  const output = race[1 - winner]!.output;
  t.match(
    output,
    new RegExp(`version 6 by operator-${winner + 1} is in force`),
  );
  t.match(output, /weight/, "the loser is told what differs");
  await waitUntilInForce(cluster, 6);
  await watch.stop();
  t.same(watch.reverted, []);
  showOutput(t, cluster);
});
