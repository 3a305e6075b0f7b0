import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import type { Test } from "tap";
import { SLOWEST_CLOCK_RATE, startWorker } from "./mod.ts";
import type { WorkerServer } from "./mod.ts";
import { waitUntil } from "./wait.ts";

/** Time in ms in which a call arrives. */
const LIMIT = 5000;
/** Longest lease in ms of the worker's clock. */
const LONGEST_LEASE = 10_000;
/** Time in ms after which a run on the worker would be done. */
const DURATION = 60_000;

async function start(t: Test, clockRate?: number): Promise<WorkerServer> {
  const worker = await startWorker({
    id: "i-0",
    service: "planning",
    duration: DURATION,
    clockRate,
  });
  t.teardown(() => worker.stop());
  return worker;
}

/** Calls the worker, and returns the body of its answer. */
async function call(
  { address }: WorkerServer,
  path: string,
  body: Record<string, unknown>,
) {
  const response = await fetch(`http://${address}${path}`, {
    method: "POST",
    headers: { "Expected-Instance": "i-0-1" },
    body: JSON.stringify({ fencingToken: 1, lastSeen: 0, ...body }),
  });
  const answer = await response.json() as { clockMs: number; born: number };
  return { status: response.status, ...answer };
}

const startTask = (worker: WorkerServer, untilMs: number) =>
  call(worker, "/run-start", { task: "a.0.0.0", run: 1, untilMs });

// Guards against a stand-in whose returned worker keeps something of its former
// incarnation, or refuses what that one was told.
test("a worker that returns under its id holds nothing and gets the calls that waited", async (t) => {
  const worker = await start(t);
  const before = await call(worker, "/hold", { fencingToken: 5 });
  const untilMs = before.clockMs + LONGEST_LEASE;
  await call(worker, "/run-start", {
    task: "a.0.0.0",
    run: 1,
    untilMs,
    fencingToken: 5,
  });
  worker.halt();
  t.same(worker.listRuns(), []);
  const waiting = startTask(worker, untilMs);
  const isLate = () => worker.lateCalls.length === 1;
  await waitUntil(
    "the call waits",
    LIMIT,
    () => Promise.resolve(worker.waitingCalls.length === 1),
  );
  let deliver = () => {};
  const callsAfter = new Promise<void>((resolve) => deliver = resolve);
  worker.restart({ callsAfter });
  t.equal(worker.id(), "i-0-1");
  const after = await call(worker, "/hold", {});
  t.match(after, { status: 200, running: [], ended: [] });
  t.ok(after.born >= before.born);
  t.ok(after.clockMs < before.clockMs, "its clock began anew");
  t.notOk(isLate(), "the call waits for longer");
  deliver();
  t.equal((await waiting).status, 200, "neither fence nor run number is kept");
  t.ok(isLate());
  t.same(worker.started, ["a.0.0.0#1", "a.0.0.0#1"]);
});

// Guards against a stand-in whose leases last longer or shorter than those of
// the slowest worker.
test("a lease lasts no longer than the longest, on a slow clock", async (t) => {
  const worker = await start(t, SLOWEST_CLOCK_RATE);
  const startedAt = performance.now();
  const { clockMs } = await call(worker, "/hold", {});
  await startTask(worker, clockMs + 10 * LONGEST_LEASE);
  t.equal(worker.listRuns().length, 1);
  await sleep(LONGEST_LEASE);
  t.equal(worker.listRuns().length, 1);
  await waitUntil(
    "the run has ended",
    LIMIT,
    () => Promise.resolve(worker.listRuns().length === 0),
  );
  t.ok(performance.now() - startedAt >= LONGEST_LEASE / SLOWEST_CLOCK_RATE);
});
