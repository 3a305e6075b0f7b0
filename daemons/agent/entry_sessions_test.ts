import { setTimeout } from "node:timers/promises";
import { test } from "tap";
import { createRandom, PROTOCOL_VERSION } from "@dragonflyledge/model";
import type { Hello } from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { listen } from "@dragonflyledge/session";
import { createEntrySessions } from "./entry_sessions.ts";

const versions = () => ({ configuration: 0, homes: 0 });
const time = { clock: createSystemClock(), timer: createSystemTimer() };

function hello(role: Hello["role"], id: string): () => Hello {
  return () => ({
    kind: "hello",
    protocol: PROTOCOL_VERSION,
    role,
    id,
    incarnation: 1,
    versions: versions(),
  });
}

/**
 * Starts a listener that accepts sessions as an entry and does nothing else.
 */
async function openEntry(id: string, port = 0) {
  const nothing = () => {};
  const listener = await listen({
    host: "127.0.0.1",
    port,
    hello: hello("entry", id),
    versions,
    ...time,
    handlers: {
      onOpen: nothing,
      onMessage: nothing,
      onHeartbeat: nothing,
      onClose: nothing,
    },
  });
  const { port: bound, close } = listener._unsafeUnwrap();
  return { id, address: `127.0.0.1:${bound}`, close };
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await setTimeout(5);
}

// Guards against open sessions that are closed because the store lists the
// entries one by one after an outage.
test("a session stays open when its entry is not on the list", async (t) => {
  const [first, second] = [await openEntry("e1"), await openEntry("e2")];
  const seen: string[] = [];
  const sessions = createEntrySessions({
    seeds: [first.address],
    hello: hello("agent", "w1"),
    versions,
    ...time,
    random: createRandom(3),
    observer: { log: () => {}, count: () => {} },
    handlers: {
      onConnected: (peer) => seen.push(`+${peer.id}`),
      onLost: (entry) => seen.push(`-${entry}`),
      onMessage: () => {},
      onVersions: () => {},
    },
  });
  await until(() => seen.length === 1);
  sessions.setEntries([second]);
  await until(() => seen.length === 2);
  t.same(seen, ["+e1", "+e2"], "the session with the first entry is kept");
  await first.close();
  await until(() => seen.length === 3);
  t.equal(seen[2], "-e1");
  const many = ["a:1", "b:2", "c:3"].map((address) => ({ id: "x", address }));
  sessions.setEntries([...many, { id: "y", address: "d:4" }]);
  t.same(seen.slice(3), ["-e2"], "it is closed when the limit is reached");
  sessions.close();
  await second.close();
});
