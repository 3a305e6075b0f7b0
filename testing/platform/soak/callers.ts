/**
 * Simulated callers: they submit random jobs to random entries, poll their
 * states and cancel some of them.
 *
 * @module
 */

import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "@dragonflyledge/model";
import { QUEUE_HOST, TEAM_KEY } from "../configuration.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import { WORKER_ACCELERATORS } from "./ledger.ts";
import type { JobRecord, Ledger, SoakJob, SoakStep } from "./ledger.ts";

/** Time for which a caller waits for an answer, in milliseconds. */
const REQUEST_TIMEOUT = 3000;
/**
 * Delay before a submission is repeated, and longest pause between two jobs of
 * a caller, in milliseconds.
 */
const MAX_PAUSE = 400;
/** Longest time between two polls of a job's state, in milliseconds. */
const MAX_POLL_INTERVAL = 500;
/** Most submissions of a job until one is accepted. */
const MAX_SUBMISSIONS = 5;
/** Polls of a job's state before the caller submits its next job. */
const MAX_POLLS = 12;
/** Longest time of a task of a usual job, in milliseconds. */
const MAX_DURATION = 2500;
/**
 * Time in milliseconds that is added to the tasks of a long job; on most
 * workers they are at work when an agent that was cut off counts as lost.
 */
const LONG_DURATION = 16_000;
/** Share of the jobs that their caller cancels, 0 to 1. */
const CANCEL_SHARE = 0.15;
/** Share of the jobs of which a task crashes its workers, 0 to 1. */
const DEADLY_SHARE = 0.05;
/** Time from the start of most deadly tasks to the crash, in milliseconds. */
const EARLY_CRASH_DELAY = 10;
/** Share of the deadly jobs whose tasks settle before the crash, 0 to 1. */
const LATE_CRASH_SHARE = 0.5;
/** Bounds of that time for these, in milliseconds. */
const LATE_CRASH_DELAY = { least: 800, most: 3500 };
/** Longest time for which such a task would work on, in milliseconds. */
const LATE_CRASH_MARGIN = 1500;
/** Most tasks of such a job that crash their workers at the same moment. */
const TIED_TASKS = 2;
/** Share of the accepted jobs that are submitted once more, 0 to 1. */
const REPEAT_SHARE = 0.1;
/**
 * Least time from a request to a broken connection, in milliseconds, for the
 * request to count as cut off. A connection that breaks sooner may have been
 * closed before the entry read the request.
 */
const MIN_CUT_TIME = 200;

/** An entry's answer to one request. */
export interface SoakAnswer {
  /** HTTP status; 0 if there was no answer. */
  status: number;
  /** State of the job; empty if the answer names none. */
  state: string;
  /** Milliseconds from sending the request to the answer or failure. */
  elapsed: number;
  /** Whether the connection ended before the answer was complete. */
  broken: boolean;
}

/**
 * Sends one request to an entry, on a connection of `agent` if given. Never
 * rejects: a timeout or broken connection resolves with status 0.
 */
export function sendRequest(fields: {
  entry: ProgramProcess;
  method: string;
  path: string;
  body?: unknown;
  /** API key; that of the team with a guarantee by default. */
  key?: string;
  agent?: Agent;
}): Promise<SoakAnswer> {
  const [host, port] = fields.entry.callerAddress.split(":");
  const sentAt = performance.now();
  const elapsed = () => performance.now() - sentAt;
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method: fields.method,
      path: fields.path,
      agent: fields.agent,
      headers: {
        host: QUEUE_HOST,
        "x-api-key": fields.key ?? TEAM_KEY,
        "deadline-ms": String(REQUEST_TIMEOUT),
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on("error", () => finish(0, "", true));
      response.on("end", () => {
        clearTimeout(timeout);
        const status = response.statusCode ?? 0;
        const state = status === 200 && text !== ""
          ? String(JSON.parse(text).state ?? "")
          : "";
        finish(status, state, false);
      });
    });
    const finish = (status: number, state: string, broken: boolean) => {
      clearTimeout(timeout);
      resolve({ status, state, elapsed: elapsed(), broken });
    };
    const timeout = setTimeout(() => {
      finish(0, "", false);
      outgoing.destroy();
    }, REQUEST_TIMEOUT);
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      // A refused connection has carried no request that could be cut off.
      finish(0, "", error.code !== "ECONNREFUSED");
    });
    outgoing.end(
      fields.body === undefined ? undefined : JSON.stringify(fields.body),
    );
  });
}

/**
 * Runs `count` callers at the same time until `done` returns true. Each
 * submits one job after the other and records in the ledger what it sees.
 */
export async function runCallers(fields: {
  programs: Programs;
  ledger: Ledger;
  count: number;
  random: () => number;
  /** Whether the next job is a long one; none is by default. */
  drawLong?: () => boolean;
  done: () => boolean;
  /** Whether the entry was recently affected by planned stops at most. */
  onlyPlannedStops: (entry: ProgramProcess) => boolean;
}): Promise<void> {
  const { programs, ledger, random, done } = fields;
  let nextId = 1;

  const pick = <T>(list: readonly T[]) =>
    list[Math.floor(random() * list.length)]!;

  async function run(): Promise<void> {
    // Keeps a connection in use until the process at its other end has ended.
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const call = async (
      method: string,
      path: string,
      body?: unknown,
    ): Promise<SoakAnswer> => {
      const entry = pick(programs.entries);
      const answer = await sendRequest({ entry, method, path, body, agent });
      const cut = answer.broken && answer.elapsed > MIN_CUT_TIME;
      if (cut && fields.onlyPlannedStops(entry)) {
        ledger.report("LOST", `${method} ${path} at ${entry.name} was cut off`);
      }
      return answer;
    };
    while (!done()) {
      const job = drawJob({
        random,
        number: nextId++,
        workers: programs.workers.length,
        long: fields.drawLong?.() ?? false,
      });
      const record = ledger.sent(job);
      const path = `${random() < 0.5 ? "/plans/" : "/batch/"}${job.id}`;
      await submit(call, record, path);
      await pollState(call, record, path);
      await sleep(MAX_PAUSE * random());
    }
    agent.destroy();
  }

  type Call = (
    method: string,
    path: string,
    body?: unknown,
  ) => Promise<SoakAnswer>;

  async function submit(call: Call, record: JobRecord, path: string) {
    const body = encodeJob(record.job);
    for (let count = 0; count < MAX_SUBMISSIONS; count++) {
      const { status } = await call("POST", path, body);
      ledger.answered(record, status);
      if (status === 200) break;
      await sleep(MAX_PAUSE);
    }
    if (record.accepted && random() < REPEAT_SHARE) {
      ledger.answered(record, (await call("POST", path, body)).status);
    }
  }

  async function pollState(call: Call, record: JobRecord, path: string) {
    const cancels = random() < CANCEL_SHARE;
    for (let polls = 0; polls < MAX_POLLS && !done(); polls++) {
      if (cancels && record.cancelledAt === undefined) {
        record.cancelSent = true;
        const { status } = await call("DELETE", path);
        if (status === 200 || status === 410) {
          record.cancelledAt = performance.now();
        }
      }
      const { status, state } = await call("GET", path);
      ledger.shown(record.job.id, status, state);
      if (status === 200 && isFinal(state)) return;
      await sleep(MAX_POLL_INTERVAL * random());
    }
  }

  await Promise.all(Array.from({ length: fields.count }, run));
}

/** Whether a job in this state has ended and never changes again. */
export function isFinal(state: string): boolean {
  return ["completed", "failed", "cancelled"].includes(state);
}

/**
 * Draws the job with this number. A gang has no more members than the workers
 * can hold together, since it would wait for ever.
 */
export function drawJob(fields: {
  random: () => number;
  number: number;
  workers: number;
  /** Whether its tasks take longer than a lease. */
  long?: boolean;
}): SoakJob {
  const { random, number, workers } = fields;
  const integer = (min: number, max: number) =>
    min + Math.floor(random() * (max - min + 1));
  const step = (after: number[]): SoakStep => {
    const gang = random() < 0.35;
    const count = gang ? integer(2, 4) : integer(1, 6);
    const accelerators = random() < 0.1 ? 8 : integer(1, 4);
    const room = workers * Math.floor(WORKER_ACCELERATORS / accelerators);
    return {
      count: gang ? Math.min(count, room) : count,
      // Many long tasks run beside each other.
      accelerators: fields.long ? 1 : accelerators,
      duration: integer(100, MAX_DURATION) + (fields.long ? LONG_DURATION : 0),
      gang,
      after,
    };
  };
  const id = (number * 0x10000 + integer(0, 0xffff)).toString(16);
  const steps = random() < 0.25 ? [step([]), step([0])] : [step([])];
  const job = { id: id.padStart(16, "0"), steps, long: fields.long };
  return random() < DEADLY_SHARE ? makeDeadly(job) : job;
}

/**
 * Lets tasks of the job crash their workers, right after their start or
 * together at work. Its details are drawn from its id, so that a seed draws the
 * rest as ever.
 */
function makeDeadly(job: SoakJob): SoakJob {
  const random = createRandom(Number.parseInt(job.id, 16));
  if (random() >= LATE_CRASH_SHARE) {
    return { ...job, deadly: { count: 1, delay: EARLY_CRASH_DELAY } };
  }
  const { least, most } = LATE_CRASH_DELAY;
  const delay = least + random() * (most - least);
  const count = 1 + Math.floor(random() * TIED_TASKS);
  const first: SoakStep = {
    count,
    accelerators: WORKER_ACCELERATORS,
    duration: delay + LATE_CRASH_MARGIN,
    gang: false,
    after: [],
  };
  const steps = [first, ...job.steps.slice(1)];
  return { ...job, steps, deadly: { count, delay } };
}

function encodeJob(job: SoakJob) {
  return {
    spec: job.id,
    steps: job.steps.map((step) => ({
      count: step.count,
      cpu: 1000,
      memMb: 10,
      gpu: step.accelerators,
      estimateMs: step.duration,
      ...(step.gang ? { gang: true } : {}),
      ...(step.after.length > 0 ? { after: step.after } : {}),
    })),
  };
}
