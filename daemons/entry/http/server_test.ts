import { connect } from "node:net";
import { once } from "node:events";
import { test } from "tap";
import { request } from "undici";
import { json, startHttpServer } from "./server.ts";

// Guards against a shutdown that waits for a connection on which nothing was
// ever sent. Because of one, an entry exceeded its limit of 15 s in a process
// test.
test("closing ends unused connections and finishes open requests", async (t) => {
  let finish = () => {};
  const held = new Promise<void>((resolve) => {
    finish = resolve;
  });
  let arrived = () => {};
  const reached = new Promise<void>((resolve) => {
    arrived = resolve;
  });
  const started = await startHttpServer({
    host: "127.0.0.1",
    port: 0,
    bodyLimit: 1024,
    connections: 8,
    routes: [{
      method: "GET",
      pattern: "/slow",
      handler: async () => {
        arrived();
        await held;
        return json(200, { done: true });
      },
    }],
  });
  const server = started._unsafeUnwrap();
  const unused = connect({ host: "127.0.0.1", port: server.port });
  unused.on("error", () => {});
  await once(unused, "connect");
  const answer = request(`http://127.0.0.1:${server.port}/slow`);
  await reached;
  const closed = server.close();
  finish();
  t.same(await (await answer).body.json(), { done: true });
  await closed;
});
