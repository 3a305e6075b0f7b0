import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import { test } from "tap";
import type { Test } from "tap";
import { createConfiguration, startPrograms } from "./mod.ts";
import type { ProgramProcess, Programs } from "./mod.ts";
import { holdsWithin, waitUntil } from "./wait.ts";

const START_TIMEOUT = 20_000;
/** Bound until a configuration is in force, in milliseconds. */
const CONFIGURATION_BOUND = 3000;
/** Longest time in ms to read one copy over the slowest link of these tests. */
const LATE_BOUND = 20_000;
/** Queues of a large configuration, which has 330 kB, or 440 kB in base64. */
const IDLE_QUEUES = 1500;
/** Bytes per second of a link that carries one copy in 0.4 s. */
const SLOW = 1_000_000;
/** The same for one that takes longer than CONFIGURATION_BOUND. */
const VERY_SLOW = 120_000;
/** Time for which the store is away for an entry, in milliseconds. */
const OUTAGE = 4000;
/** Versions written meanwhile. */
const LAST_VERSION = 8;
/** Time over which answers are watched, in milliseconds. */
const WATCH_TIME = 6000;
const POLL_INTERVAL = 50;

async function start(t: Test, entries: number): Promise<Programs> {
  const programs = await startPrograms({
    entries,
    agents: 1,
    duration: 100,
    settings: [`bounds.configApplyMs=${CONFIGURATION_BOUND}`],
  });
  t.teardown(() => programs.stop());
  for (const entry of programs.entries) {
    await waitUntil(`${entry.name} answers`, START_TIMEOUT, async () => {
      return await askFor(programs, entry, "plans") === 200;
    });
  }
  programs.store.put("op/config", createConfiguration(2, IDLE_QUEUES));
  for (const entry of programs.entries) {
    await waitUntil(`${entry.name} has version 2`, START_TIMEOUT, async () => {
      return await askFor(programs, entry, "v2") === 200;
    });
  }
  return programs;
}

/** Asks an entry for the pending jobs of a queue; returns the status. */
async function askFor(
  { call }: Programs,
  entry: ProgramProcess,
  queue: string,
): Promise<number> {
  return (await call(entry, "GET", `/${queue}/`)).status;
}

/** Whether an entry has noticed an outage of the store, and its end. */
function hasRecovered({ lines }: ProgramProcess): boolean {
  return lines.some((line) =>
    line.includes("The store answers again.") && line.includes('"jobs"')
  );
}

/**
 * Writes versions while the store is away for one entry; returns once the entry
 * follows the jobs again.
 */
async function changeWhileAway(
  { store }: Programs,
  entry: ProgramProcess,
): Promise<void> {
  const { relays } = entry;
  relays.store.silence();
  relays.store.mute(true);
  for (let version = 3; version <= LAST_VERSION; version++) {
    await sleep(OUTAGE / (LAST_VERSION - 2));
    store.put("op/config", createConfiguration(version, IDLE_QUEUES));
  }
  relays.store.mute(false);
  relays.store.cut();
  await waitUntil(
    "the entry follows the jobs",
    START_TIMEOUT,
    () => Promise.resolve(hasRecovered(entry)),
  );
}

/** Returns the versions that came into force at an entry, in order. */
function versionsInForce(entry: ProgramProcess): number[] {
  return entry.lines.filter((line) => line.includes("Configuration in force."))
    .map((line) => Number(JSON.parse(line).version));
}

/** Statuses of an entry's answers about the newest queue for WATCH_TIME. */
async function watchAnswers(
  programs: Programs,
  entry: ProgramProcess,
): Promise<Set<number>> {
  const seen = new Set<number>();
  const end = performance.now() + WATCH_TIME;
  while (performance.now() < end) {
    seen.add(await askFor(programs, entry, `v${LAST_VERSION}`));
    await sleep(POLL_INTERVAL);
  }
  return seen;
}

// Guards against an entry that reads all missed versions, each time more, and
// answers by an old one until the store has dropped its history.
test("versions written while the store is away leave an entry behind", async (t) => {
  const programs = await start(t, 2);
  const entry = programs.entries[0]!;
  entry.relays.store.limitSpeed(SLOW);
  await changeWhileAway(programs, entry);
  const inForce = await holdsWithin(
    CONFIGURATION_BOUND,
    () => Promise.resolve(versionsInForce(entry).includes(LAST_VERSION)),
  );
  t.ok(inForce, `in force: ${versionsInForce(entry).join(", ")}`);
  t.same([...await watchAnswers(programs, entry)], [200]);
});

// Guards against an entry that refuses by an old version what a newer one
// allows, while it reads the newer one, and against one that never reads it.
test("an entry refuses requests by a version that it can't confirm", async (t) => {
  const programs = await start(t, 2);
  const entry = programs.entries[0]!;
  entry.relays.store.limitSpeed(VERY_SLOW);
  await changeWhileAway(programs, entry);
  t.notOk((await watchAnswers(programs, entry)).has(404));
  const inForce = await holdsWithin(
    LATE_BOUND,
    () => Promise.resolve(versionsInForce(entry).includes(LAST_VERSION)),
  );
  const versions = versionsInForce(entry);
  t.ok(inForce, `in force: ${versions.join(", ")}`);
  t.same(versions, [...versions].sort((a, b) => a - b), "none came back");
});

// Guards against an entry that can't list a large configuration after a start.
test("a started entry has no configuration, since its link is slow", async (t) => {
  const programs = await start(t, 1);
  const entry = programs.entries[0]!;
  entry.relays.store.limitSpeed(VERY_SLOW);
  entry.child.kill("SIGKILL");
  await once(entry.child, "exit");
  entry.start();
  const answers = await holdsWithin(
    LATE_BOUND,
    async () => await askFor(programs, entry, "v2") === 200,
  );
  t.ok(answers, `in force: ${versionsInForce(entry).join(", ")}`);
});
