import { test } from "tap";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

const LEFT: ControlEvent = { kind: "left", now: 100, id: "i-1" };

/** Creates an agent whose worker was announced to shut down at time 100. */
function createLeaving() {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  return { control, reduce, effects: reduce(LEFT) };
}

function reportOf(effects: ControlEffect[]) {
  return effects.findLast((effect) => effect.kind === "report");
}

function fail(refused: boolean, now: number): ControlEvent {
  const connectionLost = false;
  const reason = "failed";
  const worker = WORKER;
  return { kind: "holdFailed", now, worker, reason, refused, connectionLost };
}

// Guards against runs that are started again elsewhere, though the worker goes
// on: the deregistration was that of a former incarnation under the same id.
test("a worker that goes on answering has not left", (t) => {
  const { control, reduce } = createLeaving();
  for (const now of [200, 600, 1000, 1400]) {
    reduce({ kind: "tick", now });
    reduce(holdAnswer(now + 100, now + 1));
  }
  t.same(control.state.emptied, []);
  t.equal(control.state.worker?.leftAt, undefined);
  const start = orders({ answersReport: 1400, starts: [START_ORDER] });
  const effects = reduce({ kind: "orders", now: 1600, orders: start });
  t.ok(effects.some((effect) => effect.kind === "start"), "it gets starts");
  t.end();
});

// Guards against tasks that wait for a worker which has announced its end and
// is gone, and against starts and leases in between.
test("a worker that is not there after its deregistration has left", (t) => {
  const { reduce } = createLeaving();
  const start = orders({ answersReport: 90, starts: [START_ORDER] });
  const ordered = reduce({ kind: "orders", now: 110, orders: start });
  t.notOk(ordered.some((effect) => effect.kind === "start"));
  reduce(holdAnswer(120, 21));
  const held = reduce({ kind: "tick", now: 300 });
  t.match(held.find((effect) => effect.kind === "hold"), {
    until: undefined,
    wait: 0,
  });
  t.match(reportOf(reduce(fail(true, 310))), {
    report: { emptied: [WORKER], silence: undefined, crashes: [] },
  });
  t.end();
});

// Guards against runs that start elsewhere while a worker is silent after a
// deregistration that it may not have sent.
test("a silent worker is awaited for its lease", (t) => {
  const { control, reduce } = createLeaving();
  reduce(fail(false, 800));
  reduce({ kind: "tick", now: 1000 });
  reduce(fail(false, 1700));
  t.same(control.state.emptied, []);
  reduce({ kind: "tick", now: 12_000 });
  t.same(control.state.emptied, [WORKER]);
  t.end();
});
