import { PassThrough } from "node:stream";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "tap";
import type { Test } from "tap";
import { createLog, Part } from "@dragonflyledge/log";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import { listenLinks } from "@dragonflyledge/link";
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
  const received: string[] = [];
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
    onConfiguration: (bytes) => received.push(new TextDecoder().decode(bytes)),
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
  return { peers, received };
}

async function createPair(t: Test, own: number, other: number) {
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

// Guards against an answer based on an older configuration than the one that
// the caller's own entry uses.
test("an entry with an older configuration refuses the request", async (t) => {
  const { peers } = await createPair(t, 11, 8);
  const outcome = await peers.forward(REQUEST, 2000);
  t.match(outcome, { kind: "answer", answer: { status: 503 } });
});

// Guards against a return to the old configuration after a newer one answered.
test("an answer carries the peer's configuration if it is newer", async (t) => {
  const { peers, received } = await createPair(t, 8, 11);
  const outcome = await peers.forward(REQUEST, 2000);
  t.match(outcome, { kind: "answer", answer: { status: 404 } });
  t.same(received, ["version 11"]);
});

// Guards against an outcome that leaves open whether the request was sent.
test("without any other entry a request counts as not sent", async (t) => {
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

// Guards against a caller who gets the answer to another caller's request, and
// against an answer that is taken after its time.
test("an answer to another or an earlier request is not taken", async (t) => {
  const entries = new Map<string, string>();
  const { peers } = await createEntry({
    name: "own",
    entries,
    version: 1,
    answer: { status: 200 },
  });
  const answersOf: (() => void)[] = [];
  const server = listenLinks({
    host: HOST,
    port: 0,
    onLink: () => {},
    onMessage: (link, { id }) => {
      const send = (id: unknown, status: number) =>
        link.send({ kind: "answer", id, answer: { status } });
      if (answersOf.length > 0) send(Number(id) - 1, 410);
      answersOf.push(() => send(id, 200));
      if (answersOf.length < 2) return;
      answersOf.forEach((answer) => answer());
    },
    onClose: () => {},
    onError: (error) => t.fail(error.message),
  });
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  entries.set("other", `${HOST}:${port}`);
  t.teardown(() => {
    peers.close();
    server.close();
  });
  t.same(await peers.forward(REQUEST, 500), { kind: "unknown" });
  t.match(await peers.forward(REQUEST, 5000), {
    kind: "answer",
    answer: { status: 200 },
  });
});
