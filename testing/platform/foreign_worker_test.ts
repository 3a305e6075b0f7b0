import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import type { Test } from "tap";
import { startPrograms } from "./mod.ts";
import type { ProgramProcess, Programs } from "./mod.ts";
import { waitUntil } from "./wait.ts";

const START_TIMEOUT = 20_000;
const JOB_TIMEOUT = 15_000;
/** Run time of the task, longer than any disruption of the test. */
const DURATION = 5000;
/** Time in which an agent that believes a message acts on it. */
const SETTLE_TIME = 400;
const ID = "00000000000000c3";

interface Message {
  method: "PUT" | "DELETE";
  /** Id as in the path, encoded. */
  id: string;
  body?: string;
}

/** Sends a message of a worker; resolves with the status, 0 without one. */
function send(agent: ProgramProcess, message: Message): Promise<number> {
  const [host, port] = agent.heartbeatAddress.split(":");
  const path = `/instances/${message.id}`;
  const options = { host, port, method: message.method, path };
  return new Promise((resolve) => {
    request(options, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    }).on("error", () => resolve(0)).end(message.body);
  });
}

/** Starts two workers; resolves with the one that runs the job's only task. */
async function startJob(t: Test) {
  const exits: string[] = [];
  const programs = await startPrograms({
    entries: 1,
    agents: 2,
    duration: DURATION,
    onExit: (ended: ProgramProcess) => exits.push(ended.name),
  });
  t.teardown(() => programs.stop());
  const [entry] = programs.entries as [ProgramProcess];
  const job = { spec: "", steps: [{ cpu: 1000, memMb: 1, gpu: 1 }] };
  const path = `/plans/${ID}`;
  await waitUntil("the job is accepted", START_TIMEOUT, async () => {
    return (await programs.call(entry, "POST", path, job)).status === 200;
  });
  const busy = () =>
    programs.workers.findIndex(({ started }) => started.length);
  await waitUntil("the task starts", START_TIMEOUT, () => {
    return Promise.resolve(busy() >= 0);
  });
  const index = busy();
  return { programs, entry, exits, index, path };
}

/** Heartbeat as the stand-in of the worker at `index` sends it. */
function heartbeatOf(programs: Programs, index: number, fields = {}) {
  return {
    service: "planning",
    address: `127.0.0.1:${programs.agents[index]!.relays.worker!.port}`,
    zone: "zone-a",
    version: "v1",
    slots: 8,
    state: "ready",
    warmupLeftMs: 0,
    capacity: { cpu: 32_000, memMb: 131_072, gpu: 8 },
    labels: ["a", "r1-1"],
    clockMs: 50,
    born: Date.now(),
    sequence: 1_000_000,
    ...fields,
  };
}

// Guards against a task that runs twice, and an agent that ends, since somebody
// else than the agent's worker sent a heartbeat, a deregistration or an odd
// number.
test("only the agent's own worker speaks for itself", async (t) => {
  const { programs, entry, exits, index, path } = await startJob(t);
  const agent = programs.agents[index]!;
  const own = programs.workers[index]!.id();
  const put = (id: string, fields = {}): Message => ({
    method: "PUT",
    id,
    body: JSON.stringify(heartbeatOf(programs, index, fields)),
  });
  const text = (body: string): Message => ({ method: "PUT", id: own, body });
  const infinite = JSON.stringify(heartbeatOf(programs, index))
    .replace('"sequence":1000000', '"sequence":1e999');
  const messages: Message[] = [
    put("i-log-shipper", { service: "log-shipper", address: "127.0.0.1:9999" }),
    put("i-log-shipper"),
    put("i-other", { address: "127.0.0.1:9999" }),
    put("i-other", { service: "log-shipper" }),
    put("log%E2%80%93shipper"),
    put("a%0D%0Ab"),
    put("%E0%A4%A"),
    put(own),
    put(own, { service: "log-shipper" }),
    put(own, { address: "127.0.0.1:9999" }),
    put(own, { address: "127.0.0.1:99999" }),
    put(own, { born: 1e300 }),
    put(own, { born: "now" }),
    put(own, { labels: "a" }),
    put(own, { capacity: { cpu: "all" } }),
    text(infinite),
    text(infinite.replace("1e999", "-5")),
    text("[".repeat(200_000)),
    text('{"a":'.repeat(100_000)),
    { method: "DELETE", id: "i-log-shipper" },
    { method: "DELETE", id: "log%E2%80%93shipper" },
    { method: "DELETE", id: "%E0%A4%A" },
  ];
  for (const message of messages) {
    const status = await send(agent, message);
    const what = `${message.method} ${message.id} ${message.body ?? ""}`;
    t.not(status, 0, `answered: ${what.slice(0, 80)}`);
    if (message.method === "PUT") t.not(status, 200, "not acknowledged");
  }
  await sleep(SETTLE_TIME);
  t.same(exits, [], "no process has ended");
  await waitUntil("the job is completed", JOB_TIMEOUT, async () => {
    const { body } = await programs.call(entry, "GET", path);
    return body.includes("completed");
  });
  const started = programs.workers.flatMap((worker) => [...worker.started]);
  t.same(started, [`${ID}.0.0.0#1`], "the task has run once");
  const next = "00000000000000c4";
  const job = { spec: "", steps: [{ count: 12, cpu: 1, memMb: 1, gpu: 1 }] };
  await programs.call(entry, "POST", `/plans/${next}`, job);
  await waitUntil("both workers are in use", JOB_TIMEOUT, () =>
    Promise.resolve(
      programs.workers.every(({ listRuns }) => listRuns().length > 0),
    ));
});

// Guards against a task that runs twice since a deregistration arrives late,
// after the worker has started again under the id that it had.
test("a late deregistration does not end the present incarnation", async (t) => {
  const { programs, entry, exits, index, path } = await startJob(t);
  const agent = programs.agents[index]!;
  const id = programs.workers[index]!.id();
  t.equal(await send(agent, { method: "DELETE", id }), 200);
  await waitUntil("the job is completed", JOB_TIMEOUT, async () => {
    const { body } = await programs.call(entry, "GET", path);
    return body.includes("completed");
  });
  const started = programs.workers.flatMap((worker) => [...worker.started]);
  t.same(started, [`${ID}.0.0.0#1`], "the task has run once");
  t.same(exits, [], "no process has ended");
});
