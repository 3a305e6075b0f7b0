/**
 * A fake endpoint. A call takes the run time that the trace states.
 *
 * @module
 */

import type { AttemptId, Milliseconds, WorkerId } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import { note } from "../record.ts";
import type { Execution, RunRecord } from "../record.ts";

/** How an endpoint behaves. */
export type EndpointMode = "ok" | "failing" | "refusing" | "hanging" | "cut";

/** Receives what the endpoint sends. */
export interface CallHandlers {
  onPiece: (status: number, piece: Uint8Array, last: boolean) => void;
  onFailure: (sent: boolean, cause: string) => void;
}

/** A fake endpoint. */
export interface Endpoint {
  mode: EndpointMode;
  call(attempt: AttemptId, handlers: CallHandlers): void;
  abort(attempt: AttemptId): void;
  /** Its machine is lost. */
  crash(): void;
}

const FAILURE_TIME: Milliseconds = 20;
const LOCAL_DELAY: Milliseconds = 0.1;

/** Body of the whole answer to a request. */
export function createAnswerBody(request: string): Uint8Array {
  return new TextEncoder().encode(`answer to ${request}`);
}

/** Creates a fake endpoint beside a worker. */
export function createEndpoint(fields: {
  heap: EventHeap;
  worker: WorkerId;
  record: RunRecord;
}): Endpoint {
  const { heap, worker, record } = fields;
  const calls = new Map<string, () => void>();
  let alive = true;

  function start(request: string): Execution {
    const execution: Execution = {
      request,
      worker,
      start: heap.now,
      end: Infinity,
      ending: "running",
    };
    record.requests.get(request)?.executions.push(execution);
    note(record, request, heap.now, `starts at endpoint of ${worker}`);
    return execution;
  }

  function finish(execution: Execution, ending: Execution["ending"]): void {
    if (execution.ending !== "running") return;
    execution.end = heap.now;
    execution.ending = ending;
    note(record, execution.request, heap.now, `${ending} on ${worker}`);
  }

  function serve(attempt: AttemptId, handlers: CallHandlers): void {
    const { mode } = endpoint;
    const execution = start(attempt.request);
    const key = attemptKey(attempt);
    calls.set(key, () => {
      calls.delete(key);
      finish(execution, alive ? "aborted" : "lost");
      if (alive) {
        heap.after(LOCAL_DELAY, () => handlers.onFailure(true, "aborted"));
      }
    });
    if (mode === "hanging") return;
    const runTime = record.requests.get(attempt.request)?.runTime ?? 0;
    heap.after(mode === "failing" ? FAILURE_TIME : runTime, () => {
      if (!calls.delete(key)) return;
      finish(execution, mode === "failing" ? "failed" : "done");
      answer(attempt.request, mode, handlers);
    });
  }

  function answer(request: string, mode: EndpointMode, handlers: CallHandlers) {
    const body = createAnswerBody(request);
    if (mode === "failing") return handlers.onPiece(500, body, true);
    handlers.onPiece(200, body, false);
    if (mode === "cut") handlers.onFailure(true, "cut off");
    else handlers.onPiece(200, new Uint8Array(0), true);
  }

  const endpoint: Endpoint = {
    mode: "ok",
    call(attempt, handlers) {
      heap.after(LOCAL_DELAY, () => {
        if (!alive) return;
        if (endpoint.mode === "refusing") {
          return handlers.onFailure(false, "connection refused");
        }
        serve(attempt, handlers);
      });
    },
    abort: (attempt) => calls.get(attemptKey(attempt))?.(),
    crash() {
      alive = false;
      for (const stop of [...calls.values()]) stop();
    },
  };
  return endpoint;
}

function attemptKey(attempt: AttemptId): string {
  return `${attempt.number}/${attempt.request}`;
}
