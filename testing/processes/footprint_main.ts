/**
 * Measures the processor time, memory and session traffic of idle daemons in a
 * cluster of 3 entries and 11 agents.
 *
 * Usage: node testing/processes/dist/footprint_main.js [seconds]
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout } from "node:timers/promises";
import { startCluster } from "./cluster.ts";
import type { AgentNode, EntryNode } from "./cluster.ts";

const DEFAULT_SECONDS = 10;
const MEBIBYTE = 2 ** 20;

const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
const cluster = await startCluster({
  example: "nyabugogo",
  entries: 3,
  agents: 11,
});
try {
  await cluster.deploy();
  cluster.stopHealthChecks();
  await setTimeout(1000 * seconds);
  await printUsage("entries", cluster.entries);
  await printUsage("agents", cluster.agents);
} finally {
  await cluster.stop();
}

/**
 * Prints the mean and largest processor use, the largest resident memory, and
 * the mean rate of session bytes of these daemons.
 */
async function printUsage(
  name: string,
  nodes: (EntryNode | AgentNode)[],
): Promise<void> {
  const read = () => Promise.all(nodes.map((node) => node.process.usage()));
  const started = performance.now();
  const bytes = countBytes();
  const before = await read();
  await setTimeout(1000 * seconds);
  const after = await read();
  const elapsed = (performance.now() - started) / 1000;
  const used = after.map((one, index) =>
    (one.processorSeconds - before[index]!.processorSeconds) / elapsed
  );
  const mean = used.reduce((sum, one) => sum + one, 0) / nodes.length;
  const resident = Math.max(...after.map((one) => one.residentBytes));
  const rate = (countBytes() - bytes) / elapsed / nodes.length;
  console.log(
    `${name}: ${(100 * mean).toFixed(2)}% of a core (most ${
      (100 * Math.max(...used)).toFixed(2)
    }%), ${(resident / MEBIBYTE).toFixed(0)} MiB, ${
      (rate / 1000).toFixed(2)
    } kB/s of sessions`,
  );
}

/** Returns the bytes that all relays have passed in both directions. */
function countBytes(): number {
  return cluster.entries.reduce(
    (sum, { relay }) => sum + relay.bytes.toTarget + relay.bytes.toCaller,
    0,
  );
}
