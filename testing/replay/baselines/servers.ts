/**
 * Servers of the baselines: endpoints that run as many requests as they have
 * slots and queue the rest.
 *
 * @module
 */

import type { Inventory, Milliseconds } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import type { Execution, RequestRecord } from "../record.ts";

/** One endpoint with its queue. */
export interface Server {
  readonly inventory: Inventory;
  /** Whether requests that start now fail. */
  failing: boolean;
  /** Whether the server gets no new requests. */
  leaving: boolean;
  /** Number of requests that run or wait here or are on their way here. */
  load: number;
  /** Load at the last report. */
  reportedLoad: number;
  /** Starts a request as soon as a slot is free. */
  enqueue(request: RequestRecord): void;
  /** Aborts a running request, or removes a waiting one from the queue. */
  cancel(request: RequestRecord): void;
}

/** Run time of a request that starts on a failing endpoint. */
const FAILURE_TIME: Milliseconds = 20;

/**
 * Creates an idle endpoint. It calls `ended` when a request has ended, with
 * "not-run" if the request never started.
 */
export function createServer(fields: {
  heap: EventHeap;
  inventory: Inventory;
  ended: (
    request: RequestRecord,
    result: "done" | "failed" | "unknown" | "not-run",
  ) => void;
}): Server {
  const { heap, inventory, ended } = fields;
  const queue: RequestRecord[] = [];
  const running = new Map<RequestRecord, Execution>();

  function endRequest(
    request: RequestRecord,
    result: "done" | "failed" | "unknown" | "not-run",
  ): void {
    server.load--;
    ended(request, result);
    startQueued();
  }

  /** Ends the execution of a request; does nothing if it is not running. */
  function stop(
    request: RequestRecord,
    ending: Execution["ending"],
    result: "done" | "failed" | "unknown",
  ): void {
    const execution = running.get(request);
    if (execution === undefined) return;
    running.delete(request);
    execution.end = heap.now;
    execution.ending = ending;
    endRequest(request, result);
  }

  /** Starts waiting requests in free slots; expired ones end as not run. */
  function startQueued(): void {
    while (running.size < inventory.slots && queue.length > 0) {
      const request = queue.shift()!;
      if (heap.now >= request.deadline) endRequest(request, "not-run");
      else start(request);
    }
  }

  function start(request: RequestRecord): void {
    const execution: Execution = {
      request: request.id,
      worker: inventory.worker,
      start: heap.now,
      end: Infinity,
      ending: "running",
    };
    request.executions.push(execution);
    running.set(request, execution);
    const { failing } = server;
    const runTime = failing ? FAILURE_TIME : request.runTime;
    const result = failing ? "failed" : "done";
    heap.after(runTime, () => stop(request, result, result));
    // A request is aborted at its deadline, so that it holds no slot for longer.
    heap.at(request.deadline, () => stop(request, "aborted", "unknown"));
  }

  const server: Server = {
    inventory,
    failing: false,
    leaving: false,
    load: 0,
    reportedLoad: 0,
    enqueue(request) {
      queue.push(request);
      startQueued();
    },
    cancel(request) {
      stop(request, "aborted", "unknown");
      const index = queue.indexOf(request);
      if (index < 0) return;
      queue.splice(index, 1);
      endRequest(request, "not-run");
    },
  };
  return server;
}
