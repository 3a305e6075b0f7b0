import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { request } from "undici";
import { test } from "tap";
import { encodeFrame } from "@dragonflyledge/codec";
import { FRAME_LIMIT, PROTOCOL_VERSION } from "@dragonflyledge/model";
import type { Hello } from "@dragonflyledge/model";
import { createCallers } from "./callers.ts";
import { startCluster, tokenOf } from "./cluster.ts";
import type { EntryNode } from "./cluster.ts";
import { showOutput } from "./show_output.ts";
import { waitUntil } from "./wait.ts";

const CLOSE_TIMEOUT = 5000;
const MAX_BODY_BYTES = 524_288;

/** Sends bytes to the session port; waits until the entry closes the session. */
async function sendBytes(entry: EntryNode, bytes: Uint8Array): Promise<void> {
  const socket = connect(entry.sessionPort, "127.0.0.1");
  let closed = false;
  socket.on("error", () => {});
  socket.on("close", () => closed = true);
  socket.resume();
  socket.write(bytes);
  await waitUntil("the entry closes the session", CLOSE_TIMEOUT, () => closed);
}

/** Encodes a hello message of an agent without an inventory. */
function encodeHello(protocol: number): Uint8Array {
  const message: Hello = {
    kind: "hello",
    protocol,
    role: "agent",
    id: "foreign",
    incarnation: 1,
    versions: { configuration: 0, homes: 0 },
  };
  return encodeFrame({ message, peer: "entry" })._unsafeUnwrap();
}

/** Returns 8 bytes, the first 4 of which announce a frame of this length. */
function encodeHeader(length: number): Uint8Array {
  const bytes = Buffer.alloc(8);
  bytes.writeUInt32BE(length);
  return bytes;
}

// Guards against invalid input that ends a daemon, disturbs other sessions and
// requests, or is refused without a reason.
test("bad input is refused with a reason and affects nothing else", async (t) => {
  const cluster = await startCluster({
    example: "nyabugogo",
    entries: 1,
    agents: 3,
    accelerators: 32,
  });
  t.teardown(() => cluster.stop());
  const entry = cluster.entries[0]!;
  const callers = createCallers(cluster);
  await cluster.deploy();
  const accepted = entry.relay.connections.accepted;
  const steady = { team: "fry-floor", class: "shift-plan", runMs: 3000 };
  const inFlight = callers.send(steady, 0);

  const frames: [string, Uint8Array, RegExp][] = [
    ["garbled bytes", Buffer.from("GET / HTTP/1.1\r\n\r\n"), /exceeds|limit/],
    ["an oversized frame", encodeHeader(FRAME_LIMIT + 1), /exceeds|limit/],
    [
      "a frame that is no CBOR",
      Buffer.concat([
        encodeHeader(4).subarray(0, 4),
        Buffer.from([0xff, 0xff, 0xff, 0xff]),
      ]),
      /CBOR|decode|frame/i,
    ],
    ["another protocol version", encodeHello(PROTOCOL_VERSION + 1), /protocol/],
    [
      "a hello without an inventory",
      encodeHello(PROTOCOL_VERSION),
      /inventory/,
    ],
  ];
  for (const [what, bytes, reason] of frames) {
    const seen = entry.process.lines.length;
    await sendBytes(entry, bytes);
    await waitUntil(`a log line about ${what}`, CLOSE_TIMEOUT, () => {
      return entry.process.lines.slice(seen).some((line) => reason.test(line));
    });
    t.pass(`${what} is refused with a reason`);
  }

  const team = `Bearer ${tokenOf("fry-floor")}`;
  const operator = `Bearer ${tokenOf("operator-1")}`;
  const sendRequest = async (
    method: "GET" | "POST" | "PUT",
    path: string,
    headers: Record<string, string>,
    body?: string | AsyncIterable<Uint8Array>,
  ) => {
    const answer = await request(entry.url + path, {
      method,
      headers,
      body: body as string,
      reset: true,
    });
    return { status: answer.statusCode, text: await answer.body.text() };
  };
  const requestPath = `/v1/services/${cluster.service}/requests`;
  const validHeaders = { authorization: team, "x-class": "shift-plan" };
  const large = "x".repeat(MAX_BODY_BYTES + 1);
  async function* stream() {
    for (let i = 0; i < 16; i++) {
      yield await Promise.resolve(Buffer.alloc(65536));
    }
  }
  const unknown = { ...validHeaders, authorization: "Bearer nobody" };
  const cases: [string, Promise<{ status: number; text: string }>, number][] = [
    [
      "an oversized body",
      sendRequest("POST", requestPath, validHeaders, large),
      413,
    ],
    [
      "an oversized body of unknown length",
      sendRequest("POST", requestPath, validHeaders, stream()),
      413,
    ],
    ["an unknown token", sendRequest("POST", requestPath, unknown, "{}"), 401],
    [
      "no token",
      sendRequest("POST", requestPath, { "x-class": "shift-plan" }, "{}"),
      401,
    ],
    [
      "an unknown class",
      sendRequest(
        "POST",
        requestPath,
        { ...validHeaders, "x-class": "x" },
        "{}",
      ),
      400,
    ],
    [
      "a bad deadline",
      sendRequest("POST", requestPath, {
        ...validHeaders,
        "x-deadline-ms": "-1",
      }, "{}"),
      400,
    ],
    [
      "a deadline that is no number",
      sendRequest("POST", requestPath, {
        ...validHeaders,
        "x-deadline-ms": "soon",
      }, "{}"),
      400,
    ],
    [
      "a bad flag",
      sendRequest("POST", requestPath, {
        ...validHeaders,
        "x-idempotent": "perhaps",
      }, "{}"),
      400,
    ],
    [
      "a bad key",
      sendRequest("POST", requestPath, {
        ...validHeaders,
        "idempotency-key": "k".repeat(201),
      }, "{}"),
      400,
    ],
    [
      "an unknown service",
      sendRequest("POST", "/v1/services/none/requests", validHeaders, "{}"),
      404,
    ],
    [
      "a job that is no JSON",
      sendRequest("POST", "/v1/jobs", { authorization: team }, "{"),
      400,
    ],
    [
      "a job without fields",
      sendRequest("POST", "/v1/jobs", { authorization: team }, "{}"),
      400,
    ],
    [
      "a configuration that is no JSON",
      sendRequest("PUT", "/v1/configuration", {
        authorization: operator,
        "if-match": "1",
      }, "{"),
      400,
    ],
    [
      "a configuration without a version",
      sendRequest(
        "PUT",
        "/v1/configuration",
        { authorization: operator },
        "{}",
      ),
      428,
    ],
    ["an unknown path", sendRequest("GET", "/nothing", {}), 404],
    [
      "a path that is not decodable",
      sendRequest("GET", "/v1/jobs/%zz", { authorization: team }),
      404,
    ],
  ];
  for (const [what, answer, status] of cases) {
    const result = await answer.catch((cause: Error) => {
      return { status: 0, text: cause.message };
    });
    t.equal(
      result.status,
      status,
      `${what}: ${result.text.trim().slice(0, 80)}`,
    );
    t.match(result.text, /"(error|problems|outcome)"/, `${what}: a reason`);
  }

  for (const role of ["entry", "agent"]) {
    const file = await cluster.write(
      `bad-${role}.ini`,
      "[identity]\nid = a b\n",
    );
    const { code, output } = await cluster.command([role, file]);
    t.equal(code, 2, `bad settings of the ${role}`);
    t.match(output, /identity.*id/);
    t.match(output, /DFL_SETTINGS/);
  }

  const one = await inFlight;
  t.equal(one.tries[0]!.outcome, "done", "the request in flight is answered");
  t.same(callers.findContradictions(), []);
  t.equal(entry.relay.connections.accepted, accepted, "no session was lost");
  await cluster.waitUntilReady();
  showOutput(t, cluster);
});
