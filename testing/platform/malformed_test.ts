import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { encode } from "cbor-x";
import { test } from "tap";
import { startPrograms } from "./mod.ts";
import type { ProgramProcess, Programs } from "./mod.ts";
import { holdsWithin } from "./wait.ts";

const START_TIMEOUT = 20_000;
const JOB_TIMEOUT = 12_000;
/** Time in which a process that can't handle a message would end. */
const SETTLE_TIME = 300;

/** Values of links that are no whole message. */
const VALUES: unknown[] = [
  null,
  7,
  "text",
  [],
  {},
  { kind: 1 },
  { kind: "request" },
  { kind: "request", id: 1, version: 1, request: { headers: null } },
  {
    kind: "request",
    id: 1,
    version: 1,
    request: { method: "GET", path: "/", headers: { host: 5 }, body: "" },
  },
  { kind: "orders" },
  { kind: "orders", epoch: 9, worker: "x", starts: [null], stops: [] },
  { kind: "report", worker: null, running: {} },
  { kind: "answer", id: null },
];
/** Bodies of submissions that describe no job that could ever run. */
const BODIES = [
  "",
  "null",
  "[]",
  "{",
  '{"steps":[null]}',
  '{"spec":5,"steps":[{}]}',
  '{"spec":"","steps":[{"count":1e9}]}',
  '{"spec":"","steps":[{"count":-1}]}',
  '{"spec":"","steps":[{"cpu":-5000}]}',
  '{"spec":"","steps":[{"after":[0]}]}',
  '{"spec":"","steps":[{}],"times":1e9,"intervalMs":0}',
];

/** Sends bytes on a connection of their own. */
async function sendBytes(port: number, bytes: Uint8Array): Promise<void> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.end(bytes);
  await sleep(20);
  socket.destroy();
}

function frame(value: unknown): Uint8Array {
  const body = encode(value);
  const header = Buffer.alloc(4);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

async function post(programs: Programs, id: string, body: string) {
  const { request } = await import("node:http");
  const [host, port] = programs.entries[0]!.callerAddress.split(":");
  return await new Promise<number>((resolve) => {
    const headers = { host: "jobs.example", "x-api-key": "key-1" };
    const path = `/plans/${id}`;
    const options = { host, port, method: "POST", path, headers };
    request(options, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    }).on("error", () => resolve(0)).end(body);
  });
}

// Guards against one malformed message that ends a process, and against a job
// that ends each leader that takes it up.
test("malformed messages end no process and stop no other work", async (t) => {
  const exits: string[] = [];
  const programs = await startPrograms({
    entries: 1,
    agents: 1,
    duration: 200,
    onExit: (ended: ProgramProcess) => exits.push(ended.name),
  });
  t.teardown(() => programs.stop());
  const [entry] = programs.entries as [ProgramProcess];
  const ready = await holdsWithin(START_TIMEOUT, async () => {
    return (await programs.call(entry, "GET", "/plans/")).status === 200;
  });
  t.ok(ready, "the entry answers");
  const callerPort = Number(entry.callerAddress.split(":")[1]);
  for (const process of [...programs.entries, ...programs.agents]) {
    const { port } = process.relays.links;
    for (const value of VALUES) await sendBytes(port, frame(value));
    await sendBytes(port, Buffer.from("GET / HTTP/1.1\r\n\r\n"));
  }
  await sendBytes(callerPort, Buffer.from([0, 1, 2, 255, 13, 10, 13, 10]));
  for (const [index, body] of BODIES.entries()) {
    const id = `bad${index.toString(16).padStart(13, "0")}`;
    t.equal(await post(programs, id, body), 400, `refused: ${body}`);
  }
  const job = { spec: "", steps: [{ cpu: 1000, memMb: 1, gpu: 1 }] };
  t.equal(await post(programs, "1".repeat(16), JSON.stringify(job)), 200);
  const done = await holdsWithin(JOB_TIMEOUT, async () => {
    const path = `/plans/${"1".repeat(16)}`;
    return (await programs.call(entry, "GET", path)).body
      .includes("completed");
  });
  t.ok(done, "a sound job is done");
  await sleep(SETTLE_TIME);
  t.same(exits, [], "no process has ended");
});
