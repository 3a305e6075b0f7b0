/**
 * Stand-in of a worker: starts and stops runs, reports their ends and sends
 * heartbeats to its agent.
 *
 * @module
 */

import { request } from "node:http";
import { startJsonServer } from "./json_server.ts";
import type { JsonCall, JsonReply } from "./json_server.ts";
import {
  createIncarnation,
  HEARTBEAT_INTERVAL,
  now,
  POLL_INTERVAL,
} from "./worker_incarnation.ts";
import type { Incarnation } from "./worker_incarnation.ts";
import { observeFixedDuration } from "./worker_runs.ts";
import type { WorkerRun, WorkObserver } from "./worker_runs.ts";

export type { Ending, WorkerRun, WorkObserver } from "./worker_runs.ts";

/** Rate of the slowest clock that a worker may have. */
export const SLOWEST_CLOCK_RATE = 0.98;
/**
 * Reading of the first clock in milliseconds, so that it is far ahead of one
 * that began anew.
 */
const FIRST_CLOCK = 60_000;

/** A call that waits for the next incarnation, or that it carried out late. */
export interface WaitingCall extends Pick<JsonCall, "path" | "body"> {
  /** Status of the answer, whether or not the caller still waits for it. */
  status?: number;
}

/** A running worker, with what it did for checks. */
export interface WorkerServer {
  /** Host and port, as "host:port". */
  address: string;
  /** Id of the present incarnation. */
  id(): string;
  /** Whether the present incarnation has had a lease since that time. */
  hasLease(since: number): boolean;
  /** All runs that started, as "task#run". */
  readonly started: string[];
  /** Tasks of all runs that ended as done. */
  readonly done: string[];
  /** Runs that are running now. */
  listRuns(): WorkerRun[];
  /** Accelerators in use now. */
  usedAccelerators(): number;
  /** Highest number of tasks that ran at one time. */
  maxRunning(): number;
  /**
   * Starts sending heartbeats to an agent, which calls the worker at `address`.
   * Both are given as "host:port".
   */
  startHeartbeats(fields: { agent: string; address: string }): void;
  /** Loses all runs and ends, and comes back as another incarnation. */
  crash(): void;
  /**
   * Loses all runs and ends, and answers no more: connections stay open, and
   * calls wait for `restart`.
   */
  halt(): void;
  /** Whether it was halted and has not started again. */
  isHalted(): boolean;
  /** Calls that wait for the next incarnation. */
  readonly waitingCalls: readonly WaitingCall[];
  /**
   * Starts again after `halt`, under the same id. Calls that waited are carried
   * out once `callsAfter` resolves, also those whose caller has given up.
   */
  restart(fields: { callsAfter: Promise<void> }): void;
  /** Calls that waited and were carried out. */
  readonly lateCalls: readonly WaitingCall[];
  /** Has and announces this number of accelerators until the next crash. */
  resize(accelerators: number): void;
  /** Announces itself as draining until the next crash. */
  drain(): void;
  stop(): Promise<void>;
}

/**
 * Starts a worker. Without an observer its tasks take `duration` milliseconds
 * and one accelerator each.
 */
export async function startWorker(
  fields: {
    id: string;
    service: string;
    duration: number;
    /** How fast it runs tasks, for the observer; 1 by default. */
    rate?: number;
    /** Rate of its clock; 1 by default. */
    clockRate?: number;
    observer?: WorkObserver;
  },
): Promise<WorkerServer> {
  const observer = fields.observer ?? observeFixedDuration(fields.duration);
  const started: string[] = [];
  const done: string[] = [];
  const waitingCalls = new Set<WaitingCall>();
  const lateCalls: WaitingCall[] = [];
  let count = 1;
  let incarnation = createNext(now() + FIRST_CLOCK);
  let maxRunning = 0;
  let heartbeat: NodeJS.Timeout | undefined;
  let sendHeartbeat = () => {};
  /** Resolves after a halted worker's restart, when waiting calls come. */
  let restarted: Promise<void> | undefined;
  let resolveRestarted: (callsAfter: Promise<void>) => void = () => {};

  const timer = setInterval(() => incarnation.endDueRuns(), POLL_INTERVAL);

  function createNext(clockStart: number): Incarnation {
    return createIncarnation({
      id: `${fields.id}-${count}`,
      observer,
      rate: fields.rate,
      clockStart,
      clockRate: fields.clockRate ?? 1,
      onStart: ({ task, run }, running) => {
        started.push(`${task}#${run}`);
        maxRunning = Math.max(maxRunning, running);
      },
      onEnd: ({ task }, ending) => {
        if (ending === "done") done.push(task);
      },
    });
  }

  async function handle(call: JsonCall): Promise<JsonReply> {
    if (!restarted) return carryOut(call);
    const { path, body } = call;
    const waiting: WaitingCall = { path, body };
    waitingCalls.add(waiting);
    while (restarted) await restarted;
    waitingCalls.delete(waiting);
    lateCalls.push(waiting);
    const reply = await carryOut(call);
    waiting.status = reply?.status;
    return reply;
  }

  async function carryOut(
    { path, body, headers }: JsonCall,
  ): Promise<JsonReply> {
    const current = incarnation;
    if (headers["expected-instance"] !== current.id) return { status: 421 };
    const reply = await current.handle(path, body);
    // A worker that crashed meanwhile does not answer.
    return current === incarnation && !restarted ? reply : undefined;
  }

  const server = await startJsonServer(handle);

  function startHeartbeats(
    { agent, address }: { agent: string; address: string },
  ): void {
    const [host, port] = agent.split(":");
    sendHeartbeat = () => {
      if (restarted) return;
      const call = request({
        host,
        port,
        method: "PUT",
        path: `/instances/${incarnation.id}`,
      }, (response) => response.resume());
      // The agent may be down; the next heartbeat is sent all the same.
      call.on("error", () => {});
      call.end(JSON.stringify({
        service: fields.service,
        address,
        zone: "zone-a",
        ...incarnation.announce(),
      }));
    };
    sendHeartbeat();
    heartbeat = setInterval(() => sendHeartbeat(), HEARTBEAT_INTERVAL);
  }

  return {
    address: server.address,
    id: () => incarnation.id,
    hasLease: (since) => !restarted && incarnation.hasLease(since),
    started,
    done,
    listRuns: () => incarnation.listRuns(),
    usedAccelerators: () => incarnation.usedAccelerators(),
    maxRunning: () => maxRunning,
    startHeartbeats,
    crash: () => {
      if (restarted) return;
      const former = incarnation;
      count++;
      incarnation = createNext(now() + FIRST_CLOCK);
      server.cut();
      former.crash();
    },
    halt: () => {
      if (restarted) return;
      restarted = new Promise((resolve) => resolveRestarted = resolve);
      incarnation.crash();
    },
    isHalted: () => restarted !== undefined,
    get waitingCalls() {
      return [...waitingCalls];
    },
    restart: ({ callsAfter }) => {
      if (!restarted) return;
      restarted = undefined;
      incarnation = createNext(0);
      resolveRestarted(callsAfter);
      sendHeartbeat();
    },
    lateCalls,
    resize: (accelerators) => incarnation.resize(accelerators),
    drain: () => incarnation.drain(),
    stop: () => {
      clearInterval(timer);
      clearInterval(heartbeat);
      return server.stop();
    },
  };
}
