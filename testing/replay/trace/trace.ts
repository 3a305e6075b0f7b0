/**
 * Traces: the requests, jobs, cancellations and worker changes of a replay,
 * with the actual run times. Times are counted from the start of the trace.
 *
 * @module
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import type { Adjacency, JobSpec, Milliseconds } from "@dragonflyledge/model";

/** A request as its caller sends it. */
export interface TraceRequest {
  at: Milliseconds;
  team: string;
  class: string;
  runTime: Milliseconds;
  /** Time from sending until the deadline. */
  deadline: Milliseconds;
  idempotent: boolean;
  /** Number of the client; each client belongs to one team. */
  client: number;
}

/** A job as its caller submits it. */
export interface TraceJob {
  at: Milliseconds;
  spec: JobSpec;
  runTime: Milliseconds;
  /** Whether the job fits in the free guarantee of its team. */
  owner: boolean;
}

/** Kinds of trace steps; `fail`, `heal` and `leave` concern a worker. */
export type StepKind =
  | "cancelRequest"
  | "cancelJob"
  | "fail"
  | "heal"
  | "leave";

/** Cancellation of a request or job, or a change of a worker. */
export interface TraceStep {
  at: Milliseconds;
  kind: StepKind;
  /** Index of the request or job in the trace, or of the worker. */
  target: number;
}

/** A workload, as generated from a scenario or read from a file. */
export interface Trace {
  name: string;
  scenario: string;
  deployment: string;
  seed: number;
  duration: Milliseconds;
  /** Start and end of the peak, or of the whole trace. */
  peak: [Milliseconds, Milliseconds];
  requests: TraceRequest[];
  jobs: TraceJob[];
  steps: TraceStep[];
}

/** Bounds of the outcomes of a trace, by the name of the measure. */
export interface Expected {
  atLeast: Record<string, number>;
  atMost: Record<string, number>;
}

type Row = (string | number)[];

const traceDirectory = new URL("../../traces/", import.meta.url);

/**
 * Formats a trace as NDJSON: a heading, then one line for each request ("r"),
 * job ("j") and step ("s"). Teams and classes are written as indexes into the
 * names of the heading.
 */
export function formatTrace(trace: Trace): string {
  const { name, scenario, deployment, seed, duration, peak } = trace;
  const names = [
    ...new Set([
      ...trace.requests.flatMap((each) => [each.team, each.class]),
      ...trace.jobs.flatMap((each) => [each.spec.team, each.spec.class]),
    ]),
  ];
  const index = (text: string) => names.indexOf(text);
  const heading = { name, scenario, deployment, seed, duration, peak, names };
  const rows: Row[] = [
    ...trace.requests.map((each): Row => [
      "r",
      each.at,
      index(each.team),
      index(each.class),
      each.runTime,
      each.deadline,
      Number(each.idempotent),
      each.client,
    ]),
    ...trace.jobs.map(({ at, spec, runTime, owner }): Row => [
      "j",
      at,
      index(spec.team),
      index(spec.class),
      spec.members,
      spec.perMember.accelerators,
      spec.perMember.cores,
      spec.perMember.memoryMiB,
      spec.adjacency,
      Number(spec.revocable),
      Number(spec.idempotent),
      spec.declaredRunTime,
      runTime,
      Number(owner),
    ]),
    ...trace.steps.map((each): Row => ["s", each.at, each.kind, each.target]),
  ];
  return [heading, ...rows].map((row) => JSON.stringify(row)).join("\n") + "\n";
}

/**
 * Parses a trace written by `formatTrace`. Throws a SyntaxError if a line is
 * not JSON; fields are not validated.
 */
export function parseTrace(text: string): Trace {
  const [first, ...lines] = text.trimEnd().split("\n");
  const { names, ...heading } = JSON.parse(first!);
  const rows = lines.map((line) => JSON.parse(line));
  const rowsOf = (kind: string) => rows.filter((row) => row[0] === kind);
  return {
    ...heading,
    requests: rowsOf("r").map((row): TraceRequest => ({
      at: row[1],
      team: names[row[2]],
      class: names[row[3]],
      runTime: row[4],
      deadline: row[5],
      idempotent: row[6] === 1,
      client: row[7],
    })),
    jobs: rowsOf("j").map((row) => parseJob(row, names)),
    steps: rowsOf("s").map((row): TraceStep => ({
      at: row[1],
      kind: row[2],
      target: row[3],
    })),
  };
}

function parseJob(row: (string & number)[], names: string[]): TraceJob {
  return {
    at: row[1]!,
    runTime: row[12]!,
    owner: row[13] === 1,
    spec: {
      team: names[row[2]!]!,
      class: names[row[3]!]!,
      members: row[4]!,
      perMember: {
        accelerators: row[5]!,
        cores: row[6]!,
        memoryMiB: row[7]!,
      },
      adjacency: `${row[8]!}` as Adjacency,
      revocable: row[9] === 1,
      idempotent: row[10] === 1,
      declaredRunTime: row[11]!,
      command: "train",
    },
  };
}

/** Lists the names of all recorded traces, sorted. */
export function listTraces(): string[] {
  return readdirSync(traceDirectory)
    .filter((file) => file.endsWith(".ndjson"))
    .map((file) => file.slice(0, -".ndjson".length))
    .sort();
}

/**
 * Reads a recorded trace with its expected outcomes, which have no bounds if
 * there is no file of them. Throws if the trace is not recorded.
 */
export function readTrace(name: string): { trace: Trace; expected: Expected } {
  const traceFile = new URL(`${name}.ndjson`, traceDirectory);
  const expectedFile = new URL(`${name}.expected.json`, traceDirectory);
  const expected = existsSync(expectedFile)
    ? JSON.parse(readFileSync(expectedFile, "utf8"))
    : { atLeast: {}, atMost: {} };
  return { trace: parseTrace(readFileSync(traceFile, "utf8")), expected };
}
