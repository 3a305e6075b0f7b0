import { test } from "tap";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

const callsOf = (effects: ControlEffect[]) =>
  effects.filter(({ kind }) => kind === "start" || kind === "stop");

const reportOf = (effects: ControlEffect[]) =>
  effects.findLast((effect) => effect.kind === "report")!.report;

/** Creates an agent whose worker has answered and that has a grant. */
function createReady() {
  const agent = createWithWorker();
  const { reduce } = agent;
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  return agent;
}

const start = (answersReport: number) =>
  orders({ answersReport, starts: [START_ORDER] });

// Guards against a task that runs twice: the leader gave a silent agent up, and
// its former link delivers the start after the new link has renewed the grant.
test("a start that a former link delivers late is not carried out", (t) => {
  const { control, reduce } = createReady();
  reduce({ kind: "linked", now: 9000 });
  const renewed = orders({ answersReport: 9000 });
  reduce({ kind: "orders", now: 9010, orders: renewed, link: 2 });
  const effects = reduce({
    kind: "orders",
    now: 9020,
    orders: start(700),
    link: 1,
  });
  t.same(callsOf(effects), []);
  t.equal(control.state.runs.size, 0);
  t.end();
});

// Guards against a wanted start that old orders withdraw, since they do not
// name it.
test("orders that a former link delivers late withdraw no start", (t) => {
  const { reduce } = createReady();
  reduce({ kind: "linked", now: 9000 });
  reduce({ kind: "orders", now: 9010, orders: start(9000), link: 2 });
  const late = orders({ answersReport: 700 });
  reduce({ kind: "orders", now: 9020, orders: late, link: 1 });
  const effects = reduce({
    kind: "startAnswered",
    now: 9030,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "started", clock: 59_030 },
  });
  t.same(callsOf(effects), []);
  t.end();
});

// Guards against a task that runs twice: the agent has told that the start was
// refused, the leader has started the task elsewhere, and the order comes again.
test("a refused start is not carried out when its order comes again", (t) => {
  const { reduce } = createReady();
  const run = "a.0.0.0#1";
  const now = 20_000;
  reduce({ kind: "orders", now, orders: start(now - 10) });
  const outcome = { kind: "refused", reason: "busy" } as const;
  const refusal = { now: now + 10, worker: WORKER, run, outcome };
  reduce({ kind: "startAnswered", ...refusal });
  const report = reportOf(reduce(holdAnswer(now + 30, now + 20)));
  t.match(report.refused, [{ task: "a.0.0.0", run: 1 }]);
  const after = orders({ answersReport: report.sentAt });
  reduce({ kind: "orders", now: now + 40, orders: after });
  const again = { now: now + 50, orders: start(now - 10) };
  t.same(callsOf(reduce({ kind: "orders", ...again })), []);
  t.end();
});

/** Lets the worker fall silent until it is reported as emptied, at 12,000. */
function emptyWorker(reduce: (event: ControlEvent) => ControlEffect[]) {
  const failure = {
    kind: "holdFailed",
    worker: WORKER,
    reason: "no answer",
    refused: false,
    connectionLost: false,
  } as const;
  reduce({ ...failure, now: 1000 });
  reduce({ ...failure, now: 1200 });
  const renewed = orders({ answersReport: 2000 });
  reduce({ kind: "orders", now: 2010, orders: renewed });
  return reportOf(reduce({ kind: "tick", now: 12_000 }));
}

// Guards against a task that runs twice: the agent has told that nothing can run
// on its worker, the leader has started the task elsewhere, and the worker
// answers again before orders that were sent before the report arrive.
test("orders from before a worker was emptied start nothing on it", (t) => {
  const { reduce } = createReady();
  const report = emptyWorker(reduce);
  t.same(report.emptied, [WORKER]);
  reduce(holdAnswer(12_010, 12_005));
  const before = { now: 12_020, orders: start(11_900) };
  t.same(callsOf(reduce({ kind: "orders", ...before })), []);
  const after = { now: 12_030, orders: start(report.sentAt) };
  t.match(callsOf(reduce({ kind: "orders", ...after })), [{ kind: "start" }]);
  t.end();
});

// Guards against a task that runs twice after a change of leader: the new
// leader's first orders were sent before it knew that the worker was emptied.
test("a new leader's orders start nothing that it did not know as ended", (t) => {
  const { reduce } = createReady();
  emptyWorker(reduce);
  reduce(holdAnswer(12_010, 12_005));
  const former = orders({ answersReport: 12_010 });
  reduce({ kind: "orders", now: 12_015, orders: former });
  const first = { ...start(11_900), epoch: 8 };
  t.same(callsOf(reduce({ kind: "orders", now: 12_020, orders: first })), []);
  const next = { ...start(12_000), epoch: 8 };
  const effects = reduce({ kind: "orders", now: 12_030, orders: next });
  t.match(callsOf(effects), [{ kind: "start" }], "its next orders hold");
  t.end();
});

// Guards against a new leader whose first orders wait, since the former leader
// has answered a later report.
test("a new leader's orders hold at once", (t) => {
  const { reduce } = createReady();
  const former = orders({ answersReport: 900 });
  reduce({ kind: "orders", now: 910, orders: former });
  const first = { ...start(500), epoch: 8 };
  const effects = reduce({ kind: "orders", now: 920, orders: first });
  t.match(callsOf(effects), [{ kind: "start" }]);
  t.end();
});

// Guards against orders in several parts of which only the first is carried
// out, since all of them answer one report.
test("further parts of a set of orders are carried out", (t) => {
  const { reduce } = createReady();
  const second = { ...START_ORDER, task: "a.0.0.1" };
  const first = { ...start(900), later: [second] };
  reduce({ kind: "orders", now: 910, orders: first });
  const rest = orders({ answersReport: 900, starts: [START_ORDER, second] });
  const effects = reduce({ kind: "orders", now: 911, orders: rest });
  t.match(callsOf(effects), [{ kind: "start", order: { task: "a.0.0.1" } }]);
  t.end();
});
