import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "tap";
import {
  createEtcdServer,
  createMemoryStore,
  createSystemTime,
  storeContract,
  until,
} from "@dragonflyledge/fakes";
import { createEtcdStore } from "./etcd_store.ts";

const timer = createSystemTime();

async function start(timeout = 5000) {
  const memory = createMemoryStore({ clock: timer, timer });
  const server = await createEtcdServer({ memory });
  const store = createEtcdStore({ url: server.url, timer, timeout });
  const stop = async () => {
    await store.close();
    await server.stop();
    memory.stop();
  };
  return { memory, server, store, stop };
}

for (const [name, run] of Object.entries(storeContract)) {
  test(`etcd adapter: ${name}`, async (t) => {
    const { memory, store, stop } = await start();
    await run(t, { store, memory });
    await stop();
  });
}

// Guards against one call for each write of a batch.
test("a batch of writes is one call", async (t) => {
  const { memory, store, stop } = await start();
  const writes = Array.from({ length: 100 }, (_, n) => {
    return { key: `/${n}`, value: "1", revision: 0 };
  });
  const results = (await store.write(writes))._unsafeUnwrap();
  t.equal(results.filter((r) => r.kind === "stored").length, 100);
  t.equal(memory.calls.length, 1);
  await stop();
});

// Guards against a call that waits forever for a hanging store, and against a
// later call that is sent over the same dead connection.
test("a call to a hanging store ends, and the next one works", async (t) => {
  const { memory, store, stop } = await start(50);
  memory.faults.hang = true;
  memory.faults.down = true;
  let ended = false;
  store.watch({ prefix: "/", onChange: () => {}, onEnd: () => ended = true });
  const result = await store.get("/a");
  t.equal(result._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE");
  await until(() => ended);
  memory.faults.down = false;
  t.equal((await store.get("/a")).isOk(), true);
  await stop();
});

/** Starts a server that gives every request the same answer. */
async function startFixed(
  answer: (response: ServerResponse) => void,
  timeout = 5000,
) {
  const server = createServer((_, response) => answer(response));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const store = createEtcdStore({ url, timer, timeout });
  const stop = async () => {
    await store.close();
    server.closeAllConnections();
    await new Promise((done) => server.close(done));
  };
  return { store, stop };
}

// Guards against malformed answers that are accepted, and against a write that
// is reported as refused although it may have taken effect.
test("malformed answers are refused", async (t) => {
  const answers = [
    "no JSON",
    "[]",
    "{}",
    '{"header":{"revision":"x"}}',
    '{"header":{"revision":"5"},"kvs":[{"key":"L2I=","mod_revision":"4"}]}',
    '{"header":{"revision":"5"},"kvs":[{"key":"L2E="}]}',
    '{"header":{"revision":"5"},"kvs":{}}',
  ];
  for (const text of answers) {
    const { store, stop } = await startFixed((response) => response.end(text));
    const read = await store.get("/a");
    t.equal(read._unsafeUnwrapErr().code, "DFL_STORE_ANSWER", text);
    const write = await store.write([{ key: "/a", value: "", revision: 0 }]);
    t.equal(write._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE", text);
    await stop();
  }
});

// Guards against a server error that is reported as a definite refusal,
// although the write may have taken effect.
test("status 503 leaves the outcome of a write unknown, status 400 does not", async (t) => {
  for (const [status, code] of [[503, "UNAVAILABLE"], [400, "ANSWER"]]) {
    const { store, stop } = await startFixed((response) => {
      response.statusCode = status as number;
      response.end("{}");
    });
    const result = await store.write([{ key: "/a", value: "", revision: 0 }]);
    t.equal(result._unsafeUnwrapErr().code, `DFL_STORE_${code}`);
    await stop();
  }
});

// Guards against a watch on a dead connection that never ends: it looks like
// one without changes.
test("a watch ends after its lifetime", async (t) => {
  const memory = createMemoryStore({ clock: timer, timer });
  const server = await createEtcdServer({ memory });
  const store = createEtcdStore({ url: server.url, timer, watchLifetime: 20 });
  let error: unknown = "running";
  store.watch({
    prefix: "/",
    onChange: () => {},
    onEnd: (cause) => error = cause,
  });
  await until(() => error !== "running");
  t.equal(error, undefined);
  await store.close();
  await server.stop();
});

// Guards against a large value over a slow link that is given up, and asked for
// again, for ever.
test("an answer that keeps arriving is given up", async (t) => {
  const answer = '{"header":{"revision":"5"}}';
  const { store, stop } = await startFixed((response) => {
    let sent = 0;
    const interval = setInterval(() => {
      response.write(answer[sent++]);
      if (sent === answer.length) {
        clearInterval(interval);
        response.end();
      }
    }, 30);
  }, 300);
  t.ok((await store.get("/a")).isOk());
  await stop();
});

// Guards against a call that waits for the rest of an answer for ever.
test("an answer that stops arriving is waited for", async (t) => {
  const { store, stop } = await startFixed((response) => {
    response.write('{"header"');
  }, 300);
  const result = await store.get("/a");
  t.equal(result._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE");
  await stop();
});
