/**
 * Submits, shows and cancels jobs for callers.
 *
 * @module
 */

import type { Clock, Milliseconds } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import {
  decodeSubmission,
  encodeJobState,
  encodePendingCount,
  policyOf,
} from "@dragonflyledge/platform";
import type { Deployment, Queue } from "@dragonflyledge/platform";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import { cancelKey, jobKey, JobStatus } from "@dragonflyledge/scheduler";
import type { JobRequest } from "@dragonflyledge/scheduler";
import { OUTCOME_UNKNOWN, Status, UNAVAILABLE } from "./caller_answers.ts";
import { failureHint } from "./failure_hint.ts";
import type { JobStore, WriteResult } from "./job_store.ts";
import { encodeRequest } from "./replica.ts";
import type { Replica } from "./replica.ts";

/** A request with the queue, team and job that it concerns. */
export interface JobCall {
  request: HttpRequest;
  queue: Queue;
  /** Empty for an anonymous caller. */
  team: string;
  /** Id of the job; empty if the request concerns the whole queue. */
  id: string;
  /** Monotonic time by which the answer must be sent. */
  deadline: Milliseconds;
}

/** Carries out the calls at one entry. */
export function createJobCalls(fields: {
  jobStore: JobStore;
  replica: Replica;
  deployment: () => Deployment | undefined;
  clock: Clock;
  log: Log;
}): (call: JobCall) => Promise<HttpAnswer> {
  const { jobStore, replica, deployment, clock, log } = fields;

  /** Accepts a job by storing its request; a known id is accepted already. */
  async function submit(call: JobCall): Promise<HttpAnswer> {
    const { id, queue, team } = call;
    if (replica.jobs.get(id)?.request) return { status: Status.Ok };
    const submission = decodeSubmission(call.request.body);
    if (!submission) return { status: Status.BadRequest };
    const request: JobRequest = {
      ...submission,
      id,
      queue: queue.name,
      team,
      policy: policyOf(queue),
      acceptedAt: clock.date().getTime(),
    };
    const record = { key: jobKey(id), value: encodeRequest(request) };
    const result = await jobStore.create(record, call.deadline);
    log.info("Submission answered.", {
      job: id,
      queue: queue.name,
      team,
      configuration: deployment()?.version,
      steps: request.steps.length,
      tasks: request.steps.reduce((sum, step) => sum + step.count, 0),
      scheduled: request.schedule !== undefined,
      result,
    });
    return toAnswer(result);
  }

  function showPending({ queue }: JobCall): HttpAnswer {
    const pending = replica.countPending(queue.name);
    return { status: Status.Ok, body: encodePendingCount(pending) };
  }

  /** Status of the job; undefined if there is no such job. */
  async function findStatus({ id, deadline }: JobCall) {
    return replica.status(id) ?? await jobStore.readStatus(id, deadline);
  }

  async function showStatus(call: JobCall): Promise<HttpAnswer> {
    const status = await findStatus(call);
    if (status === "unavailable") return UNAVAILABLE;
    if (status === undefined) return { status: Status.Gone };
    return {
      status: Status.Ok,
      body: encodeJobState(status, explainFailure(call.id, status)),
    };
  }

  /** Why the job failed; undefined if it did not or if nothing is recorded. */
  function explainFailure(id: string, status: JobStatus) {
    const failure = replica.jobs.get(id)?.progress?.failure;
    if (status !== JobStatus.Failed || !failure) return undefined;
    return { ...failure, hint: failureHint(failure.code) };
  }

  async function cancel(call: JobCall): Promise<HttpAnswer> {
    const status = await findStatus(call);
    if (status === "unavailable") return UNAVAILABLE;
    if (status === undefined) return await cancelUnknown(call);
    const result = await storeCancel(call);
    log.info("Cancel answered.", { job: call.id, result });
    return toAnswer(result);
  }

  function storeCancel({ id, deadline }: JobCall): Promise<WriteResult> {
    const record = { key: cancelKey(id), value: new Uint8Array() };
    return jobStore.create(record, deadline);
  }

  /**
   * Cancels a job that the store does not hold. An unanswered submission of it
   * may still be stored after the caller was told that there is no such job;
   * a cancel that is stored before it keeps the job from running.
   */
  async function cancelUnknown(call: JobCall): Promise<HttpAnswer> {
    const outcome = await jobStore.cancelEarly(call.id);
    if (outcome === undefined) return UNAVAILABLE;
    log.info("Cancel of an unknown job.", { job: call.id, outcome });
    switch (outcome) {
      case "committed":
        return { status: Status.Gone };
      case "conflict":
        return toAnswer(await storeCancel(call));
      case "unknown":
        return OUTCOME_UNKNOWN;
      default:
        return UNAVAILABLE;
    }
  }

  return async (call) => {
    switch (call.request.method) {
      case "POST":
        return await submit(call);
      case "GET":
        return call.id === "" ? showPending(call) : await showStatus(call);
      case "DELETE":
        return await cancel(call);
      default:
        return { status: Status.MethodNotAllowed };
    }
  };
}

function toAnswer(result: WriteResult): HttpAnswer {
  if (result === "stored") return { status: Status.Ok };
  return result === "refused" ? UNAVAILABLE : OUTCOME_UNKNOWN;
}
