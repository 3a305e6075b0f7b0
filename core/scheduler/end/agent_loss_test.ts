import { test } from "tap";
import { request, step } from "../fleet_for_tests.ts";
import { FENCES_PER_EPOCH } from "../messages.ts";
import type { AgentReport, Fence } from "../messages.ts";
import { noteHolder } from "../order/fences.ts";
import { createScheduler } from "../reducer.ts";
import type { SchedulerEffect } from "../effects.ts";
import type { SchedulerEvent, SchedulerState } from "../state.ts";

const AGENT_LOSS = 8300;
const UNLISTED_LOSS = 13_000;
const JOB = "5c0e7a21d94b36f8";
const NAME = { task: `${JOB}.0.0.0`, run: 1 };
const RUNNING = { ...NAME, checkpoint: "", percent: 0 };

function report(
  now: number,
  fields: Partial<AgentReport> & { born?: number } = {},
): AgentReport {
  const { born = 1000, ...others } = fields;
  return {
    kind: "report",
    sentAt: now,
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
    ...others,
  };
}

/** Creates a leader that has placed a job's only task on its only agent. */
function createLeader() {
  const scheduler = createScheduler({
    times: {
      agentLoss: AGENT_LOSS,
      unlistedLoss: UNLISTED_LOSS,
      agentRetention: 60_000,
      retention: 60_000,
      planningInterval: 0,
    },
  });
  const reduce = (event: SchedulerEvent) => scheduler.reduce(event);
  const hear = (now: number, each: AgentReport) =>
    reduce({ kind: "report", agent: "agent-1", now, date: now, report: each });
  hear(0, report(0));
  const job = request({ id: JOB, steps: [step({})] });
  reduce({ kind: "job", now: 10, request: job });
  reduce({ kind: "stored", now: 20, job: JOB, version: 99 });
  return {
    hear,
    workers: () => [...scheduler.state.workers.values()],
    /** Runs that are not lost at a time at which nothing else happens. */
    runsAt: (now: number) => {
      reduce({ kind: "tick", now, date: now });
      return [...scheduler.state.runs.keys()];
    },
  };
}

const RUN = [`${NAME.task}#1`];

// Guards against a task that runs twice: its worker returned under its id, got a
// lease longer than the grant, and was cut off with its agent.
test("a run is not lost before its worker's lease has ended", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING], leaseLeft: 10_204 }));
  t.same(runsAt(100 + AGENT_LOSS + 1), RUN);
  t.same(runsAt(100 + 10_204), RUN);
  t.same(runsAt(100 + 10_204 + 400), []);
  t.end();
});

// Guards against work that waits longer than needed after an agent was cut off.
test("a listed run is lost with the grant of its agent", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING], leaseLeft: 8000 }));
  t.same(runsAt(100 + AGENT_LOSS), RUN);
  t.same(runsAt(100 + AGENT_LOSS + 1), []);
  t.end();
});

// Guards against a task that runs twice by a worker whose clock differs.
test("a lease that an agent tells counts with a margin", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING], leaseLeft: 10_204 }));
  t.same(runsAt(100 + 10_204 + 300), RUN);
  t.end();
});

// Guards against tasks that are placed on a worker that is out of reach.
test("the worker of a lost agent is forgotten", (t) => {
  const { hear, runsAt, workers } = createLeader();
  hear(100, report(100, { running: [RUNNING], leaseLeft: 8000 }));
  runsAt(100 + AGENT_LOSS + 1);
  t.same(workers(), []);
  t.end();
});

// Guards against work that waits longer the second time that an agent is lost.
test("a listed run of an agent that was lost before is lost as soon", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING], leaseLeft: 8000 }));
  t.same(runsAt(100 + AGENT_LOSS + 1), []);
  hear(9000, report(9000));
  const again = { ...RUNNING, run: 2 };
  hear(9100, report(9100, { running: [again], leaseLeft: 8000 }));
  t.same(runsAt(9100 + AGENT_LOSS), [`${NAME.task}#2`]);
  t.same(runsAt(9100 + AGENT_LOSS + 1), []);
  t.end();
});

// Guards against a worker that takes no work while its agent starts again.
test("a worker stays reachable while a new process of its agent lists", (t) => {
  const { hear, workers } = createLeader();
  hear(100, report(100, { running: [RUNNING] }));
  hear(200, report(200, { listed: false }));
  t.match(workers(), [{ state: { key: "i-1@1000", reachable: true } }]);
  t.end();
});

// Guards against a task that runs twice: its start reached an incarnation that
// the agent did not know yet when it was cut off, and for which the lease end in
// the call is far ahead.
test("a start is not lost before the longest lease that it may have got", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { leaseLeft: 8000 }));
  t.same(runsAt(100 + UNLISTED_LOSS), RUN);
  t.same(runsAt(100 + UNLISTED_LOSS + 1), []);
  t.end();
});

// Guards against a task that runs twice: the first of two start calls got no
// answer, and the next incarnation carries it out while the agent stands still.
test("a listed run with an open start call is lost as if it were unlisted", (t) => {
  const { hear, runsAt } = createLeader();
  const running = [RUNNING];
  hear(100, report(100, { running, openStarts: [NAME], leaseLeft: 8000 }));
  t.same(runsAt(100 + AGENT_LOSS + 1), RUN);
  t.same(runsAt(100 + UNLISTED_LOSS + 1), []);
  t.end();
});

// Guards against a task that runs twice: the new incarnation carries out a start
// that a former process of its agent had sent to the former one.
test("a returned worker frees no run before it has listed its own", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING] }));
  hear(200, report(200, { born: 2000, listed: false }));
  t.same(runsAt(201), RUN);
  hear(300, report(300, { born: 2000 }));
  t.same(runsAt(301).includes(RUN[0]!), false);
  t.end();
});

// Guards against the same, with a report that also tells of the crash.
test("a crash frees no run before the next incarnation has listed its own", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING] }));
  const crash = {
    worker: "i-1@1000",
    runs: [{ ...NAME, workedFor: 100 }],
    silence: { aliveAgo: 100, failedAgo: 50 },
  };
  hear(200, report(200, { born: 2000, listed: false, crashes: [crash] }));
  t.same(runsAt(201), RUN);
  hear(300, report(300, { born: 2000, crashes: [crash] }));
  t.same(runsAt(301).includes(RUN[0]!), false);
  t.end();
});

// Guards against a task that never runs again: the new incarnation is gone
// before it has listed anything.
test("a returned worker that is gone frees the runs of the former one", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { running: [RUNNING] }));
  const gone = { born: 2000, listed: false, emptied: ["i-1@2000"] };
  hear(200, report(200, gone));
  t.same(runsAt(201).includes(RUN[0]!), false);
  t.end();
});

const fenceIn = (effects: SchedulerEffect[]): Fence | undefined =>
  effects.flatMap((effect) => effect.kind === "orders" ? [effect.orders] : [])
    .at(-1)?.fence;

// Guards against late calls that a worker carries out, since a later process or
// incarnation has the same number as an earlier one.
test("each holder of an agent gets a higher number", (t) => {
  const { hear } = createLeader();
  const number = (now: number, holder: string) =>
    fenceIn(hear(now, report(now, { holder })));
  t.same(number(100, "a i-1@1000"), { holder: "a i-1@1000", number: 1 });
  t.same(number(200, "a i-1@1000"), { holder: "a i-1@1000", number: 1 });
  t.same(number(300, "a i-1@2000"), { holder: "a i-1@2000", number: 2 });
  t.same(number(400, "b "), { holder: "b ", number: 3 });
  t.end();
});

// Guards against numbers that begin anew within an epoch.
test("an agent that was forgotten gets higher numbers than before", (t) => {
  const { hear, runsAt } = createLeader();
  hear(100, report(100, { holder: "a i-1@1000" }));
  runsAt(100 + 2 * UNLISTED_LOSS);
  runsAt(100_000);
  const effects = hear(100_100, report(100_100, { holder: "b i-1@1000" }));
  t.equal(fenceIn(effects)?.number, 2);
  t.end();
});

// Guards against tokens of one epoch that reach those of the next.
test("no holder gets a number beyond those of its epoch", (t) => {
  const fences = new Map([
    ["agent-1", { holder: "a ", number: FENCES_PER_EPOCH - 1 }],
  ]);
  const state = { fences, effects: [] } as unknown as SchedulerState;
  noteHolder(state, "agent-1", report(100, { holder: "b " }));
  t.equal(fences.get("agent-1")?.number, FENCES_PER_EPOCH - 1);
  t.equal(state.effects.length, 1, "it is logged");
  t.end();
});
