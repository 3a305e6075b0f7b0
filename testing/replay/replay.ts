/**
 * Replays a trace with the real reducers.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { createCluster, entryName } from "./cluster/mod.ts";
import type { Cluster } from "./cluster/mod.ts";
import { deploymentOf } from "./deployment.ts";
import { createEventHeap } from "./event_heap.ts";
import type { EventHeap } from "./event_heap.ts";
import { createRecord, note } from "./record.ts";
import type { JobEntry, RequestRecord, RunRecord } from "./record.ts";
import { sampleCapacity } from "./sample_capacity.ts";
import type {
  Trace,
  TraceJob,
  TraceRequest,
  TraceStep,
} from "./trace/trace.ts";

/** Time before the trace, in which sessions and tables are set up. */
export const WARM_UP: Milliseconds = 3000;
/** Longest time after the trace in which work may end. */
const MAX_DRAIN_TIME: Milliseconds = 900_000;
const DRAIN_CHECK_INTERVAL: Milliseconds = 5000;
const SAMPLE_INTERVAL: Milliseconds = 500;

/** Replays a trace and returns the record of the run. */
export function replayTrace(fields: { trace: Trace; seed: number }): RunRecord {
  const { trace, seed } = fields;
  const heap = createEventHeap();
  const record = createRecord();
  const deployment = deploymentOf(trace.deployment);
  const cluster = createCluster({ heap, record, deployment, seed });
  const start = WARM_UP;
  trace.requests.forEach((request, index) =>
    heap.at(start + request.at, () => sendRequest(cluster, request, index))
  );
  trace.jobs.forEach((job, index) =>
    heap.at(start + job.at, () => submitJob(cluster, job, index))
  );
  for (const step of trace.steps) {
    heap.at(start + step.at, () => applyStep(cluster, step));
  }
  for (let at = 0; at < trace.duration; at += SAMPLE_INTERVAL) {
    heap.at(start + at, () => sampleCapacity(cluster));
  }
  runToEnd({
    heap,
    record,
    from: start + trace.duration,
    update: () => collectJobs(cluster),
  });
  return record;
}

/** Runs until all work has ended, at most for `MAX_DRAIN_TIME`. */
export function runToEnd(fields: {
  heap: EventHeap;
  record: RunRecord;
  from: Milliseconds;
  /** Updates the record before it is checked. */
  update: () => void;
}): void {
  const { heap, record, from, update } = fields;
  for (let time = 0; time <= MAX_DRAIN_TIME; time += DRAIN_CHECK_INTERVAL) {
    heap.run(from + time);
    update();
    if (time > 0 && hasEnded(record)) break;
  }
  record.endedAt = heap.now;
}

const END_STATES = ["succeeded", "failed", "cancelled", "unknown"];

/** Whether each request is answered or lost, and each job has ended. */
function hasEnded(record: RunRecord): boolean {
  for (const request of record.requests.values()) {
    const answered = request.outcomes.length > 0 || request.callerLeft;
    if (!answered && !request.entryDied) return false;
  }
  for (const job of record.jobs.values()) {
    if (!END_STATES.includes(job.state)) return false;
  }
  return true;
}

/** Adds a request that is sent now to the record. */
export function recordRequest(fields: {
  record: RunRecord;
  request: TraceRequest;
  id: string;
  now: Milliseconds;
  urgent: boolean;
}): RequestRecord {
  const { record, request, id, now, urgent } = fields;
  const created: RequestRecord = {
    id,
    team: request.team,
    class: request.class,
    urgent,
    client: request.client,
    idempotent: request.idempotent,
    entry: "",
    sentAt: now,
    deadline: now + request.deadline,
    runTime: request.runTime,
    delivered: false,
    callerLeft: false,
    entryDied: false,
    outcomes: [],
    executions: [],
  };
  record.requests.set(id, created);
  return created;
}

/** Sends a request through an entry. */
export function sendRequest(
  cluster: Cluster,
  request: TraceRequest & { key?: string },
  index: number,
): RequestRecord {
  const { heap, record, deployment } = cluster;
  const id = `r${index}`;
  const urgent = deployment.configuration.classes
    .find((each) => each.name === request.class)?.urgent ?? false;
  const created = recordRequest({ record, request, id, now: heap.now, urgent });
  if (request.key !== undefined) {
    created.idempotencyKey = request.key;
    const same = record.keys.get(request.key) ?? [];
    record.keys.set(request.key, [...same, id]);
  }
  const entry = cluster.submit((now) => {
    created.delivered = true;
    return {
      kind: "requestArrived",
      now,
      fingerprint: request.key ?? id,
      request: {
        id,
        service: deployment.service,
        team: request.team,
        class: request.class,
        deadline: now + request.deadline,
        idempotent: request.idempotent,
        idempotencyKey: request.key,
        contentType: "text/plain",
        body: new Uint8Array(0),
      },
    };
  });
  if (entry === undefined) created.entryDied = true;
  else created.entry = entryName(entry);
  note(record, id, heap.now, `sent to ${created.entry}`);
  return created;
}

/** Adds a job that is submitted now to the record. */
export function recordJob(
  record: RunRecord,
  job: TraceJob,
  id: string,
  now: Milliseconds,
): JobEntry {
  const { spec, runTime, owner } = job;
  const created: JobEntry = {
    id,
    spec,
    runTime,
    owner,
    submittedAt: now,
    cancelledAt: Infinity,
    endedAt: Infinity,
    state: "",
    memberRuns: [],
  };
  record.jobs.set(id, created);
  return created;
}

/** Submits a job through an entry. */
export function submitJob(
  cluster: Cluster,
  job: TraceJob,
  index: number,
): void {
  const { heap, record } = cluster;
  const id = `j${index}`;
  const { spec } = recordJob(record, job, id, heap.now);
  const submitted = new Date(heap.now).toISOString();
  cluster.submit((now) => ({
    kind: "jobSubmitted",
    now,
    job: id,
    spec,
    submitted,
  }));
  note(record, id, heap.now, `submitted by ${spec.team}`);
}

/** Cancels a request or a job. */
export function cancel(cluster: Cluster, id: string): void {
  const { heap, record } = cluster;
  note(record, id, heap.now, "cancelled by its caller");
  const job = record.jobs.get(id);
  if (job) {
    job.cancelledAt = heap.now;
    cluster.submit((now) => ({ kind: "jobCancelled", now, job: id }));
    return;
  }
  const request = record.requests.get(id);
  if (request === undefined) return;
  request.callerLeft = true;
  const entry = [...cluster.entries.values()]
    .find((each) => entryName(each) === request.entry);
  entry?.process.whenRunning(() =>
    entry.dispatch({ kind: "callerLeft", now: heap.now, request: id })
  );
}

/** Applies a cancellation or a change of a machine. */
function applyStep(cluster: Cluster, step: TraceStep): void {
  const machine = [...cluster.machines.values()][step.target];
  switch (step.kind) {
    case "cancelRequest":
      return cancel(cluster, `r${step.target}`);
    case "cancelJob":
      return cancel(cluster, `j${step.target}`);
    case "fail":
    case "heal": {
      if (machine === undefined) return;
      machine.endpoint.mode = step.kind === "fail" ? "failing" : "ok";
      machine.worker.failing = step.kind === "fail";
      return;
    }
    case "leave":
      return machine?.agent?.stop();
  }
}

/** Copies the states of the jobs from the store to the record. */
export function collectJobs(cluster: Cluster): void {
  const { record, store } = cluster;
  for (const job of record.jobs.values()) {
    const stored = store.contents.jobs.get(job.id);
    job.state = stored?.record.state ?? "";
    const ended = Math.max(
      0,
      ...job.memberRuns.map((memberRun) => memberRun.end),
    );
    if (job.state === "succeeded") job.endedAt = ended;
  }
}
