import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "tap";
import { encodeFrame } from "@dragonflyledge/codec";
import {
  createRandom,
  ErrorCode,
  MEBIBYTE,
  PROTOCOL_VERSION,
  StepError,
} from "@dragonflyledge/model";
import type { Hello, Message } from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { createDialer } from "./dialer.ts";
import { listen } from "./listener.ts";
import { runSession } from "./session.ts";
import type { Session, SessionHandlers } from "./session.ts";

const versions = () => ({ configuration: 1, homes: 1 });
const system = { clock: createSystemClock(), timer: createSystemTimer() };
const times = { heartbeat: 20, timeout: 200 };
/** More than the buffers of a connection hold. */
const LARGE_MESSAGES = 24;
const LARGE_SIZE = MEBIBYTE / 2;

function hello(id: string, protocol = PROTOCOL_VERSION): () => Hello {
  const role = "agent" as const;
  return () => ({
    kind: "hello",
    protocol,
    role,
    id,
    incarnation: 1,
    versions: versions(),
  });
}

/** Records the events of one side's sessions, and lets a test wait for them. */
function createProbe() {
  const seen: { kind: string; detail: unknown; session?: Session }[] = [];
  const waiting: (() => void)[] = [];
  const note = (kind: string, detail: unknown, session?: Session) => {
    seen.push({ kind, detail, session });
    for (const wake of waiting.splice(0)) wake();
  };
  const handlers: SessionHandlers = {
    onOpen: (session) => note("open", session.peer.id, session),
    onMessage: (session, message) => note("message", message, session),
    onHeartbeat: (session, value) => note("heartbeat", value, session),
    onClose: (session, error) => note("close", error, session),
  };
  /** Waits for event number `count` of the given kind, and returns it. */
  async function waitFor(kind: string, count = 1) {
    while (seen.filter((entry) => entry.kind === kind).length < count) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
    return seen.filter((entry) => entry.kind === kind)[count - 1]!;
  }
  const count = (kind: string) =>
    seen.filter((entry) => entry.kind === kind).length;
  return { handlers, waitFor, count };
}

async function openListener(handlers: SessionHandlers, id = "entry") {
  const result = await listen({
    host: "127.0.0.1",
    port: 0,
    hello: hello(id),
    versions,
    handlers,
    times,
    ...system,
  });
  return result._unsafeUnwrap();
}

function openDialer(port: number, handlers: SessionHandlers, protocol = 1) {
  return createDialer({
    address: `127.0.0.1:${port}`,
    hello: hello("agent", protocol),
    versions,
    handlers,
    random: createRandom(5),
    times,
    ...system,
  });
}

// Guards against a session that loses messages or heartbeats.
test("both sides exchange hellos, messages and heartbeats", async (t) => {
  const server = createProbe();
  const client = createProbe();
  const listener = await openListener(server.handlers);
  const dialer = openDialer(listener.port, client.handlers);
  const opened = await client.waitFor("open");
  t.equal(opened.detail, "entry");
  opened.session!.send({ kind: "drain" });
  const received = await server.waitFor("message");
  t.same(received.detail, { kind: "drain" });
  await client.waitFor("heartbeat", 2);
  await server.waitFor("heartbeat", 2);
  dialer.stop();
  await listener.close();
});

// Guards against an answer that is lost because its process stops before the
// peer has read it.
test("what was sent before a process stops arrives", async (t) => {
  const server = createProbe();
  const client = createProbe();
  const listener = await openListener(server.handlers);
  const dialer = openDialer(listener.port, client.handlers);
  const { session } = await client.waitFor("open");
  const text = "x".repeat(LARGE_SIZE);
  const large: Message = { kind: "drain", text } as Message;
  for (let sent = 0; sent < LARGE_MESSAGES; sent++) session!.send(large);
  dialer.stop();
  await server.waitFor("close");
  t.equal(server.count("message"), LARGE_MESSAGES);
  await listener.close();
});

// Guards against a process that does not end because a peer reads nothing.
test("a peer that reads nothing does not keep a session open", async (t) => {
  const sockets: Socket[] = [];
  const deaf = createServer((socket) => sockets.push(socket.pause()));
  await new Promise<void>((resolve) => deaf.listen(0, "127.0.0.1", resolve));
  const socket = connect({ port: (deaf.address() as AddressInfo).port });
  await new Promise<void>((resolve) => socket.once("connect", resolve));
  const client = createProbe();
  const run = { hello: hello("agent"), versions, times, ...system };
  const session = runSession({ ...run, socket, handlers: client.handlers });
  socket.write("x".repeat(LARGE_MESSAGES * LARGE_SIZE));
  session.close("this process stops");
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
  t.ok(socket.destroyed);
  for (const each of sockets) each.destroy();
  await new Promise((resolve) => deaf.close(resolve));
});

// Guards against a session that waits for ever on a connection whose other
// end no longer answers.
test("a silent connection is closed and dialled again", async (t) => {
  const sockets: Socket[] = [];
  const silent = createServer((socket) => sockets.push(socket));
  await new Promise<void>((resolve) => silent.listen(0, "127.0.0.1", resolve));
  const client = createProbe();
  const port = (silent.address() as AddressInfo).port;
  const dialer = openDialer(port, client.handlers);
  const closed = await client.waitFor("close", 2);
  const error = closed.detail as StepError;
  t.equal(error.step, "heartbeat");
  t.equal(error.code, ErrorCode.Session);
  t.ok(sockets.length >= 2, "the connection was dialled again");
  dialer.stop();
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => silent.close(resolve));
});

// Guards against a session with a process of another protocol version.
test("another protocol version is refused with an error that names it", async (t) => {
  const server = createProbe();
  const listener = await openListener(server.handlers);
  const client = createProbe();
  const dialer = openDialer(listener.port, client.handlers, 99);
  const closed = await server.waitFor("close");
  t.equal((closed.detail as StepError).code, ErrorCode.Protocol);
  t.match((closed.detail as StepError).message, /99/);
  dialer.stop();
  await listener.close();
});

// Guards against a client of another protocol that disturbs other sessions.
test("bytes that are no frame end only their own connection", async (t) => {
  const server = createProbe();
  const listener = await openListener(server.handlers);
  const client = createProbe();
  const dialer = openDialer(listener.port, client.handlers);
  await client.waitFor("open");
  const foreign = connect({ host: "127.0.0.1", port: listener.port });
  foreign.on("error", () => {});
  foreign.write("GET / HTTP/1.1\r\n\r\n");
  const closed = await server.waitFor("close");
  t.equal((closed.detail as StepError).code, ErrorCode.Frame);
  t.equal(closed.session, undefined);
  await client.waitFor("heartbeat", 3);
  dialer.stop();
  await listener.close();
});

// Guards against a message that is processed before its sender is known.
test("a message before the hello is refused", async (t) => {
  const server = createProbe();
  const listener = await openListener(server.handlers);
  const message: Message = { kind: "drain" };
  const foreign = connect({ host: "127.0.0.1", port: listener.port });
  foreign.on("error", () => {});
  foreign.write(encodeFrame({ message, peer: "x" })._unsafeUnwrap());
  const closed = await server.waitFor("close");
  t.match((closed.detail as StepError).message, /first frame/);
  foreign.destroy();
  await listener.close();
});

// Guards against a start that fails without saying why.
test("a port in use is reported as an error", async (t) => {
  const probe = createProbe();
  const listener = await openListener(probe.handlers);
  const second = await listen({
    host: "127.0.0.1",
    port: listener.port,
    hello: hello("entry"),
    versions,
    handlers: probe.handlers,
    ...system,
  });
  t.equal(second._unsafeUnwrapErr().step, "listen");
  await listener.close();
});
