/**
 * An agent's reducer with a worker, and the events of its tests.
 *
 * @module
 */

import type { AgentOrders } from "@dragonflyledge/scheduler";
import { createWorkerControl } from "./mod.ts";
import type { Announcement, ControlEvent } from "./mod.ts";

/** Name of the agent's process. */
export const PROCESS = "process-1";
/** Key of the worker. */
export const WORKER = "i-1@1000";

/** First heartbeat of the worker; `fields` override it. */
export function announcement(fields: Partial<Announcement> = {}): Announcement {
  return {
    id: "i-1",
    born: 1000,
    service: "service",
    rack: "r1-1",
    labels: [],
    millicores: 32_000,
    megabytes: 128_000,
    accelerators: 8,
    draining: false,
    remaining: 0,
    clock: 50_000,
    sequence: 1,
    ...fields,
  };
}

/** Orders without a start or stop; `fields` override them. */
export function orders(fields: Partial<AgentOrders> = {}): AgentOrders {
  return {
    kind: "orders",
    epoch: 7,
    answersReport: 0,
    worker: WORKER,
    starts: [],
    stops: [],
    acknowledged: 0,
    ...fields,
  };
}

/** The worker answers a hold call with empty lists. */
export function holdAnswer(now: number, sentAt: number): ControlEvent {
  return {
    kind: "held",
    now,
    worker: WORKER,
    sentAt,
    clock: 50_000 + now,
    born: 1000,
    running: [],
    ended: [],
    allEnds: true,
  };
}

/** Order to start a task. */
export const START_ORDER = {
  task: "a.0.0.0",
  run: 1,
  spec: "text",
  checkpoint: "",
};

/** Creates an agent that got a first heartbeat of its worker at time 0. */
export function createWithWorker() {
  const control = createWorkerControl({
    process: PROCESS,
    times: { grant: 8000, longestLease: 10_000 },
  });
  const reduce = (event: ControlEvent) => control.reduce(event);
  reduce({ kind: "announced", now: 0, announcement: announcement() });
  return { control, reduce };
}
