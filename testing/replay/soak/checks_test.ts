import { test } from "tap";
import type { JobSpec, Outcome } from "@dragonflyledge/model";
import { createRecord } from "../record.ts";
import type {
  JobEntry,
  MemberRun,
  RequestRecord,
  RunRecord,
} from "../record.ts";
import {
  checkAtMostOnce,
  checkDeadlines,
  checkGangs,
  checkJobs,
  checkNotRun,
  checkOneOutcome,
  checkOwners,
  checkRecordedViolations,
  checks,
  checkVersions,
} from "./checks.ts";
import type { Check } from "./checks.ts";

const answer = { status: 200, contentType: "", body: new Uint8Array(0) };
const done: Outcome = { kind: "done", answer };
const notRun: Outcome = { kind: "not-run", reason: "queue-full" };

function request(changes: Partial<RequestRecord> = {}): RequestRecord {
  return {
    id: "r1",
    team: "a",
    class: "c",
    urgent: true,
    client: 0,
    idempotent: false,
    entry: "e1#1",
    sentAt: 0,
    deadline: 1000,
    runTime: 10,
    delivered: true,
    callerLeft: false,
    entryDied: false,
    outcomes: [{ at: 20, outcome: done }],
    executions: [run()],
    ...changes,
  };
}

function run() {
  return {
    request: "r1",
    worker: "w1",
    start: 5,
    end: 15,
    ending: "done",
  } as const;
}

function memberRun(changes: Partial<MemberRun> = {}): MemberRun {
  return {
    job: "j1",
    epoch: 2,
    member: 0,
    worker: "w1",
    accelerators: [0],
    start: 100,
    end: 5000,
    ending: "finished",
    leaseUntil: 9000,
    ...changes,
  };
}

function job(changes: Partial<JobEntry> = {}): JobEntry {
  return {
    id: "j1",
    spec: { members: 2, idempotent: false } as JobSpec,
    runTime: 1000,
    owner: true,
    submittedAt: 50,
    cancelledAt: Infinity,
    answer: { kind: "accepted" },
    endedAt: 5000,
    state: "succeeded",
    memberRuns: [memberRun(), memberRun({ member: 1 })],
    ...changes,
  };
}

function recordOf(
  requests: RequestRecord[],
  jobs: JobEntry[],
  changes: Partial<RunRecord> = {},
): RunRecord {
  const record = createRecord();
  for (const each of requests) record.requests.set(each.id, each);
  for (const each of jobs) record.jobs.set(each.id, each);
  record.endedAt = 60_000;
  return Object.assign(record, changes);
}

const createCorrectRecord = () =>
  recordOf([request()], [job()], { versions: new Map([["e1", [1, 2, 2]]]) });

const cases: [string, Check, RunRecord][] = [
  [
    "a request that ran twice",
    checkAtMostOnce,
    recordOf([request({ executions: [run(), run()] })], []),
  ],
  [
    "a key that ran for two requests",
    checkAtMostOnce,
    recordOf([
      request({ idempotencyKey: "k" }),
      request({ id: "r2", idempotencyKey: "k" }),
    ], []),
  ],
  [
    "a request reported as not run that ran",
    checkNotRun,
    recordOf([request({ outcomes: [{ at: 20, outcome: notRun }] })], []),
  ],
  [
    "an unknown job that is in the store and never ends",
    checkJobs,
    recordOf([], [
      job({
        answer: { kind: "unknown", reason: "store-unavailable" },
        state: "queued",
        memberRuns: [],
      }),
    ]),
  ],
  [
    "a job reported as not run that started",
    checkNotRun,
    recordOf([], [
      job({ answer: { kind: "not-run", reason: "store-unavailable" } }),
    ]),
  ],
  [
    "two outcomes",
    checkOneOutcome,
    recordOf([
      request({
        outcomes: [{ at: 20, outcome: done }, { at: 21, outcome: done }],
      }),
    ], []),
  ],
  [
    "no outcome of a live entry",
    checkOneOutcome,
    recordOf([request({ outcomes: [] })], []),
  ],
  [
    "an outcome long after the deadline",
    checkDeadlines,
    recordOf([request({ outcomes: [{ at: 9000, outcome: done }] })], []),
  ],
  [
    "a gang that runs partially beyond its lease",
    checkGangs,
    recordOf([], [
      job({
        memberRuns: [
          memberRun({ end: 30_000 }),
          memberRun({ member: 1, end: 200 }),
        ],
      }),
    ]),
  ],
  [
    "a member that runs twice at once",
    checkGangs,
    recordOf([], [
      job({
        memberRuns: [memberRun(), memberRun({ worker: "w2", start: 900 })],
      }),
    ]),
  ],
  [
    "a job started again that is not idempotent",
    checkGangs,
    recordOf([], [
      job({ memberRuns: [memberRun(), memberRun({ epoch: 3, start: 6000 })] }),
    ]),
  ],
  [
    "an accepted job that is not in the store",
    checkJobs,
    recordOf([], [job({ state: "" })]),
  ],
  [
    "an accepted job that never ends",
    checkJobs,
    recordOf([], [job({ state: "queued" })]),
  ],
  [
    "a success without all members",
    checkJobs,
    recordOf([], [job({ memberRuns: [memberRun()] })]),
  ],
  [
    "a version that goes back",
    checkVersions,
    recordOf([], [], { versions: new Map([["e1", [1, 3, 2]]]) }),
  ],
  [
    "an owner that starts late",
    checkOwners,
    recordOf([], [
      job({ memberRuns: [memberRun(), memberRun({ member: 1, start: 4200 })] }),
    ]),
  ],
  [
    "an owner that never starts",
    checkOwners,
    recordOf([], [job({ memberRuns: [memberRun()] })]),
  ],
  [
    "a worker over its capacity",
    checkRecordedViolations,
    recordOf([], [], { faults: ["within-capacity: w1 holds 9 for j1"] }),
  ],
];

// Guards against checks that miss a violation or report one in a correct
// record.
test("each check reports a wrong record and no correct one", (t) => {
  for (const check of checks) t.same(check(createCorrectRecord()), []);
  for (const [name, check, record] of cases) {
    t.equal(check(record).length, 1, name);
  }
  const tested = new Set(cases.map(([, check]) => check));
  t.equal(tested.size, checks.length, "every check is covered");
  t.end();
});

// Guards against violations for requests whose caller left or whose entry died.
test("an entry that died, or a caller that left, excuses an answer", (t) => {
  const excuses: Partial<RequestRecord>[] = [
    { entryDied: true },
    { callerLeft: true },
    { delivered: false },
  ];
  for (const excuse of excuses) {
    const record = recordOf([request({ outcomes: [], ...excuse })], []);
    t.same(checkOneOutcome(record), []);
    t.same(checkDeadlines(record), []);
  }
  t.end();
});
