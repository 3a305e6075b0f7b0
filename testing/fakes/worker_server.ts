/**
 * Fake worker: an HTTP server that starts any task, under a lease.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Clock,
  type Milliseconds,
  SECOND,
  type Timer,
} from "@dragonflyledge/model";
import {
  answerJson,
  isObject,
  listenHttp,
  type ListeningServer,
  readObject,
} from "./http.ts";
import { createSystemTime } from "./system_timer.ts";
import {
  createWorkerTasks,
  type EndingEvent,
  type WorkerRecord,
  type WorkerTask,
  type WorkerTasks,
} from "./worker_tasks.ts";

/** Faults of the worker. A test sets and clears them at any time. */
export interface WorkerFaults {
  /** Every task fails as soon as it starts. */
  failAll: boolean;
  /** Calls are not performed and not answered. */
  hang: boolean;
}

/** A running fake worker. */
export interface WorkerServer extends ListeningServer {
  readonly faults: WorkerFaults;
  /** All starts and ends of tasks, in order. */
  readonly records: WorkerRecord[];
  /** All ends of tasks, as `GET /events` lists them. */
  readonly endings: EndingEvent[];
  /** Tasks that are running. */
  tasks(): WorkerTask[];
}

interface Worker {
  tasks: WorkerTasks;
  time: Clock & Timer;
  usage: () => unknown;
}

type Answer = { status: number; value: unknown };

/**
 * Starts a fake worker.
 *
 * @param fields.usageLag age of the usage that `GET /usage` reports
 * @param fields.pollTimeout longest time that `GET /events` waits for an ending
 */
export async function createWorkerServer(
  { host, port, clock, usageLag = 2 * SECOND, pollTimeout = 10 * SECOND }: {
    host?: string;
    port?: number;
    clock?: Clock & Timer;
    usageLag?: Milliseconds;
    pollTimeout?: Milliseconds;
  } = {},
): Promise<WorkerServer> {
  const time = clock ?? createSystemTime();
  const faults = { failAll: false, hang: false };
  const tasks = createWorkerTasks({
    clock: time,
    failAll: () => faults.failAll,
  });
  const usage = createUsage(tasks, time, usageLag);
  const worker = { tasks, time, usage: usage.read };

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readObject(request);
    if (faults.hang) return;
    const url = new URL(request.url ?? "/", "http://worker");
    if (request.method === "GET" && url.pathname === "/events") {
      const after = Number(url.searchParams.get("after") ?? 0);
      return pollEndings(worker, after, pollTimeout, response);
    }
    const { status, value } = fields
      ? route(worker, `${request.method} ${url.pathname}`, fields)
      : { status: 400, value: { error: "the body is not a JSON object" } };
    usage.sample();
    answerJson(response, status, value);
  }

  const listening = await listenHttp({
    host,
    port,
    handle: (request, response) => void handle(request, response),
  });
  return {
    ...listening,
    faults,
    records: tasks.records,
    endings: tasks.endings,
    tasks: tasks.list,
    async stop() {
      tasks.endAll();
      await listening.stop();
    },
  };
}

function route(
  worker: Worker,
  call: string,
  fields: Record<string, unknown>,
): Answer {
  const { tasks } = worker;
  if (call === "GET /tasks") {
    return { status: 200, value: { tasks: tasks.list() } };
  }
  if (call === "GET /usage") return { status: 200, value: worker.usage() };
  const put = /^PUT \/tasks\/([^/]+)$/.exec(call);
  if (put) return startTask(tasks, decodeURIComponent(put[1]!), fields);
  const [, name, verb] = /^POST \/tasks\/([^/]+)\/(\w+)$/.exec(call) ?? [];
  if (!name) return { status: 404, value: { error: "no such resource" } };
  const id = decodeURIComponent(name);
  const done = verb === "renew"
    ? tasks.renew(id, Number(fields.leaseMs))
    : verb === "checkpoint"
    ? tasks.checkpoint(id)
    : verb === "throttle"
    ? tasks.throttle(id, Number(fields.share))
    : verb === "stop" && tasks.end(id, "stopped", "stopped by its caller");
  return done
    ? { status: 200, value: {} }
    : { status: 404, value: { error: "no such task" } };
}

/** Starts a task; refuses an invalid one and one that is already running. */
function startTask(
  tasks: WorkerTasks,
  id: string,
  fields: Record<string, unknown>,
): Answer {
  const { report, perMember, command, leaseMs } = fields;
  const valid = isObject(perMember) && typeof command === "string" &&
    typeof leaseMs === "number" && leaseMs > 0;
  if (!valid) return { status: 400, value: { error: "invalid task" } };
  const task: WorkerTask = {
    id,
    report,
    perMember: perMember as unknown as WorkerTask["perMember"],
    command,
    leaseMs,
    share: 1,
    checkpoints: 0,
  };
  return tasks.start(task)
    ? { status: 201, value: {} }
    : { status: 409, value: { error: "the task is already running" } };
}

/**
 * Answers with the endings whose number is above `after`. If there are none,
 * waits for the next one, at most for `timeout`.
 */
function pollEndings(
  { tasks, time }: Worker,
  after: number,
  timeout: Milliseconds,
  response: ServerResponse,
): void {
  const finish = () => {
    cancel();
    unregister();
    const endings = tasks.endings.slice(after);
    answerJson(response, 200, { endings });
  };
  const cancel = time.after(timeout, finish);
  const unregister = tasks.onEnding(finish);
  response.once("close", () => {
    cancel();
    unregister();
  });
  if (tasks.endings.length > after) finish();
}

/**
 * Creates a meter that reports the usage as it was `lag` ago. Each task counts
 * with the cores and memory that it declared.
 */
function createUsage(
  tasks: WorkerTasks,
  clock: Clock,
  lag: Milliseconds,
): { sample: () => void; read: () => unknown } {
  let samples = [{ at: clock.now(), cores: 0, memoryMiB: 0 }];
  function sample(): void {
    const running = tasks.list();
    const sum = (field: "cores" | "memoryMiB") =>
      running.reduce((total, task) => total + task.perMember[field], 0);
    const cores = sum("cores");
    samples.push({ at: clock.now(), cores, memoryMiB: sum("memoryMiB") });
    const visible = samples.findLastIndex((s) => s.at <= clock.now() - lag);
    samples = samples.slice(Math.max(0, visible));
  }
  tasks.onEnding(sample);
  return {
    sample,
    read() {
      sample();
      const { cores, memoryMiB } = samples[0]!;
      return { cores, memoryMiB, ageMs: lag };
    },
  };
}
