import { PassThrough } from "node:stream";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "tap";
import type { Test } from "tap";
import { createLog, Part } from "@dragonflyledge/log";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import { createPeers } from "./peers.ts";

const HOST = "127.0.0.1";
const REQUEST: HttpRequest = {
  method: "GET",
  path: "/plans/",
  headers: {},
  body: new Uint8Array(),
};

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

async function createEntry(fields: {
  name: string;
  entries: Map<string, string>;
  version: number;
  answer: HttpAnswer;
}) {
  const port = await freePort();
  const taken: string[] = [];
  const peers = createPeers({
    name: fields.name,
    host: HOST,
    port,
    entries: () => fields.entries,
    handle: () => Promise.resolve(fields.answer),
    configuration: () => ({
      version: fields.version,
      bytes: new TextEncoder().encode(`version ${fields.version}`),
    }),
    onConfiguration: (bytes) => taken.push(new TextDecoder().decode(bytes)),
    timer: {
      after: (delay, task) => {
        const handle = setTimeout(task, delay);
        return () => clearTimeout(handle);
      },
    },
    log: createLog({
      part: Part.Entry,
      level: "error",
      stream: new PassThrough(),
    }),
  });
  fields.entries.set(fields.name, `${HOST}:${port}`);
  return { peers, taken };
}

async function pair(t: Test, own: number, other: number) {
  const entries = new Map<string, string>();
  const answer = { status: 404 };
  const first = await createEntry({
    name: "first",
    entries,
    version: own,
    answer,
  });
  const second = await createEntry({
    name: "second",
    entries,
    version: other,
    answer,
  });
  t.teardown(() => {
    first.peers.close();
    second.peers.close();
  });
  return first;
}

// Guards against an answer by an older configuration than the one in force
// where the caller is connected.
test("an entry that is behind does not answer for another", async (t) => {
  const { peers } = await pair(t, 11, 8);
  const outcome = await peers.forward(REQUEST, 2000);
  t.match(outcome, { kind: "answer", answer: { status: 503 } });
});

// Guards against going back after an answer by a newer configuration.
test("a newer configuration comes with the answer", async (t) => {
  const { peers, taken } = await pair(t, 8, 11);
  const outcome = await peers.forward(REQUEST, 2000);
  t.match(outcome, { kind: "answer", answer: { status: 404 } });
  t.same(taken, ["version 11"]);
});

// Guards against a refusal that is not known to be true.
test("without any other entry the request was not sent", async (t) => {
  const entries = new Map<string, string>();
  const { peers } = await createEntry({
    name: "only",
    entries,
    version: 1,
    answer: { status: 200 },
  });
  t.teardown(() => peers.close());
  t.same(await peers.forward(REQUEST, 1000), { kind: "notSent" });
});
