import { connect } from "node:net";
import { test } from "tap";
import { encodeFrame } from "@dragonflyledge/codec";
import { PROTOCOL_VERSION } from "@dragonflyledge/model";
import type { Hello } from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { acceptAgents } from "./agent_sessions.ts";

const versions = () => ({ configuration: 1, homes: 1 });
const INVENTORY = {
  worker: "agent-1",
  location: { region: "region", failureDomain: "a", rack: "r1" },
  capacity: { accelerators: 1, cores: 1, memoryMiB: 1 },
  service: "service",
  slots: 1,
  connections: 1,
};
const hello = (role: "agent" | "entry", id: string): Hello => ({
  kind: "hello",
  protocol: PROTOCOL_VERSION,
  role,
  id,
  incarnation: 1,
  versions: versions(),
  ...(role === "agent" ? { inventory: INVENTORY } : {}),
} as unknown as Hello);

/** Waits until the condition holds, while sockets do their work. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

// Guards against a session that is closed, and an agent that counts as lost,
// because a connection that the agent gave up before delivers its hello late.
test("a hello that a former connection delivers late replaces no session", async (t) => {
  const connected: string[] = [];
  const lost: string[] = [];
  const opened = await acceptAgents({
    host: "127.0.0.1",
    port: 0,
    hello: () => hello("entry", "entry-1"),
    versions,
    clock: createSystemClock(),
    timer: createSystemTimer(),
    observer: { log: () => {}, count: () => {} } as never,
    handlers: {
      onConnected: (peer) => connected.push(peer.id),
      onLost: (worker) => lost.push(worker),
      onMessage: () => {},
      onVersions: () => {},
    },
  });
  opened.mapErr((error) => t.fail(error.message));
  const sessions = opened._unsafeUnwrap();
  const frame = encodeFrame({ message: hello("agent", "agent-1"), peer: "e" })
    ._unsafeUnwrap();
  // The network holds what the agent sent on its first connection.
  const former = connect(sessions.port, "127.0.0.1");
  await new Promise((resolve) => former.once("connect", resolve));
  const present = connect(sessions.port, "127.0.0.1");
  let presentClosed = false;
  present.on("close", () => presentClosed = true);
  present.resume().write(frame);
  await waitFor(() => connected.length === 1);
  // Its hello and its end arrive after the next connection has opened.
  former.resume().end(frame);
  await new Promise((resolve) => former.once("close", resolve));
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.same(lost, [], "the agent is not lost");
  t.notOk(presentClosed, "its present session stays open");
  present.destroy();
  sessions.close();
});
