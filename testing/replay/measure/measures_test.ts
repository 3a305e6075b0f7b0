import { test } from "tap";
import type { Outcome } from "@dragonflyledge/model";
import { createRecord } from "../record.ts";
import type { RequestRecord, RunRecord } from "../record.ts";
import type { Trace } from "../trace/trace.ts";
import { measure, startTimeOf } from "./measures.ts";

const trace: Trace = {
  name: "t",
  scenario: "t",
  deployment: "sahil",
  seed: 1,
  duration: 7000,
  peak: [0, 7000],
  requests: [],
  jobs: [],
  steps: [],
};
const answer = { status: 200, contentType: "", body: new Uint8Array(0) };
const done: Outcome = { kind: "done", answer };

function add(
  record: RunRecord,
  id: string,
  changes: Partial<RequestRecord>,
): void {
  record.requests.set(id, {
    id,
    team: "a",
    class: "c",
    urgent: true,
    client: 0,
    idempotent: true,
    entry: "e1#1",
    sentAt: 4000,
    deadline: 6000,
    runTime: 500,
    delivered: true,
    callerLeft: false,
    entryDied: false,
    outcomes: [],
    executions: [],
    ...changes,
  });
}

function execution(start: number, end: number) {
  return { request: "r", worker: "w", start, end, ending: "done" as const };
}

// Guards against figures that leave out work that was refused or never ran.
test("work that never ran counts with its deadline", (t) => {
  const record = createRecord();
  record.endedAt = 20_000;
  add(record, "r1", {
    executions: [execution(4100, 4600)],
    outcomes: [{ at: 4610, outcome: done }],
  });
  add(record, "r2", {
    outcomes: [{
      at: 4010,
      outcome: { kind: "not-run", reason: "queue-full" },
    }],
  });
  const figures = measure({ trace, record, slots: 1 });
  t.equal(figures.inTime, 0.5);
  t.equal(figures.urgent.mean, (610 + 2000) / 2);
  t.equal(figures.peakWait.count, 2);
  t.ok(figures.peakWait.p99 >= 2000);
  t.same(figures.outcomes, { done: 1, "not-run": 1 });
  t.equal(figures.goodput, 500 / 7000);
  t.end();
});

// Guards against late answers that pass as answers in time.
test("an answer after the deadline is not in time", (t) => {
  const record = createRecord();
  record.endedAt = 20_000;
  add(record, "r1", {
    executions: [execution(4100, 6600)],
    outcomes: [{ at: 6610, outcome: done }],
  });
  const figures = measure({ trace, record, slots: 1 });
  t.equal(figures.inTime, 0);
  t.equal(figures.goodput, 0);
  t.end();
});

// Guards against a start that counts although members are missing.
test("a gang has started when all members of one epoch have", (t) => {
  const memberRun = (epoch: number, member: number, start: number) => ({
    job: "j",
    epoch,
    member,
    worker: "w",
    accelerators: [member],
    start,
    end: Infinity,
    ending: "running" as const,
    leaseUntil: Infinity,
  });
  const job = {
    id: "j",
    spec: { members: 2 } as Trace["jobs"][0]["spec"],
    runTime: 1,
    owner: true,
    submittedAt: 100,
    cancelledAt: Infinity,
    endedAt: Infinity,
    state: "",
    memberRuns: [
      memberRun(1, 0, 200),
      memberRun(2, 0, 300),
      memberRun(2, 1, 320),
    ],
  };
  t.equal(startTimeOf(job), 220);
  t.equal(
    startTimeOf({ ...job, memberRuns: job.memberRuns.slice(0, 2) }),
    Infinity,
  );
  t.end();
});
