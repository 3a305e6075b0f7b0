import { PassThrough } from "node:stream";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "tap";
import type { Test } from "tap";
import { createLog, Part } from "@dragonflyledge/log";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import { listenLinks } from "@dragonflyledge/link";
import type { Deployment } from "@dragonflyledge/platform";
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
  /** Whether its configuration is confirmed; true by default. */
  confirmed?: boolean;
}) {
  const port = await freePort();
  const used: number[] = [];
  const peers = createPeers({
    name: fields.name,
    host: HOST,
    port,
    entries: () => fields.entries,
    handle: () => Promise.resolve(fields.answer),
    configurations: {
      current: () => ({ version: fields.version }) as Deployment,
      isConfirmed: () => fields.confirmed ?? true,
      newestUsed: () => Math.max(fields.version, ...used),
      noteUsed: (version) => used.push(version),
    },
    clock: performance,
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
  return { peers, used };
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
test("an answer tells the version of the peer's configuration", async (t) => {
  const { peers, used } = await createPair(t, 8, 11);
  const outcome = await peers.forward(REQUEST, 2000);
  t.match(outcome, { kind: "answer", answer: { status: 404 } });
  t.same(used, [11]);
});

// Guards against an entry whose callers are answered by a newer configuration and
// then by an older one, since two peers differ.
test("a peer decides by a version below that of an earlier answer", async (t) => {
  const entries = new Map<string, string>();
  const create = (name: string, version: number) =>
    createEntry({ name, entries, version, answer: { status: 404 } });
  const own = await create("own", 8);
  const newer = await create("newer", 11);
  const older = await create("older", 10);
  t.teardown(() => [own, newer, older].forEach(({ peers }) => peers.close()));
  const ask = () => own.peers.forward(REQUEST, 2000);
  t.match(await ask(), { answer: { status: 404 } });
  entries.delete("newer");
  t.match(await ask(), { answer: { status: 503 } });
});

// Guards against a refusal by a peer that can't read the configuration either,
// and against a request that is given up although another peer can answer it.
test("a peer whose configuration is not confirmed decides", async (t) => {
  const entries = new Map<string, string>();
  const create = (name: string, status: number, confirmed: boolean) =>
    createEntry({ name, entries, version: 3, answer: { status }, confirmed });
  const own = await create("own", 404, false);
  const others = [
    await create("behind", 404, false),
    await create("busy", 503, true),
    await create("current", 200, true),
  ];
  t.teardown(() => [own, ...others].forEach(({ peers }) => peers.close()));
  t.match(await own.peers.forward(REQUEST, 2000), {
    kind: "answer",
    answer: { status: 200 },
  });
  entries.delete("current");
  t.match(await own.peers.forward(REQUEST, 2000), {
    kind: "answer",
    answer: { status: 503 },
  });
  t.same(own.used, [3]);
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
