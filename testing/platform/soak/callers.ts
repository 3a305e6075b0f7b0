/**
 * Callers that send jobs, ask for them and cancel some of them.
 *
 * @module
 */

import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { QUEUE_HOST } from "../programs.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import type { JobRecord, Ledger, SoakJob, SoakStep } from "./ledger.ts";

const REQUEST_TIMEOUT = 3000;
const MAX_PAUSE = 400;
const MAX_POLL_INTERVAL = 500;
const MAX_SUBMISSIONS = 5;
/** States that are asked for before a caller sends its next job. */
const MAX_POLLS = 12;
const CANCEL_SHARE = 0.15;
const REPEAT_SHARE = 0.1;
/** A connection that breaks sooner may have been closed before it was read. */
const MIN_CUT_TIME = 200;

/** Answer of an entry; status 0 stands for none. */
export interface SoakAnswer {
  status: number;
  state: string;
  /** Milliseconds from the sending to the end. */
  elapsed: number;
  /** The connection ended before an answer. */
  broken: boolean;
}

/** Sends one request, on a connection of this agent. */
export function sendRequest(fields: {
  entry: ProgramProcess;
  method: string;
  path: string;
  body?: unknown;
  agent?: Agent;
}): Promise<SoakAnswer> {
  const [host, port] = fields.entry.callerAddress.split(":");
  const sentAt = performance.now();
  const took = () => performance.now() - sentAt;
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method: fields.method,
      path: fields.path,
      agent: fields.agent,
      headers: {
        host: QUEUE_HOST,
        "x-api-key": "key-1",
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
      resolve({ status, state, elapsed: took(), broken });
    };
    const timeout = setTimeout(() => {
      finish(0, "", false);
      outgoing.destroy();
    }, REQUEST_TIMEOUT);
    outgoing.on("error", () => finish(0, "", true));
    outgoing.end(
      fields.body === undefined ? undefined : JSON.stringify(fields.body),
    );
  });
}

/** Runs callers until `done`, then resolves. */
export async function runCallers(fields: {
  programs: Programs;
  ledger: Ledger;
  count: number;
  random: () => number;
  done: () => boolean;
  /** Whether only a planned stop of the entry is near. */
  onlyStops: (entry: ProgramProcess) => boolean;
}): Promise<void> {
  const { programs, ledger, random, done } = fields;
  let nextId = 1;

  const pick = <T>(list: readonly T[]) =>
    list[Math.floor(random() * list.length)]!;

  async function run(): Promise<void> {
    // Open connections are used until the process at the other end is gone.
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const call = async (
      method: string,
      path: string,
      body?: unknown,
    ): Promise<SoakAnswer> => {
      const entry = pick(programs.entries);
      const answer = await sendRequest({ entry, method, path, body, agent });
      const cut = answer.broken && answer.elapsed > MIN_CUT_TIME;
      if (cut && fields.onlyStops(entry)) {
        ledger.blame("LOST", `${method} ${path} at ${entry.name} is cut off`);
      }
      return answer;
    };
    while (!done()) {
      const job = drawJob(random, nextId++);
      const entry = ledger.sent(job);
      const path = `${random() < 0.5 ? "/plans/" : "/batch/"}${job.id}`;
      await submit(call, entry, path);
      await follow(call, entry, path);
      await sleep(MAX_PAUSE * random());
    }
    agent.destroy();
  }

  type Call = (
    method: string,
    path: string,
    body?: unknown,
  ) => Promise<SoakAnswer>;

  async function submit(call: Call, entry: JobRecord, path: string) {
    const body = encodeJob(entry.job);
    for (let tries = 0; tries < MAX_SUBMISSIONS; tries++) {
      const { status } = await call("POST", path, body);
      ledger.answered(entry, status);
      if (status === 200) break;
      await sleep(MAX_PAUSE);
    }
    if (entry.accepted && random() < REPEAT_SHARE) {
      ledger.answered(entry, (await call("POST", path, body)).status);
    }
  }

  async function follow(call: Call, entry: JobRecord, path: string) {
    const cancels = random() < CANCEL_SHARE;
    for (let polls = 0; polls < MAX_POLLS && !done(); polls++) {
      if (cancels && entry.cancelledAt === undefined) {
        entry.cancelSent = true;
        const { status } = await call("DELETE", path);
        if (status === 200 || status === 410) {
          entry.cancelledAt = performance.now();
        }
      }
      const { status, state } = await call("GET", path);
      ledger.shown(entry.job.id, status, state);
      if (status === 200 && isFinal(state)) return;
      await sleep(MAX_POLL_INTERVAL * random());
    }
  }

  await Promise.all(Array.from({ length: fields.count }, run));
}

/** Whether a job in this state does not change any more. */
export function isFinal(state: string): boolean {
  return ["completed", "failed", "cancelled"].includes(state);
}

function drawJob(random: () => number, number: number): SoakJob {
  const whole = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const step = (after: number[]): SoakStep => {
    const gang = random() < 0.35;
    return {
      count: gang ? whole(2, 4) : whole(1, 6),
      accelerators: random() < 0.1 ? 8 : whole(1, 4),
      duration: whole(100, 2500),
      gang,
      after,
    };
  };
  const id = (number * 0x10000 + whole(0, 0xffff)).toString(16);
  const steps = random() < 0.25 ? [step([]), step([0])] : [step([])];
  return { id: id.padStart(16, "0"), steps };
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
