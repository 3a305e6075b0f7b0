/**
 * Plays floods of misbehaving callers against one entry with default settings,
 * and prints by how much its resident memory grows.
 *
 * Usage: node testing/platform/dist/floods_main.js [factor ...]
 *
 * Each factor multiplies the size of the floods; 1 and 10 if there is none.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  bodyOfShortFields,
  bodyStoppedShort,
  pipelinedRequests,
  startFlood,
  wholeRequest,
} from "./floods.ts";
import type { FloodClient } from "./floods.ts";
import { QUEUE_HOST, TEAM_KEY } from "./configuration.ts";
import { startPrograms } from "./programs.ts";
import type { ProgramProcess } from "./programs.ts";
import { waitUntil } from "./wait.ts";

const START_TIMEOUT = 20_000;
const ANSWER_TIMEOUT = 60_000;
/** Time until the memory of a started process has settled, in ms. */
const SETTLE_TIME = 2000;
/** Time for which memory is observed after the flood was sent, in ms. */
const OBSERVED_TIME = 5000;
const KIBIBYTE = 1024;
const BODY_LIMIT = 256 * KIBIBYTE;
/** The smallest machine of an entry. */
const MACHINE = ["limits.memoryMb=210", "limits.maxFds=2212"];
/** The flags of Node in deploy/system.toml. */
const NODE_ARGUMENTS = {
  entry: ["--max-old-space-size=220", "--max-semi-space-size=2"],
  agent: ["--max-old-space-size=110", "--max-semi-space-size=2"],
};

const QUEUE = {
  path: "/plans/00000000000000ff",
  host: QUEUE_HOST,
  key: TEAM_KEY,
};
const whole = bodyOfShortFields(BODY_LIMIT);

const FLOODS: { name: string; clients: number; client: () => FloodClient }[] = [
  {
    name: "bodies one byte short",
    clients: 800,
    client: () =>
      bodyStoppedShort(QUEUE, { length: BODY_LIMIT, piece: BODY_LIMIT }),
  },
  {
    name: "the same without a queue",
    clients: 800,
    client: () =>
      bodyStoppedShort({ path: "/nowhere/1", host: QUEUE_HOST }, {
        length: BODY_LIMIT,
        piece: BODY_LIMIT,
      }),
  },
  {
    name: "60,000 pipelined requests each",
    clients: 20,
    client: () =>
      pipelinedRequests({ ...QUEUE, method: "GET", path: "/plans/" }, {
        count: 60_000,
        perPiece: 1000,
      }),
  },
  {
    name: "bodies of many short fields",
    clients: 200,
    client: () => wholeRequest(QUEUE, whole),
  },
];

/** A value of /proc/PID/status, in mebibytes. */
function memory(program: ProgramProcess, field: "VmRSS" | "VmHWM"): number {
  const status = readFileSync(`/proc/${program.child.pid}/status`, "utf8");
  const kibibytes = new RegExp(`${field}:\\s+(\\d+) kB`).exec(status)?.[1];
  return Number(kibibytes) / KIBIBYTE;
}

async function play(
  flood: typeof FLOODS[number],
  factor: number,
): Promise<string> {
  let ended = false;
  const programs = await startPrograms({
    entries: 1,
    agents: 0,
    duration: 200,
    settings: MACHINE,
    nodeArguments: NODE_ARGUMENTS,
    onExit: () => ended = true,
  });
  const [entry] = programs.entries as [ProgramProcess];
  const answers = async () =>
    (await programs.call(entry, "GET", "/plans/")).status === 200;
  await waitUntil("the entry answers", START_TIMEOUT, answers);
  await sleep(SETTLE_TIME);
  const before = memory(entry, "VmRSS");
  const started = await startFlood({
    address: entry.callerAddress,
    clients: flood.clients * factor,
    client: flood.client,
  });
  if (ended) return "the entry ended";
  await sleep(OBSERVED_TIME);
  await waitUntil("an answer", ANSWER_TIMEOUT, answers).catch(() => {});
  if (ended) return "the entry ended";
  const grown = memory(entry, "VmRSS") - before;
  const peak = memory(entry, "VmHWM") - before;
  started.close();
  await programs.stop();
  return `before ${before.toFixed(0)} MiB, growth ${grown.toFixed(0)} MiB, ` +
    `at most ${peak.toFixed(0)} MiB`;
}

const given = process.argv.slice(2).map(Number);
for (const factor of given.length > 0 ? given : [1, 10]) {
  for (const flood of FLOODS) {
    const result = await play(flood, factor);
    console.log(`${flood.clients * factor} x ${flood.name}: ${result}`);
  }
}
process.exit(0);
