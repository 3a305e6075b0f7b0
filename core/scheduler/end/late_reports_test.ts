import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import type { AgentReport } from "../messages.ts";
import { createScheduler } from "../reducer.ts";

const TIMES = {
  agentLoss: 8300,
  unlistedLoss: 8300,
  agentRetention: 60_000,
  retention: 60_000,
  planningInterval: 0,
};

function report(born: number, fields: Partial<AgentReport> = {}): AgentReport {
  return {
    kind: "report",
    sentAt: born,
    vacant: false,
    worker: {
      key: `i-1@${born}`,
      born,
      service: "service",
      rack: "r1-1",
      labels: [],
      millicores: 32_000,
      megabytes: 128_000,
      accelerators: 8,
      draining: false,
      remaining: 0,
      reachable: true,
    },
    listed: true,
    running: [],
    ended: [],
    allEnds: true,
    refused: [],
    absent: [],
    emptied: [],
    ...fields,
  };
}

/** Creates a leader whose only agent has reported an incarnation. */
function createLeader(born: number) {
  const scheduler = createScheduler({ times: TIMES });
  const apply = (now: number, each: AgentReport) =>
    scheduler.reduce({
      kind: "report",
      agent: "agent-1",
      now,
      date: now,
      report: each,
    });
  apply(0, report(born));
  return { scheduler, apply };
}

/** Submits a job of one task, whose run 1 is then placed. */
function placeJob(scheduler: ReturnType<typeof createScheduler>) {
  const job = request({ id: "5c0e7a21d94b36f8", steps: [step({})] });
  scheduler.reduce({ kind: "job", now: 10, request: job });
  return { task: "5c0e7a21d94b36f8.0.0.0", run: 1 };
}

// Guards against a run that is freed since a former incarnation does not list
// it, or refused or proved something about its own runs.
test("a report of a former incarnation frees no run", (t) => {
  const { scheduler, apply } = createLeader(2000);
  const name = placeJob(scheduler);
  const refused = [{ ...name, reason: "room" }];
  const late = { refused, absent: [name], emptied: ["i-1@1000"] };
  const effects = apply(20, report(1000, late));
  t.match([...scheduler.state.runs.keys()], [`${name.task}#1`]);
  t.equal(scheduler.state.workers.size, 1);
  t.match(effects.filter(({ kind }) => kind === "log"), [{
    text: "Report ignored.",
    fields: { worker: "i-1@1000", known: "i-1@2000" },
  }]);
  t.end();
});

// Guards against a run on the present incarnation that is freed by what its
// agent still tells of the former one.
test("what a report tells of former incarnations frees no later run", (t) => {
  const { scheduler, apply } = createLeader(2000);
  const name = placeJob(scheduler);
  const crash = {
    worker: "i-1@1000",
    runs: [{ ...name, workedFor: 0 }],
    silence: { aliveAgo: 5000, failedAgo: 4000 },
  };
  const crashes = { emptied: ["i-1@1000"], crashes: [crash] };
  apply(20, report(2000, crashes));
  t.match([...scheduler.state.runs.keys()], [`${name.task}#1`]);
  t.end();
});

// Guards against an attempt that is counted with each report that repeats the
// failed end, until the end is stored and acknowledged.
test("an end that is reported again counts once", (t) => {
  const fleet = createFleet({ workers: 1, manualStore: true });
  fleet.submit(request({ id: "a", steps: [step({})], maxAttempts: 2 }));
  fleet.store("a");
  fleet.runStarts();
  fleet.end(0, 0, "failed");
  fleet.report(0);
  fleet.report(0);
  t.not(fleet.status("a"), "failed");
  t.end();
});

// Guards against a job whose result is withdrawn after callers have seen it.
test("a cancel after the end of a job changes nothing", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({ id: "a", steps: [step({})] }));
  fleet.runStarts();
  fleet.end(0, 0, "done");
  t.equal(fleet.status("a"), "completed");
  fleet.cancel("a");
  t.equal(fleet.status("a"), "completed");
  t.end();
});
