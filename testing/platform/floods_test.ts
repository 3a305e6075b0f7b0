import { Buffer } from "node:buffer";
import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { connect } from "node:net";
import { test } from "tap";
import {
  bodyOfShortFields,
  bodyStoppedShort,
  chunksWithoutEnd,
  pipelinedRequests,
  requestHead,
  shortHeaders,
  startFlood,
  wholeRequest,
} from "./floods.ts";
import type { Flood, FloodClient } from "./floods.ts";
import { QUEUE_HOST, TEAM_KEY } from "./configuration.ts";
import { startPrograms } from "./programs.ts";
import type { ProgramProcess, Programs } from "./programs.ts";
import { holdsWithin } from "./wait.ts";

const START_TIMEOUT = 20_000;
const ANSWER_TIMEOUT = 20_000;
const JOB_TIMEOUT = 20_000;

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
const MEGABYTE = 1_000_000;
/**
 * Memory of the machines of these tests, in megabytes. It bounds the resident
 * memory of each process at any time.
 */
const MEMORY_MB = 140;
/** The same where garbage, not what is held, exceeds the memory. */
const LITTLE_MEMORY_MB = 120;
/** Descriptors of the machines where these do not limit the flood. */
const MANY_DESCRIPTORS = 1400;
/** Descriptors of the machines where they do. */
const FEW_DESCRIPTORS = 400;
/** Longest legal body of the callers' listener. */
const BODY_LIMIT = 256 * KIBIBYTE;
/** Longest legal body of the heartbeat listener. */
const HEARTBEAT_LIMIT = 4 * MEBIBYTE;
const JOB = { spec: "", steps: [{ cpu: 1000, memMb: 1, gpu: 1 }] };

/** The flags of Node in deploy/system.toml. */
const NODE_ARGUMENTS = {
  entry: ["--max-old-space-size=220", "--max-semi-space-size=2"],
  agent: ["--max-old-space-size=110", "--max-semi-space-size=2"],
};

const QUEUE = {
  path: "/plans/00000000000000ff",
  host: QUEUE_HOST,
  key: TEAM_KEY,
};
const NO_QUEUE = { path: "/nowhere/00000000000000ff", host: QUEUE_HOST };
const READINESS = { path: "/readyz", host: QUEUE_HOST };

/** Highest resident memory of the process until now, in bytes. */
function peakMemory(program: ProgramProcess): number {
  const status = readFileSync(`/proc/${program.child.pid}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * KIBIBYTE;
}

function openDescriptors(program: ProgramProcess): number {
  return readdirSync(`/proc/${program.child.pid}/fd`).length;
}

/** Status of the readiness check; 0 if there is no answer. */
function checkReadiness(entry: ProgramProcess): Promise<number> {
  const [host, port] = entry.readinessAddress.split(":");
  return new Promise((resolve) => {
    const call = request({ host, port, path: "/readyz" }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode ?? 0));
    });
    call.on("error", () => resolve(0));
    call.setTimeout(ANSWER_TIMEOUT, () => call.destroy());
    call.end();
  });
}

/** Whether a connection to "host:port" is made. */
function accepts(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => resolve(false));
    socket.on("connect", () => {
      resolve(true);
      socket.destroy();
    });
  });
}

/** Submits a job; false if the entry did not accept it. */
async function submits(programs: Programs, id: string): Promise<boolean> {
  const [entry] = programs.entries as [ProgramProcess];
  const answer = await programs.call(entry, "POST", `/plans/${id}`, JOB);
  return answer.status === 200;
}

async function completes(programs: Programs, id: string): Promise<boolean> {
  const [entry] = programs.entries as [ProgramProcess];
  const { body } = await programs.call(entry, "GET", `/plans/${id}`);
  return body.includes("completed");
}

/** A flood, the process that it hits and what it must not exceed. */
interface FloodCase {
  target: "entry" | "agent";
  address: (program: ProgramProcess) => string;
  clients: number;
  client: (index: number) => FloodClient;
  descriptors?: number;
  /** Memory of the machine in megabytes. */
  memory?: number;
}

/** The part of a test that floods use. */
interface TestCase {
  comment(text: string): void;
  ok(value: boolean, name: string): void;
  same(value: unknown, expected: unknown, name: string): void;
  teardown(task: () => unknown): void;
}

async function playFlood(t: TestCase, fields: FloodCase): Promise<void> {
  const { descriptors = MANY_DESCRIPTORS, memory = MEMORY_MB } = fields;
  const exits: string[] = [];
  const programs = await startPrograms({
    entries: 1,
    agents: 1,
    duration: 200,
    settings: [
      `limits.memoryMb=${memory}`,
      `limits.maxFds=${descriptors}`,
    ],
    nodeArguments: NODE_ARGUMENTS,
    onExit: (ended) => exits.push(ended.name),
  });
  t.teardown(() => programs.stop());
  const [entry] = programs.entries as [ProgramProcess];
  const [agent] = programs.agents as [ProgramProcess];
  const target = fields.target === "entry" ? entry : agent;
  const ready = await holdsWithin(START_TIMEOUT, async () => {
    return (await programs.call(entry, "GET", "/plans/")).status === 200;
  });
  t.ok(ready, "the entry answers");
  const listens = await holdsWithin(
    START_TIMEOUT,
    () => accepts(fields.address(target)),
  );
  t.ok(listens, "the listener accepts connections");
  const before = peakMemory(target);
  const flood = await startFlood({
    address: fields.address(target),
    clients: fields.clients,
    client: fields.client,
  });
  t.teardown(() => flood.close());
  t.same(exits, [], "no process has ended under the flood");
  if (exits.length > 0) return;
  checkBounds(t, { target, descriptors, memory, before, flood });
  const answered = await holdsWithin(ANSWER_TIMEOUT, async () => {
    return (await programs.call(entry, "GET", "/plans/")).status === 200;
  });
  t.ok(answered, "an ordinary request is answered");
  const isReady = await holdsWithin(ANSWER_TIMEOUT, async () => {
    return await checkReadiness(entry) === 200;
  });
  t.ok(isReady, "the readiness check is answered");
  const id = "1".repeat(16);
  const accepted = await holdsWithin(
    ANSWER_TIMEOUT,
    () => submits(programs, id),
  );
  t.ok(accepted, "a job is accepted");
  const done = await holdsWithin(JOB_TIMEOUT, () => completes(programs, id));
  t.ok(done, "the job is done");
  t.same(exits, [], "no process has ended");
  if (exits.length === 0) {
    checkBounds(t, { target, descriptors, memory, before, flood });
  }
}

function checkBounds(t: TestCase, fields: {
  target: ProgramProcess;
  descriptors: number;
  memory: number;
  before: number;
  flood: Flood;
}): void {
  const peak = peakMemory(fields.target);
  const open = openDescriptors(fields.target);
  const mebibytes = (bytes: number) => (bytes / MEBIBYTE).toFixed(0);
  t.comment(
    `peak ${mebibytes(peak)} MiB, before ${mebibytes(fields.before)} MiB; ` +
      `${open} descriptors; ${fields.flood.open()} connections open`,
  );
  const { memory } = fields;
  t.ok(peak <= memory * MEGABYTE, `memory within ${memory} MB`);
  t.ok(open <= fields.descriptors, `within ${fields.descriptors} descriptors`);
}

const callers = (program: ProgramProcess) => program.callerAddress;
const readiness = (program: ProgramProcess) => program.readinessAddress;
const heartbeats = (program: ProgramProcess) => program.heartbeatAddress;
const metrics = (program: ProgramProcess) => program.metricsAddress;
const links = (program: ProgramProcess) => program.linkAddress;

// Guards against bodies that are held without a bound while they are incomplete.
test("bodies that stop one byte short stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    client: () =>
      bodyStoppedShort(QUEUE, { length: BODY_LIMIT, piece: BODY_LIMIT }),
  }));

// Guards against bodies that are read although no queue has the path.
test("bodies at a path without a queue stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    client: () =>
      bodyStoppedShort(NO_QUEUE, { length: BODY_LIMIT, piece: BODY_LIMIT }),
  }));

// Guards against a readiness listener that holds bodies without a bound.
test("bodies at the readiness listener stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: readiness,
    clients: 600,
    client: () =>
      bodyStoppedShort(READINESS, { length: BODY_LIMIT, piece: BODY_LIMIT }),
  }));

// Guards against a cost of each piece of a body that its length does not show.
test("bodies in small pieces stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    client: () =>
      bodyStoppedShort(QUEUE, { length: BODY_LIMIT, piece: 4 * KIBIBYTE }),
  }));

// Guards against bodies without a declared length that are held without bound.
test("bodies in chunks without an end stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    client: () =>
      chunksWithoutEnd(QUEUE, {
        length: BODY_LIMIT - 1,
        chunk: 8 * KIBIBYTE,
        piece: 64 * KIBIBYTE,
      }),
  }));

// Guards against a buffer for each chunk of a body of chunks of one byte.
test("bodies in chunks of one byte stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 20,
    client: () =>
      chunksWithoutEnd(QUEUE, {
        length: 64 * KIBIBYTE,
        chunk: 1,
        piece: 8 * KIBIBYTE,
      }),
  }));

// Guards against a body that is held up to the limit before it is refused.
test("bodies far over the limit stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    client: (index) =>
      index % 2 === 0
        ? {
          pieces: [
            requestHead(QUEUE, [`content-length: ${1024 * MEBIBYTE}`]),
            Buffer.alloc(2 * BODY_LIMIT, "x"),
          ],
          reads: true,
        }
        : chunksWithoutEnd(QUEUE, {
          length: 2 * BODY_LIMIT,
          chunk: 64 * KIBIBYTE,
          piece: 64 * KIBIBYTE,
        }),
  }));

// Guards against bodies that take many times their length once decoded.
test("bodies of very many short fields stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 800,
    memory: LITTLE_MEMORY_MB,
    client: () => wholeRequest(QUEUE, bodyOfShortFields(BODY_LIMIT)),
  }));

// Guards against headers that take many times their length once decoded.
test("headers of very many short fields stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 1200,
    client: (index) => ({
      pieces: [
        requestHead(QUEUE, [...shortHeaders(1900), "content-length: 10"])
          // Every second request stops within its headers.
          .slice(0, index % 2 === 0 ? undefined : -2),
      ],
      reads: true,
    }),
  }));

// Guards against requests that are parsed ahead of the answers before them.
test("pipelined requests without reading stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 20,
    client: () =>
      pipelinedRequests({ ...QUEUE, method: "GET", path: "/plans/" }, {
        count: 40_000,
        perPiece: 1000,
      }),
  }));

// Guards against the same at the listener for the platform's checks.
test("pipelined readiness checks stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: readiness,
    clients: 20,
    client: () =>
      pipelinedRequests({ ...READINESS, method: "GET" }, {
        count: 40_000,
        perPiece: 1000,
      }),
  }));

// Guards against answers that pile up for a client that does not read them.
test("metrics that are not read stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: metrics,
    clients: 20,
    client: () =>
      pipelinedRequests(
        { method: "GET", path: "/metrics", host: QUEUE_HOST },
        { count: 4000, perPiece: 1000 },
      ),
  }));

// Guards against connections of slow clients that use up the descriptors.
test("slow clients stay within the descriptors", (t) =>
  playFlood(t, {
    target: "entry",
    address: callers,
    clients: 600,
    descriptors: FEW_DESCRIPTORS,
    client: (index) => slowClient(index),
  }));

/** Clients that send nothing, headers or a body slowly, or don't read. */
function slowClient(index: number): FloodClient {
  const head = requestHead(QUEUE, ["content-length: 1000"]);
  switch (index % 4) {
    case 0:
      return { pieces: [], reads: true };
    case 1:
      return { pieces: [...head.slice(0, -2)], reads: true, slow: true };
    case 2:
      return { pieces: [head, ..."x".repeat(100)], reads: true, slow: true };
    default:
      return pipelinedRequests({ ...QUEUE, method: "GET", path: "/plans/" }, {
        count: 10,
        perPiece: 10,
      });
  }
}

// Guards against bodies of heartbeats that are held without a bound.
test("heartbeats that stop one byte short stay within memory", (t) =>
  playFlood(t, {
    target: "agent",
    address: heartbeats,
    clients: 40,
    client: () =>
      bodyStoppedShort(
        { method: "PUT", path: "/instances/i-0-1", host: QUEUE_HOST },
        { length: HEARTBEAT_LIMIT, piece: 256 * KIBIBYTE },
      ),
  }));

// Guards against heartbeats that take many times their length once decoded.
test("heartbeats of very many short fields stay within memory", (t) =>
  playFlood(t, {
    target: "agent",
    address: heartbeats,
    clients: 20,
    client: () =>
      wholeRequest(
        { method: "PUT", path: "/instances/i-0-1", host: QUEUE_HOST },
        bodyOfShortFields(HEARTBEAT_LIMIT),
      ),
  }));

/** A frame of a link that stops one byte short of a mebibyte. */
function frameStoppedShort(): FloodClient {
  const frame = Buffer.alloc(4 + MEBIBYTE - 1);
  frame.writeUInt32BE(MEBIBYTE, 0);
  return { pieces: [frame], reads: true };
}

// Guards against unknown peers that leave frames to an entry incomplete.
test("frames to an entry that stop short stay within memory", (t) =>
  playFlood(t, {
    target: "entry",
    address: links,
    clients: 160,
    client: frameStoppedShort,
  }));

// Guards against unknown peers that leave frames to an agent incomplete.
test("frames to an agent that stop short stay within memory", (t) =>
  playFlood(t, {
    target: "agent",
    address: links,
    clients: 160,
    client: frameStoppedShort,
  }));

// Guards against unknown peers that use up the descriptors.
test("silent links stay within the descriptors", (t) =>
  playFlood(t, {
    target: "entry",
    address: links,
    clients: 600,
    descriptors: FEW_DESCRIPTORS,
    client: () => ({ pieces: [], reads: true }),
  }));
