/**
 * Replays a trace against a baseline.
 *
 * @module
 */

import { assignHomes } from "@dragonflyledge/placement";
import { HEARTBEAT_INTERVAL } from "@dragonflyledge/model";
import type { Outcome } from "@dragonflyledge/model";
import { deploymentOf } from "../deployment.ts";
import type { Deployment } from "../deployment.ts";
import { createEventHeap } from "../event_heap.ts";
import type { EventHeap } from "../event_heap.ts";
import { createRecord } from "../record.ts";
import type { RequestRecord, RunRecord } from "../record.ts";
import { recordJob, recordRequest, runToEnd, WARM_UP } from "../replay.ts";
import { measureCapacity } from "../sample_capacity.ts";
import type { Trace, TraceStep } from "../trace/trace.ts";
import { createJobScheduler } from "./jobs.ts";
import type { JobScheduler } from "./jobs.ts";
import type { Policy } from "./policies.ts";
import { createServer } from "./servers.ts";
import type { Server } from "./servers.ts";

/** Time between two samples of capacity, in milliseconds. */
const SAMPLE_INTERVAL = 500;

/**
 * Replays a trace with a baseline until its work has ended, and returns the
 * record of it. Gangs are placed first fit without backfill if the policy is
 * `firstFit`, and on the least-loaded workers with backfill otherwise.
 */
export function replayBaseline(fields: {
  trace: Trace;
  policy: Policy;
}): RunRecord {
  const { trace, policy } = fields;
  const heap = createEventHeap();
  const record = createRecord();
  const deployment = deploymentOf(trace.deployment);
  const router = createRouter({ heap, deployment, policy });
  const jobs = createJobScheduler({
    heap,
    inventories: deployment.inventories,
    policy: policy.name === "fcfs first fit"
      ? { order: "first", backfill: false }
      : { order: "least-loaded", backfill: true },
  });
  const context = { heap, record, router, jobs, deployment };
  schedule(context, trace);
  const from = WARM_UP + trace.duration;
  runToEnd({ heap, record, from, update: () => {} });
  return record;
}

interface Context {
  heap: EventHeap;
  record: RunRecord;
  router: Router;
  jobs: JobScheduler;
  deployment: Deployment;
}

/** Schedules the requests, jobs, steps and capacity samples of a trace. */
function schedule(context: Context, trace: Trace): void {
  const { heap, record, router, jobs, deployment } = context;
  const { configuration, inventories } = deployment;
  const urgent = new Set(
    configuration.classes.filter((each) => each.urgent)
      .map((each) => each.name),
  );
  trace.requests.forEach((request, index) =>
    heap.at(WARM_UP + request.at, () => {
      const created = recordRequest({
        record,
        request,
        id: `r${index}`,
        now: heap.now,
        urgent: urgent.has(request.class),
      });
      heap.after(deployment.clientOneWay, () => router.route(created));
    })
  );
  trace.jobs.forEach((job, index) =>
    heap.at(WARM_UP + job.at, () => {
      const created = recordJob(record, job, `j${index}`, heap.now);
      heap.after(deployment.clientOneWay, () => jobs.submit(created));
    })
  );
  for (const step of trace.steps) {
    heap.at(WARM_UP + step.at, () => applyStep(context, step));
  }
  const homes = assignHomes({ configuration, inventories, version: 1 });
  for (let at = 0; at < trace.duration; at += SAMPLE_INTERVAL) {
    heap.at(WARM_UP + at, () => {
      const now = heap.now;
      record.samples.push(measureCapacity({ record, inventories, homes, now }));
    });
  }
}

/** Applies a cancellation or a change of a worker; unknown workers are ignored. */
function applyStep(context: Context, step: TraceStep): void {
  const { record, router, jobs } = context;
  const server = router.servers[step.target];
  switch (step.kind) {
    case "cancelRequest": {
      const request = record.requests.get(`r${step.target}`)!;
      request.callerLeft = true;
      return router.cancel(request);
    }
    case "cancelJob": {
      const job = record.jobs.get(`j${step.target}`)!;
      job.cancelledAt = context.heap.now;
      return jobs.cancel(job);
    }
    case "fail":
    case "heal":
      if (server === undefined) return;
      server.failing = step.kind === "fail";
      jobs.setFailing(server.inventory.worker, server.failing);
      return;
    case "leave":
      if (server === undefined) return;
      server.leaving = true;
      jobs.leave(server.inventory.worker);
  }
}

/** Routes requests from a central queue to the servers. */
interface Router {
  servers: Server[];
  /** Queues a request and routes it as soon as the policy chooses a server. */
  route(request: RequestRecord): void;
  /** Removes a request from the queue, or cancels it on its server. */
  cancel(request: RequestRecord): void;
}

function createRouter(fields: {
  heap: EventHeap;
  deployment: Deployment;
  policy: Policy;
}): Router {
  const { heap, deployment, policy } = fields;
  const { inventories, oneWay, clientOneWay } = deployment;
  const queue: RequestRecord[] = [];
  const serverByRequest = new Map<RequestRecord, Server>();

  const servers = inventories.map((inventory) =>
    createServer({
      heap,
      inventory,
      ended: (request, result) => {
        respond(request, result);
        drain();
      },
    })
  );

  function respond(request: RequestRecord, kind: Outcome["kind"]): void {
    const answer = { status: 0, contentType: "", body: new Uint8Array(0) };
    const outcome: Outcome = kind === "done" || kind === "failed"
      ? { kind, answer }
      : { kind, reason: "deadline-passed" };
    heap.after(
      oneWay + clientOneWay,
      () => request.outcomes.push({ at: heap.now, outcome }),
    );
  }

  /** Routes the head of the queue until the policy chooses no server for it. */
  function drain(): void {
    const usable = servers.filter((each) => !each.leaving);
    while (queue.length > 0) {
      const request = queue[0]!;
      if (heap.now >= request.deadline) {
        queue.shift();
        respond(request, "not-run");
        continue;
      }
      const server = policy.choose(request, usable, heap.now);
      if (server === undefined) return;
      queue.shift();
      server.load++;
      serverByRequest.set(request, server);
      heap.after(oneWay, () => server.enqueue(request));
    }
  }

  /** Updates the reported loads now and at each heartbeat interval. */
  function report(): void {
    for (const server of servers) server.reportedLoad = server.load;
    policy.onLoadReport?.(servers.filter((each) => !each.leaving));
    heap.after(HEARTBEAT_INTERVAL, report);
  }
  report();

  return {
    servers,
    route(request) {
      queue.push(request);
      drain();
    },
    cancel(request) {
      const index = queue.indexOf(request);
      if (index >= 0) {
        queue.splice(index, 1);
        respond(request, "not-run");
      } else serverByRequest.get(request)?.cancel(request);
    },
  };
}
