import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { createWorkerServer } from "@dragonflyledge/fakes";
import type { WorkerServer } from "@dragonflyledge/fakes";
import { GANG_LEASE } from "@dragonflyledge/model";
import type {
  AgentEvent,
  Clock,
  MemberReport,
  TaskId,
} from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { createWorkerClient } from "./worker_client.ts";

const TASK: TaskId = { run: { job: "job-1", epoch: 1 }, member: 0 };

/**
 * Starts a fake worker, and a client whose next event `next` returns, other than
 * one of usage.
 */
async function open(clock: Clock = createSystemClock()) {
  const worker = await createWorkerServer();
  return { worker, ...createClient(worker.url, clock) };
}

function createClient(url: string, clock: Clock = createSystemClock()) {
  const waiting: ((event: AgentEvent) => void)[] = [];
  const client = createWorkerClient({
    url,
    clock,
    timer: createSystemTimer(),
    dispatch: (event) => {
      if (event.kind !== "usage") waiting.shift()?.(event);
    },
    observer: { log: () => {}, count: () => {} },
  });
  const next = () =>
    new Promise<AgentEvent>((resolve) => waiting.push(resolve));
  return { client, next };
}

const START = {
  kind: "startTask",
  task: TASK,
  report: {} as MemberReport,
  perMember: { accelerators: 1, cores: 1, memoryMiB: 1 },
  command: "forever",
  lease: 10_000,
} as const;

// Guards against a member that never ends because the worker no longer knows
// its task.
test("a stopped task that the worker does not know is reported as ended", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  const ended = next();
  client.perform({ kind: "stopTask", task: TASK });
  t.match(await ended, { kind: "taskEnded", ending: "stopped" });
});

// Guards against a running task that is stopped and reported as failed because
// the answer to its start was lost.
test("a task that already runs is reported as started", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  for (const round of ["first", "repeated"]) {
    const started = next();
    client.perform(START);
    t.match(await started, { kind: "taskStarted" }, round);
  }
  t.equal(worker.tasks().length, 1);
});

// Guards against a gang that starts elsewhere while its members still run here:
// an agent that knows no members counts as proof that none is left.
test("tasks of a worker that answers late are found", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  const started = next();
  client.perform(START);
  await started;
  worker.faults.hang = true;
  const found = client.findTasks();
  setTimeout(() => worker.faults.hang = false, 1000);
  t.equal((await found).length, 1);
});

// Guards against an agent that serves no requests as long as its worker hangs.
test("the start waits for a silent worker until all leases have lapsed", async (t) => {
  let now = 0;
  const clock = { now: () => now, date: () => new Date() };
  const { worker, client } = await open(clock);
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  worker.faults.hang = true;
  const found = client.findTasks();
  setTimeout(() => now = 2 * GANG_LEASE, 500);
  t.same(await found, []);
});

// Guards against a task that outlives the time by which entries count a lapsed
// gang as ended, since a repeated call granted the whole lease anew.
test("a repeated renewal extends the lease no further than the first", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  const started = next();
  client.perform(START);
  await started;
  const first = worker.tasks()[0]!.leaseMs;
  worker.faults.hang = true;
  client.perform({ kind: "renewTask", task: TASK, lease: 9000 });
  setTimeout(() => worker.faults.hang = false, 500);
  while (worker.tasks()[0]!.leaseMs === first) await sleep(50);
  t.ok(worker.tasks()[0]!.leaseMs <= 9000 - 500);
});

// Guards against the same with a start.
test("a repeated start extends the lease no further than the first", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  worker.faults.hang = true;
  const started = next();
  client.perform(START);
  setTimeout(() => worker.faults.hang = false, 500);
  await started;
  t.ok(worker.tasks()[0]!.leaseMs <= START.lease - 500);
});

// Guards against a renewal that is sent after the gang's lease has lapsed.
test("a renewal is not repeated after its lease has lapsed", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  const started = next();
  client.perform(START);
  await started;
  const first = worker.tasks()[0]!.leaseMs;
  worker.faults.hang = true;
  client.perform({ kind: "renewTask", task: TASK, lease: 1000 });
  setTimeout(() => worker.faults.hang = false, 500);
  await sleep(4000);
  t.equal(worker.tasks()[0]!.leaseMs, first);
});

/** Starts a fake worker again at the port of a former one, without its tasks. */
async function restart(worker: WorkerServer): Promise<WorkerServer> {
  await worker.stop();
  return await createWorkerServer({ port: worker.port });
}

// Guards against a job that never ends: a worker that starts again numbers its
// ends anew, below those that the agent has already got from its former life.
test("ends of a worker that started again are reported", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => client.close());
  client.watch();
  for (let round = 0; round < 3; round++) {
    const started = next();
    client.perform({ ...START, command: "run 100" });
    t.match(await started, { kind: "taskStarted" });
    t.match(await next(), { kind: "taskEnded", ending: "finished" });
  }
  const successor = await restart(worker);
  t.teardown(() => successor.stop());
  const started = next();
  client.perform({ ...START, command: "run 100" });
  t.match(await started, { kind: "taskStarted" });
  const ended = next();
  await sleep(300);
  client.perform({ kind: "renewTask", task: TASK, lease: 10_000 });
  t.match(await ended, { kind: "taskEnded", ending: "finished" });
});

// Guards against a gang that goes on without a member.
test("a task that the worker lost when it started again is reported as ended", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => client.close());
  const started = next();
  client.perform(START);
  await started;
  const successor = await restart(worker);
  t.teardown(() => successor.stop());
  const ended = next();
  client.perform({ kind: "renewTask", task: TASK, lease: 10_000 });
  t.match(await ended, { kind: "taskEnded", ending: "stopped" });
});

// Guards against a member that counts as stopped and starts after that.
test("a stop that overtakes a start proves nothing", async (t) => {
  const { worker, client, next } = await open();
  t.teardown(() => worker.stop());
  t.teardown(() => client.close());
  worker.faults.hang = true;
  const first = next();
  client.perform(START);
  await sleep(100);
  worker.faults.hang = false;
  client.perform({ kind: "stopTask", task: TASK });
  t.match(await first, { kind: "taskStarted" });
});

// Guards against a gang that starts elsewhere beside a member whose start was
// not answered, and neither were the stops that followed.
test("a start is not reported as failed while its task may run", async (t) => {
  const server = createServer((request) => request.socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const { client, next } = createClient(`http://127.0.0.1:${port}`);
  t.teardown(() => client.close());
  const begun = performance.now();
  const ended = next();
  client.perform({ ...START, lease: 1000 });
  t.match(await ended, { kind: "taskEnded", ending: "failed" });
  t.ok(performance.now() - begun >= 1000);
});
