import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import { test } from "tap";
import type { Test } from "tap";
import { BORROWER_KEY, createConfiguration, startPrograms } from "./mod.ts";
import type { ProgramProcess, Programs } from "./mod.ts";
import { holdsWithin } from "./wait.ts";

const START_TIMEOUT = 20_000;
const CHANGE_TIMEOUT = 5000;
/** Time over which a restarted program is watched, in ms. */
const WATCH_TIME = 3000;
const POLL_INTERVAL = 20;

async function start(t: Test): Promise<Programs> {
  const programs = await startPrograms({
    entries: 2,
    agents: 2,
    duration: 100,
  });
  t.teardown(() => programs.stop());
  for (const entry of programs.entries) {
    const ready = await holdsWithin(START_TIMEOUT, async () => {
      return (await programs.call(entry, "GET", "/plans/")).status === 200;
    });
    t.ok(ready, `${entry.name} answers`);
  }
  return programs;
}

async function restart(process: ProgramProcess): Promise<void> {
  process.child.kill("SIGKILL");
  await once(process.child, "exit");
  process.start();
}

// Guards against a key that was withdrawn and is in use again after an entry
// has restarted.
test("a withdrawn key stays withdrawn after restarts of entries", async (t) => {
  const programs = await start(t);
  const { entries, call, store } = programs;
  const askAt = async (entry: ProgramProcess) =>
    (await call(entry, "GET", "/plans/", undefined, BORROWER_KEY)).status;
  t.equal(await askAt(entries[0]!), 200);
  const configuration = createConfiguration(2);
  configuration.tenants = configuration.tenants
    .filter((tenant) => !tenant.apiKeys.includes(BORROWER_KEY));
  store.put("op/config", configuration);
  for (const entry of entries) {
    const refused = await holdsWithin(
      CHANGE_TIMEOUT,
      async () => await askAt(entry) === 401,
    );
    t.ok(refused, `${entry.name} refuses the key`);
  }
  for (const entry of entries) await restart(entry);
  const seen = new Set<number>();
  const end = performance.now() + WATCH_TIME;
  while (performance.now() < end) {
    for (const entry of entries) seen.add(await askAt(entry));
    await sleep(POLL_INTERVAL);
  }
  t.notOk(seen.has(200), `answers after the restart: ${[...seen].join(", ")}`);
  t.ok(seen.has(401), "the entries have started");
});
