import { performance } from "node:perf_hooks";
import { test } from "tap";
import { Pool, request } from "undici";
import { createEndpointServer } from "./endpoint_server.ts";
import { createManualClock } from "./manual_clock.ts";
import { createRelay } from "./relay.ts";
import { until } from "./store_contract.ts";
import { createWorkerServer } from "./worker_server.ts";

/** Sends one request on a new connection. */
async function send(method: string, url: string, body?: unknown) {
  const { origin, pathname, search } = new URL(url);
  const pool = new Pool(origin);
  const answer = await pool.request({
    path: pathname + search,
    method: method as "GET",
    body: body === undefined ? undefined : JSON.stringify(body),
    headers: { "x-request-id": "r1" },
  });
  const text = await answer.body.text();
  await pool.destroy();
  return { status: answer.statusCode, text };
}

// Guards against executions that tests can't match to their requests, and
// against an answer other than the body asks for.
test("an endpoint runs, records and answers a request as its body asks", async (t) => {
  const endpoint = await createEndpointServer();
  const body = { runMs: 1, status: 201, size: 70_000 };
  const answer = await send("POST", `${endpoint.url}/plan`, body);
  t.equal(answer.status, 201);
  t.equal(answer.text.length, 70_000);
  t.same(endpoint.executions.map((e) => [e.request, e.path]), [[
    "r1",
    "/plan",
  ]]);
  t.ok(endpoint.executions[0]!.ended! >= endpoint.executions[0]!.started);
  endpoint.faults.failAll = true;
  t.equal((await send("POST", endpoint.url, {})).status, 500);
  await endpoint.stop();
});

// Guards against faults that leave open whether the work has run.
test("an endpoint that breaks off its answer has run the work, one that resets has not", async (t) => {
  const endpoint = await createEndpointServer();
  endpoint.faults.dieInAnswer = true;
  await t.rejects(send("POST", endpoint.url, { size: 100 }));
  t.equal(endpoint.executions.length, 1);
  endpoint.faults.reset = true;
  await t.rejects(send("POST", endpoint.url, {}));
  t.equal(endpoint.executions.length, 1);
  await endpoint.stop();
});

// Guards against an unanswered call that keeps the endpoint from stopping.
test("an endpoint with an unanswered call can be stopped", async (t) => {
  const endpoint = await createEndpointServer();
  endpoint.faults.hang = true;
  const call = send("POST", endpoint.url, {});
  await until(() => endpoint.running.now === 1);
  await Promise.all([t.rejects(call), endpoint.stop()]);
});

const task = (command: string, leaseMs = 10_000) => ({
  report: { member: 0 },
  perMember: { accelerators: 8, cores: 30, memoryMiB: 1024 },
  command,
  leaseMs,
});

// Guards against tasks that end at other times than their command and lease
// say.
test("a worker starts, renews, ends and reports tasks", async (t) => {
  const clock = createManualClock();
  const worker = await createWorkerServer({ clock });
  const put = (id: string, body: unknown) =>
    send("PUT", `${worker.url}/tasks/${id}`, body);
  t.equal((await put("a.1.0", task("run 1500"))).status, 201);
  t.equal((await put("a.1.0", task("run 1500"))).status, 409);
  await put("a.1.1", task("fail 100"));
  await put("a.1.2", task("forever", 2000));
  await put("a.1.3", task("forever", 2000));
  await put("a.1.4", task("forever"));
  t.equal((await put("a.1.5", {})).status, 400);
  clock.advance(1600);
  const post = (path: string, body = {}) =>
    send("POST", `${worker.url}/tasks/${path}`, body);
  await post("a.1.2/renew", { leaseMs: 2000 });
  await post("a.1.4/checkpoint");
  await post("a.1.4/throttle", { share: 0.5 });
  clock.advance(1000);
  const listed = JSON.parse((await send("GET", `${worker.url}/tasks`)).text);
  t.match(listed.tasks, [{ id: "a.1.2" }, { share: 0.5, checkpoints: 1 }]);
  t.equal((await post("a.1.4/stop")).status, 200);
  t.equal((await post("a.1.4/stop")).status, 404);
  const { endings } = JSON.parse(
    (await send("GET", `${worker.url}/events?after=1`)).text,
  );
  t.same(
    endings.map((e: { task: string; ending: string }) => [e.task, e.ending]),
    [["a.1.0", "finished"], ["a.1.3", "lapsed"], ["a.1.4", "stopped"]],
  );
  t.match(worker.records.filter((r) => r.kind !== "started"), [
    { task: "a.1.1", kind: "failed", at: 100 },
    { task: "a.1.0", kind: "finished", at: 1500 },
    { task: "a.1.3", kind: "lapsed", at: 2000 },
    { task: "a.1.4", kind: "stopped", at: 2600 },
  ]);
  await worker.stop();
  t.equal(clock.pending(), 0);
});

// Guards against a poll that misses an ending, or that is never answered.
test("a poll for endings waits for the next one, up to its timeout", async (t) => {
  const clock = createManualClock();
  const worker = await createWorkerServer({ clock, pollTimeout: 5000 });
  await send("PUT", `${worker.url}/tasks/a.1.0`, task("run 100"));
  const poll = send("GET", `${worker.url}/events?after=0`);
  await until(() => clock.pending() === 3);
  clock.advance(100);
  t.match(JSON.parse((await poll).text).endings, [{ ending: "finished" }]);
  const empty = send("GET", `${worker.url}/events?after=1`);
  await until(() => clock.pending() === 1);
  clock.advance(5000);
  t.same(JSON.parse((await empty).text), { endings: [] });
  await worker.stop();
});

// Guards against usage that is reported without its lag.
test("a worker reports its usage with a lag", async (t) => {
  const clock = createManualClock();
  const worker = await createWorkerServer({ clock, usageLag: 2000 });
  await send("PUT", `${worker.url}/tasks/a.1.0`, task("forever"));
  const read = async () =>
    JSON.parse((await send("GET", `${worker.url}/usage`)).text);
  t.same(await read(), { cores: 0, memoryMiB: 0, ageMs: 2000 });
  clock.advance(2000);
  t.same(await read(), { cores: 30, memoryMiB: 1024, ageMs: 2000 });
  await worker.stop();
});

// Guards against a silenced connection that closes, and against silence that
// extends to new connections.
test("a silenced connection stays open, and new connections work", async (t) => {
  const endpoint = await createEndpointServer();
  const relay = await createRelay({ target: endpoint });
  const origin = `http://127.0.0.1:${relay.port}`;
  const pool = new Pool(origin, { connections: 1 });
  const post = (from: Pool) => from.request({ path: "/", method: "POST" });
  await (await post(pool)).body.dump();
  relay.silence();
  let settled = false;
  const lost = post(pool).catch(() => {}).finally(() => settled = true);
  const answer = await request(origin, { method: "POST" });
  t.equal(answer.statusCode, 200);
  await answer.body.dump();
  t.equal(settled, false);
  t.equal(relay.connections.accepted, 2);
  relay.cut();
  await lost;
  t.equal(endpoint.executions.length, 2);
  await pool.destroy();
  await relay.stop();
  await endpoint.stop();
});

// Guards against silence towards the caller that also discards requests.
test("a connection silenced towards the caller still forwards requests", async (t) => {
  const endpoint = await createEndpointServer();
  const relay = await createRelay({ target: endpoint });
  const pool = new Pool(`http://127.0.0.1:${relay.port}`, { connections: 1 });
  const post = () => pool.request({ path: "/", method: "POST" });
  await (await post()).body.dump();
  relay.silence("to-caller");
  const lost = post().catch(() => {});
  await until(() => endpoint.executions.length === 2);
  await pool.destroy();
  await lost;
  await relay.stop();
  await endpoint.stop();
  t.equal(relay.connections.open, 0);
});

// Guards against held requests that are lost, or that hold back the requests of
// later connections.
test("a held connection delivers after later ones once it is released", async (t) => {
  const endpoint = await createEndpointServer();
  const relay = await createRelay({ target: endpoint });
  const origin = `http://127.0.0.1:${relay.port}`;
  const pool = new Pool(origin, { connections: 1 });
  const post = () => pool.request({ path: "/", method: "POST" });
  await (await post()).body.dump();
  relay.hold("to-target");
  const held = post();
  const answer = await request(origin, { method: "POST" });
  await answer.body.dump();
  t.equal(endpoint.executions.length, 2);
  relay.release();
  await (await held).body.dump();
  t.equal(endpoint.executions.length, 3);
  await pool.destroy();
  await relay.stop();
  await endpoint.stop();
});

// Guards against a slow link that carries more than its speed, loses bytes, or
// gives each connection a link of its own.
test("connections of a slow link share more than its speed", async (t) => {
  const endpoint = await createEndpointServer();
  const relay = await createRelay({ target: endpoint });
  const speed = 400_000;
  const size = 50_000;
  relay.limitSpeed(speed);
  const startedAt = performance.now();
  const answers = await Promise.all(
    [1, 2, 3].map(() =>
      send("POST", `http://127.0.0.1:${relay.port}/`, { size })
    ),
  );
  const duration = performance.now() - startedAt;
  t.same(answers.map(({ text }) => text.length), [size, size, size]);
  t.ok(duration >= 3 * size / speed * 1000, `${Math.round(duration)} ms`);
  await relay.stop();
  await endpoint.stop();
});
