/**
 * Client of the worker's HTTP interface, which starts, changes and stops tasks.
 *
 * @module
 */

import { Agent as Connections, request } from "undici";
import { GANG_LEASE, SECOND } from "@dragonflyledge/model";
import type {
  AgentEffect,
  AgentEvent,
  Clock,
  MemberReport,
  Milliseconds,
  TaskId,
  Timer,
} from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";

/** Deadline of a call other than the poll for events. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND;
/** Maximum time that the worker takes to answer a poll for events. */
const POLL_TIMEOUT: Milliseconds = 30 * SECOND;
/** Delay before a worker that did not answer is called again. */
const RETRY_DELAY: Milliseconds = 500;
/**
 * How long the agent's start waits for a worker that does not answer. The tasks
 * of the agent's former process have ended by then, unless the worker carries
 * out the last renewal later than `CALL_TIMEOUT` after it was sent.
 */
const FIND_TIMEOUT: Milliseconds = CALL_TIMEOUT + GANG_LEASE;
/** Interval between reads of the worker's usage. */
const USAGE_INTERVAL: Milliseconds = 5 * SECOND;
/**
 * Maximum number of attempts of a call. If all of them fail, the worker ends
 * the task when its lease expires.
 */
const MAX_CALL_ATTEMPTS = 3;

/** Effect of the agent's reducer that concerns a task. */
export type TaskEffect = Extract<
  AgentEffect,
  {
    kind:
      | "startTask"
      | "renewTask"
      | "checkpointTask"
      | "throttleTask"
      | "stopTask";
  }
>;

/** Client of one worker. */
export interface WorkerClient {
  /**
   * Lists the tasks on the worker. A worker that does not answer is asked again
   * until the leases of its tasks have lapsed, since an empty list proves to
   * entries that no member is left; then the list is empty. It is empty at once
   * if no process listens at the worker's address.
   */
  findTasks(): Promise<MemberReport[]>;
  /** Performs an effect; results are dispatched as events. */
  perform(effect: TaskEffect): void;
  /** Starts polling for ended tasks and for the usage of the worker. */
  watch(): void;
  /** Stops polling and ends all calls. */
  close(): void;
}

/** End of a task as the worker reports it. */
interface TaskEnding {
  /** Position in the worker's sequence of events. */
  number: number;
  task: string;
  ending: string;
  cause: string;
}

/** Thrown when the worker answers with status 400 or above. */
class WorkerRefusal extends Error {
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

const CONFLICT = 409;
const NOT_FOUND = 404;

/** Creates a client of the worker at `url`. */
export function createWorkerClient(fields: {
  url: string;
  clock: Clock;
  timer: Timer;
  dispatch: (event: AgentEvent) => void;
  observer: Observer;
}): WorkerClient {
  const { clock, timer, dispatch, observer } = fields;
  const connections = new Connections({
    keepAliveTimeout: 4 * SECOND,
    connect: { timeout: CALL_TIMEOUT },
  });
  const cancels = new Map<string, () => void>();
  /** Tasks whose start is under way, so that the worker may not know them yet. */
  const starting = new Set<string>();
  /** Tasks whose ends are being looked up. */
  const lookups = new Set<string>();
  let closed = false;
  /** Number of the last end that the worker has reported. */
  let lastEvent = 0;

  async function call(
    method: "GET" | "PUT" | "POST",
    path: string,
    body?: unknown,
    timeout = CALL_TIMEOUT,
  ): Promise<unknown> {
    const answer = await request(fields.url + path, {
      method,
      dispatcher: connections,
      headers: { "content-type": "application/json" },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: timeout,
      bodyTimeout: timeout,
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 400) {
      throw new WorkerRefusal(
        answer.statusCode,
        `${method} ${path}: status ${answer.statusCode}: ${text}`,
      );
    }
    return text === "" ? undefined : JSON.parse(text);
  }

  /**
   * Calls an action on a task, and again if the worker does not answer. Returns
   * whether it succeeded, or that the worker does not know the task. `createBody`
   * returns the body of each attempt, or undefined if there shall be no further
   * one.
   */
  async function callTask(
    task: TaskId,
    action: string,
    createBody: () => unknown,
  ): Promise<"done" | "absent" | "failed"> {
    for (let attempt = 1; attempt <= MAX_CALL_ATTEMPTS; attempt++) {
      const body = createBody();
      if (body === undefined) return "failed";
      try {
        await call("POST", `${taskPath(task)}/${action}`, body);
        return "done";
      } catch (cause) {
        logFailure(`Could not ${action} a task.`, task, cause);
        // Tasks end with the process of the worker.
        const gone = hasCode(cause, "ECONNREFUSED");
        if (gone || isStatus(cause, NOT_FOUND)) return "absent";
        if (cause instanceof WorkerRefusal) return "failed";
      }
    }
    return "failed";
  }

  /**
   * Returns a function that gives what is left of a lease that begins now. Each
   * attempt of a call grants what is left at its time, so that a task lasts no
   * longer than entries expect of a gang whose agent is gone.
   */
  function countDown(lease: Milliseconds): () => Milliseconds {
    const lapsesAt = clock.now() + lease;
    return () => Math.floor(lapsesAt - clock.now());
  }

  async function start(
    effect: Extract<TaskEffect, { kind: "startTask" }>,
  ): Promise<void> {
    const { report: member, perMember, command, task } = effect;
    const remaining = countDown(effect.lease);
    let reason = "";
    for (let attempt = 1; attempt <= MAX_CALL_ATTEMPTS; attempt++) {
      const leaseMs = remaining();
      if (leaseMs <= 0) break;
      try {
        const body = { report: member, perMember, command, leaseMs };
        await call("PUT", taskPath(task), body);
        return dispatch({ kind: "taskStarted", now: clock.now(), task });
      } catch (cause) {
        // An earlier attempt may have started the task although its answer was
        // lost.
        if (isStatus(cause, CONFLICT)) {
          return dispatch({ kind: "taskStarted", now: clock.now(), task });
        }
        reason = (cause as Error).message;
        logFailure("Could not start a task.", task, cause);
      }
    }
    // The task may run although no attempt was answered, so it is stopped
    // before it is reported as failed, or its lease has lapsed by then.
    while (
      !closed && remaining() > -CALL_TIMEOUT &&
      await callTask(task, "stop", () => ({})) === "failed"
    ) {
      await pause(RETRY_DELAY);
    }
    end(task, "failed", reason);
  }

  /**
   * Extends the lease of a task, unless the new one lapses before that. A task
   * that the worker no longer knows has ended.
   */
  async function renew(
    { task, lease }: Extract<TaskEffect, { kind: "renewTask" }>,
  ): Promise<void> {
    const remaining = countDown(lease);
    const started = !starting.has(formatTask(task));
    const outcome = await callTask(task, "renew", () => {
      const leaseMs = remaining();
      return leaseMs > 0 ? { leaseMs } : undefined;
    });
    if (outcome === "absent" && started) await lookUpEnd(task);
  }

  /**
   * Reports the end of a task that the worker does not know. A worker that has
   * started again knows no tasks of its former process and numbers its events
   * anew, so that the poll after the last event of that process misses them.
   */
  async function lookUpEnd(task: TaskId): Promise<void> {
    const id = formatTask(task);
    if (lookups.has(id)) return;
    lookups.add(id);
    try {
      const endings = await listEndings();
      const highest = Math.max(0, ...endings.map(({ number }) => number));
      if (highest < lastEvent) {
        lastEvent = 0;
        for (const ending of endings) dispatchEnding(ending);
      }
      const ending = endings.findLast((one) => one.task === id);
      if (ending) dispatchEnding(ending);
      else end(task, "stopped", "absent");
    } catch (cause) {
      // The next renewal finds the task absent again.
      logFailure("Could not look up the end of a task.", task, cause);
    } finally {
      lookups.delete(id);
    }
  }

  /** Lists all ends of this process of the worker. */
  async function listEndings(): Promise<TaskEnding[]> {
    try {
      const answer = await call("GET", "/events?after=0") as {
        endings: TaskEnding[];
      };
      return answer.endings;
    } catch (cause) {
      // The worker waits for the first end if there is none yet.
      if (hasCode(cause, "UND_ERR_HEADERS_TIMEOUT")) return [];
      throw cause;
    }
  }

  /**
   * Stops a task. One that the worker does not know is reported as ended, unless
   * its start is under way, which the worker may carry out after the stop. The
   * reducer repeats the stop until the task has ended.
   */
  async function stop(task: TaskId): Promise<void> {
    for (let attempt = 1; attempt <= MAX_CALL_ATTEMPTS; attempt++) {
      try {
        await call("POST", `${taskPath(task)}/stop`, {});
        return;
      } catch (cause) {
        if (isStatus(cause, NOT_FOUND)) {
          if (starting.has(formatTask(task))) return;
          return end(task, "stopped", "absent");
        }
        logFailure("Could not stop a task.", task, cause);
      }
    }
  }

  async function checkpoint(task: TaskId): Promise<void> {
    try {
      await call("POST", `${taskPath(task)}/checkpoint`, {});
      dispatch({ kind: "taskCheckpointed", now: clock.now(), task });
    } catch (cause) {
      logFailure("Could not checkpoint a task.", task, cause);
    }
  }

  function perform(effect: TaskEffect): void {
    switch (effect.kind) {
      case "startTask": {
        const id = formatTask(effect.task);
        starting.add(id);
        void start(effect).finally(() => starting.delete(id));
        return;
      }
      case "renewTask":
        void renew(effect);
        return;
      case "checkpointTask":
        void checkpoint(effect.task);
        return;
      case "throttleTask":
        void callTask(effect.task, "throttle", () => ({ share: effect.share }));
        return;
      case "stopTask":
        void stop(effect.task);
    }
  }

  function end(
    task: TaskId,
    ending: "finished" | "failed" | "stopped",
    cause: string,
  ): void {
    dispatch({ kind: "taskEnded", now: clock.now(), task, ending, cause });
  }

  function pause(delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      timer.after(delay, resolve);
    });
  }

  async function findTasks(): Promise<MemberReport[]> {
    const lapsedAt = clock.now() + FIND_TIMEOUT;
    while (!closed) {
      try {
        const answer = await call("GET", "/tasks") as {
          tasks: { report: MemberReport }[];
        };
        return answer.tasks.map((task) => task.report);
      } catch (cause) {
        const text = (cause as Error).message;
        observer.log("warn", "Could not list the worker's tasks.", { text });
        const absent = hasCode(cause, "ECONNREFUSED");
        if (absent || clock.now() >= lapsedAt) return [];
      }
      await pause(RETRY_DELAY);
    }
    return [];
  }

  /**
   * Polls for ended tasks after the last event; the worker numbers its events.
   */
  async function pollEvents(): Promise<void> {
    if (closed) return;
    try {
      const path = `/events?after=${lastEvent}`;
      const answer = await call("GET", path, undefined, POLL_TIMEOUT) as {
        endings: TaskEnding[];
      };
      for (const ending of answer.endings) dispatchEnding(ending);
      schedulePoll("events", 0, pollEvents);
    } catch {
      schedulePoll("events", RETRY_DELAY, pollEvents);
    }
  }

  function dispatchEnding(ending: TaskEnding): void {
    lastEvent = Math.max(lastEvent, ending.number);
    const task = parseTask(ending.task);
    if (task === undefined) return;
    if (ending.ending === "finished") return end(task, "finished", "");
    if (ending.ending === "failed") return end(task, "failed", ending.cause);
    end(task, "stopped", ending.ending);
  }

  async function pollUsage(): Promise<void> {
    if (closed) return;
    try {
      const usage = await call("GET", "/usage") as {
        cores: number;
        memoryMiB: number;
        ageMs: number;
      };
      const { cores, memoryMiB, ageMs: age } = usage;
      dispatch({ kind: "usage", now: clock.now(), cores, memoryMiB, age });
    } catch {
      observer.count("worker.unreachable", 1, {});
    }
    schedulePoll("usage", USAGE_INTERVAL, pollUsage);
  }

  function schedulePoll(
    name: string,
    delay: Milliseconds,
    poll: () => Promise<void>,
  ): void {
    if (closed) return;
    cancels.set(name, timer.after(delay, () => void poll()));
  }

  function logFailure(text: string, task: TaskId, cause: unknown): void {
    const reason = (cause as Error).message;
    observer.log("warn", text, { task: formatTask(task), reason });
  }

  return {
    findTasks,
    perform,
    watch: () => {
      void pollEvents();
      void pollUsage();
    },
    close: () => {
      closed = true;
      for (const cancel of cancels.values()) cancel();
      void connections.destroy();
    },
  };
}

function isStatus(cause: unknown, status: number): boolean {
  return cause instanceof WorkerRefusal && cause.status === status;
}

function hasCode(cause: unknown, code: string): boolean {
  return (cause as { code?: string }).code === code;
}

function taskPath(task: TaskId): string {
  return `/tasks/${encodeURIComponent(formatTask(task))}`;
}

function formatTask(task: TaskId): string {
  return `${task.run.job}.${task.run.epoch}.${task.member}`;
}

function parseTask(id: string): TaskId | undefined {
  const match = /^(.+)\.(\d+)\.(\d+)$/.exec(id);
  if (!match) return undefined;
  const run = { job: match[1]!, epoch: Number(match[2]) };
  return { run, member: Number(match[3]) };
}
