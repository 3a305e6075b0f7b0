/**
 * Endpoints of the baselines. They queue what exceeds their slots.
 *
 * @module
 */

import type { Inventory, Milliseconds } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import type { Execution, RequestRecord } from "../record.ts";

/** One endpoint with its queue. */
export interface Server {
  readonly inventory: Inventory;
  failing: boolean;
  leaving: boolean;
  /** Requests that run or wait here, or are on their way. */
  load: number;
  /** Load as last reported. */
  reportedLoad: number;
  enqueue(request: RequestRecord): void;
  cancel(request: RequestRecord): void;
}

const FAILURE_TIME: Milliseconds = 20;

/** Creates an endpoint; `ended` is called when a request leaves it. */
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

  function leave(
    request: RequestRecord,
    result: "done" | "failed" | "unknown" | "not-run",
  ): void {
    server.load--;
    ended(request, result);
    next();
  }

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
    leave(request, result);
  }

  function next(): void {
    while (running.size < inventory.slots && queue.length > 0) {
      const request = queue.shift()!;
      if (heap.now >= request.deadline) leave(request, "not-run");
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
    // Work past its deadline is cut off, so that it takes no more slots.
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
      next();
    },
    cancel(request) {
      stop(request, "aborted", "unknown");
      const index = queue.indexOf(request);
      if (index < 0) return;
      queue.splice(index, 1);
      leave(request, "not-run");
    },
  };
  return server;
}
