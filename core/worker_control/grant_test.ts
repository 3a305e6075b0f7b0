import { test } from "tap";
import { createWorkerControl, grantLength } from "./mod.ts";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  announcement,
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

const starts = (effects: ControlEffect[]) =>
  effects.filter((effect) => effect.kind === "start");
const lastUntil = (effects: ControlEffect[]) => {
  const [hold] = effects.filter((effect) => effect.kind === "hold");
  return hold?.until;
};

// Guards against tasks that run twice: an agent whose machine was suspended
// used up the rest of a grant that had ended, while the leader had started the
// tasks elsewhere.
test("a suspension shortens the grant", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  t.equal(control.state.grantEnd, 8005);
  reduce({ kind: "tick", now: 30, suspended: 7000 });
  t.equal(control.state.grantEnd, 1005);
  const effects = reduce({ kind: "tick", now: 40, suspended: 9500 });
  t.ok(control.state.grantEnd < 0);
  t.equal(lastUntil(effects), undefined, "no lease is extended");
  t.end();
});

// Guards against orders that were under way during a suspension and renew the
// grant as if no time had passed.
test("orders that answer a report from before a suspension grant less", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  const effects = reduce({
    kind: "orders",
    now: 30,
    suspended: 9500,
    orders: orders({ answersReport: 25, starts: [START_ORDER] }),
  });
  t.same(starts(effects), []);
  t.ok(control.state.grantEnd < 30);
  const [report] = reduce({ kind: "linked", now: 40 })
    .flatMap((effect) => effect.kind === "report" ? [effect.report] : []);
  reduce({
    kind: "orders",
    now: 50,
    orders: orders({ answersReport: report!.sentAt }),
  });
  t.equal(control.state.grantEnd, 8040, "a later report is granted in full");
  t.end();
});

// Guards against a start that is carried out after the leader gave the task to
// another worker.
test("a start that the leader no longer orders is withdrawn", (t) => {
  const { reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  t.same(starts(reduce(holdAnswer(20, 16))), [], "it was never sent");
  t.end();
});

// Guards against a withdrawn start that the worker carries out late.
test("a withdrawn start that may be carried out late is stopped", (t) => {
  const { reduce } = createWithWorker();
  reduce(holdAnswer(8, 5));
  const sent = reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  t.equal(starts(sent).length, 1);
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  const effects = reduce({
    kind: "startAnswered",
    now: 20,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "unknown" },
  });
  t.match(effects.filter((effect) => effect.kind === "stop"), [{
    run: { task: "a.0.0.0", run: 1 },
  }]);
  t.end();
});

// Guards against running work that is stopped after a restart of all processes:
// a new leader orders the start of a run until it hears that it is running.
test("a start that is no longer ordered since the run is listed goes on", (t) => {
  const { control, reduce } = createWithWorker();
  const running = [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 40 }];
  reduce({ ...holdAnswer(8, 5), running } as ControlEvent);
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  const effects = reduce({
    kind: "startAnswered",
    now: 20,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "started", clock: 50_020 },
  });
  t.same(effects.filter((effect) => effect.kind === "stop"), []);
  t.notOk([...control.state.runs.values()].some((run) => run.stopRequested));
  t.end();
});

// Guards against running work that is lost with its leases in an absence of the
// store of 4.5 s, in which no leader answers reports.
test("leases of at most 6 s outlast an absence of the store of 4.5 s", (t) => {
  const control = createWorkerControl({
    process: "process-1",
    times: { grant: grantLength(6000), longestLease: 6000 },
  });
  control.reduce({ kind: "announced", now: 0, announcement: announcement() });
  // The last report that was answered is as old as the interval of reports.
  control.reduce({
    kind: "orders",
    now: 800,
    orders: orders({ answersReport: 0 }),
  });
  const backAt = 800 + 4500;
  let until = 0;
  for (let now = 800; now < backAt; now += 200) {
    const effects = control.reduce({ ...holdAnswer(now, now - 10) });
    until = Math.max(until, lastUntil(effects) ?? 0);
  }
  const left = until - (50_000 + backAt);
  t.ok(left >= 500, `${left} ms are left for the election of a leader`);
  t.end();
});

// Guards against a lease without an end, after an answer to a report that was
// never sent.
test("a grant does not begin later than now", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 1e12 }) });
  t.equal(control.state.grantEnd, 8010);
  t.end();
});

// Guards against a start that is stopped since the message that names it can't
// hold all starts.
test("a start that a later message will order is not withdrawn", (t) => {
  const { reduce } = createWithWorker();
  reduce(holdAnswer(8, 5));
  const start = orders({ answersReport: 5, starts: [START_ORDER] });
  t.equal(starts(reduce({ kind: "orders", now: 10, orders: start })).length, 1);
  const later = orders({ answersReport: 12, later: [START_ORDER] });
  reduce({ kind: "orders", now: 15, orders: later });
  const effects = reduce({
    kind: "startAnswered",
    now: 20,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "unknown" },
  });
  t.same(effects.filter((effect) => effect.kind === "stop"), []);
  t.end();
});

// Guards against a task that starts in a failure domain that is evacuated
// meanwhile, since the orders that withdraw it did not arrive.
test("a start is sent only soon after the leader has named it", (t) => {
  const { reduce } = createWithWorker();
  const starts = [START_ORDER];
  const send = (now: number, answersReport: number) => {
    const named = orders({ answersReport, starts });
    return reduce({ kind: "orders", now, orders: named })
      .filter(({ kind }) => kind === "start");
  };
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  t.same(send(3000, 400), [], "the orders arrived late");
  t.same(send(3010, 400), []);
  t.equal(send(3020, 2990).length, 1);
  t.end();
});
