/**
 * Fake endpoint. A call takes the run time that the trace gives for its
 * request.
 *
 * @module
 */

import type { AttemptId, Milliseconds, WorkerId } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import { note } from "../record.ts";
import type { Execution, RunRecord } from "../record.ts";

/**
 * How an endpoint treats calls:
 * - `ok`: answers in full after the run time of the request.
 * - `failing`: answers with status 500 after a short time.
 * - `refusing`: refuses the connection.
 * - `hanging`: accepts the call and never answers.
 * - `cut`: breaks the connection off in the middle of the answer.
 */
export type EndpointMode = "ok" | "failing" | "refusing" | "hanging" | "cut";

/** Callbacks of one call. */
export interface CallHandlers {
  /** Gets each piece of the answer; `last` marks the final one. */
  onPiece: (status: number, piece: Uint8Array, last: boolean) => void;
  /** Gets a failed call; `sent` tells whether the request was sent. */
  onFailure: (sent: boolean, cause: string) => void;
}

/** A fake endpoint. Its mode can change at any time. */
export interface Endpoint {
  mode: EndpointMode;
  /** Calls the endpoint; the handlers get its answer or the failure. */
  call(attempt: AttemptId, handlers: CallHandlers): void;
  /** Aborts a call that is being served; does nothing for any other. */
  abort(attempt: AttemptId): void;
  /** Loses all calls without a report, as when the machine fails. */
  crash(): void;
}

/** Run time of a call that fails. */
const FAILURE_TIME: Milliseconds = 20;
/** One-way delay between agent and endpoint, which share a machine. */
const LOCAL: Milliseconds = 0.1;

/** Creates the body of the complete answer to a request. */
export function createAnswerBody(request: string): Uint8Array {
  return new TextEncoder().encode(`answer to ${request}`);
}

/** Creates the fake endpoint of a worker, in mode `ok`. */
export function createEndpoint(fields: {
  heap: EventHeap;
  worker: WorkerId;
  record: RunRecord;
}): Endpoint {
  const { heap, worker, record } = fields;
  /** Functions that break calls off, by attempt. */
  const calls = new Map<string, () => void>();
  let alive = true;

  function recordStart(request: string): Execution {
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

  function recordEnd(execution: Execution, ending: Execution["ending"]): void {
    if (execution.ending !== "running") return;
    execution.end = heap.now;
    execution.ending = ending;
    note(record, execution.request, heap.now, `${ending} on ${worker}`);
  }

  function serve(attempt: AttemptId, handlers: CallHandlers): void {
    const { mode } = endpoint;
    const execution = recordStart(attempt.request);
    const key = attemptKey(attempt);
    calls.set(key, () => {
      calls.delete(key);
      recordEnd(execution, alive ? "aborted" : "lost");
      if (alive) heap.after(LOCAL, () => handlers.onFailure(true, "aborted"));
    });
    if (mode === "hanging") return;
    const runTime = record.requests.get(attempt.request)?.runTime ?? 0;
    heap.after(mode === "failing" ? FAILURE_TIME : runTime, () => {
      if (!calls.delete(key)) return;
      recordEnd(execution, mode === "failing" ? "failed" : "done");
      sendAnswer(attempt.request, mode, handlers);
    });
  }

  function sendAnswer(
    request: string,
    mode: EndpointMode,
    handlers: CallHandlers,
  ) {
    const body = createAnswerBody(request);
    if (mode === "failing") return handlers.onPiece(500, body, true);
    handlers.onPiece(200, body, false);
    if (mode === "cut") handlers.onFailure(true, "cut off");
    else handlers.onPiece(200, new Uint8Array(0), true);
  }

  const endpoint: Endpoint = {
    mode: "ok",
    call(attempt, handlers) {
      heap.after(LOCAL, () => {
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
