import { test } from "tap";
import { createWorkerControl } from "./mod.ts";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  announcement,
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

/** Creates an agent that has not heard from a worker. */
function createWithoutWorker() {
  const control = createWorkerControl({
    process: "process-1",
    times: { grant: 8000, longestLease: 10_000 },
  });
  control.reduce({ kind: "tick", now: 0 });
  return control;
}

/**
 * The worker accepts the stop of the run, then answers a hold call with empty
 * lists. Returns the reports that follow.
 */
function stopAndList(
  reduce: (event: ControlEvent) => ControlEffect[],
  now: number,
) {
  reduce({
    kind: "stopAnswered",
    now,
    worker: WORKER,
    run: "a.0.0.0#1",
    stopped: true,
  });
  return reduce(holdAnswer(now + 20, now + 10))
    .flatMap((effect) => effect.kind === "report" ? [effect.report] : []);
}

function kinds(effects: ControlEffect[]): string[] {
  return effects.map((effect) => effect.kind);
}

// Guards against a finished task that runs again. A restarted agent must see
// which runs have ended on the worker before it carries out an order to start.
test("nothing is started before the worker's lists are known", (t) => {
  const { reduce } = createWithWorker();
  const ordered = reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  t.notOk(kinds(ordered).includes("start"));
  t.ok(kinds(ordered).includes("hold"));
  const listed = reduce(holdAnswer(20, 10));
  t.ok(kinds(listed).includes("start"));
  t.end();
});

// Guards against a finished task that runs again. If the run ends between the
// lists and the start call, the worker refuses the start, and a report of the
// refusal would hide the end.
test("a refused start is reported only after the next lists", (t) => {
  const { reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  reduce(holdAnswer(20, 10));
  const refused = reduce({
    kind: "startAnswered",
    now: 30,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "refused", reason: "old" },
  });
  t.notOk(
    refused.some((each) =>
      each.kind === "report" && each.report.refused.length > 0
    ),
  );
  reduce(holdAnswer(1020, 20));
  const late = reduce({
    ...holdAnswer(1030, 1020),
    ended: [{
      number: 1,
      task: "a.0.0.0",
      run: 1,
      ending: "done",
      checkpoint: "",
    }],
  } as ControlEvent);
  const report = late.find((effect) => effect.kind === "report");
  t.match(report, { report: { refused: [], ended: [{ ending: "done" }] } });
  t.end();
});

// Guards against a lease that outlives the grant because the worker's clock is
// slow.
test("a lease ends before the grant, and is not extended after it", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  const first = reduce(holdAnswer(1000, 10));
  const hold = first.find((effect) => effect.kind === "hold");
  t.ok(hold?.kind === "hold" && hold.until !== undefined);
  if (hold?.kind === "hold") {
    const length = hold.until! - 51_000;
    t.ok(length / 0.98 <= 8005 - 1000, `${length} ms`);
  }
  const after = reduce(holdAnswer(9000, 1000));
  const late = after.find((effect) => effect.kind === "hold");
  t.match(late, { until: undefined });
  t.end();
});

// Guards against carrying out orders of a leader that was replaced.
test("orders of a lower epoch change nothing", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ epoch: 9 }) });
  reduce({
    kind: "orders",
    now: 5000,
    orders: orders({ epoch: 8, answersReport: 4000, starts: [START_ORDER] }),
  });
  t.equal(control.state.grantEnd, 8000);
  t.equal(control.state.runs.size, 0);
  t.end();
});

// Guards against a start call that the worker carries out late, after the task
// was moved to another worker.
test("a start with an unanswered call is refused only after a stop", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  reduce(holdAnswer(20, 10));
  const answer = (now: number, outcome: "unknown" | "refused") =>
    reduce({
      kind: "startAnswered",
      now,
      worker: WORKER,
      run: "a.0.0.0#1",
      outcome: outcome === "unknown"
        ? { kind: "unknown" }
        : { kind: "refused", reason: "room" },
    });
  answer(720, "unknown");
  const effects = answer(730, "refused");
  t.ok(kinds(effects).includes("stop"));
  reduce({
    kind: "stopAnswered",
    now: 740,
    worker: WORKER,
    run: "a.0.0.0#1",
    stopped: true,
  });
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "stopped");
  reduce(holdAnswer(760, 20));
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "stopped");
  reduce(holdAnswer(780, 760));
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "absent");
  t.end();
});

// Guards against new work on a draining worker, and against a task that runs
// elsewhere although an earlier process of this agent has started it here.
test("a draining worker gets a stop instead of a start", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({
    kind: "announced",
    now: 5,
    announcement: announcement({ draining: true, sequence: 2 }),
  });
  reduce(holdAnswer(10, 5));
  const ordered = reduce({
    kind: "orders",
    now: 20,
    orders: orders({ starts: [START_ORDER] }),
  });
  t.notOk(kinds(ordered).includes("start"));
  t.ok(kinds(ordered).includes("stop"));
  const reports = stopAndList(reduce, 30);
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "refused");
  t.match(reports.at(-1), { refused: [{ run: 1, reason: "draining" }] });
  t.end();
});

// Guards against a task that runs twice: the start was refused, but a call of
// an earlier process of this agent is still under way and may be carried out.
test("a refusal soon after the agent's start is proven with a stop", (t) => {
  for (const [age, stops] of [[100, true], [12_100, false]] as const) {
    const { control, reduce } = createWithWorker();
    const order = orders({ starts: [START_ORDER], answersReport: age - 50 });
    reduce({ kind: "orders", now: age, orders: order });
    reduce(holdAnswer(age + 10, age));
    const refused = reduce({
      kind: "startAnswered",
      now: age + 20,
      worker: WORKER,
      run: "a.0.0.0#1",
      outcome: { kind: "refused", reason: "room" },
    });
    t.equal(kinds(refused).includes("stop"), stops, `after ${age} ms`);
    if (!stops) continue;
    stopAndList(reduce, age + 30);
    t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "refused");
  }
  t.end();
});

// Guards against a second run of a task that still runs on a worker which is
// only cut off from its agent.
test("an unreachable worker counts as empty only after its lease", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  reduce(holdAnswer(20, 10));
  reduce({ kind: "orders", now: 30, orders: orders({ answersReport: 25 }) });
  const fail = (now: number) =>
    reduce({
      kind: "holdFailed",
      now,
      worker: WORKER,
      reason: "silent",
      refused: false,
      connectionLost: false,
    });
  fail(1700);
  fail(3400);
  t.equal(control.state.worker?.state.reachable, false);
  reduce({ kind: "tick", now: 8000 });
  t.same(control.state.emptied, []);
  reduce({ kind: "tick", now: 11_000 });
  t.same(control.state.emptied, [WORKER]);
  t.end();
});

// Guards against work that never starts again after its machine lost power: the
// agent is back, and its worker never comes back.
test("an agent without a worker reports when none can hold a lease", (t) => {
  const { reduce } = createWithoutWorker();
  const vacantAt = (now: number) => {
    const [effect] = reduce({ kind: "linked", now });
    return effect?.kind === "report" && effect.report.vacant;
  };
  t.equal(vacantAt(100), false, "an earlier process may have given a lease");
  t.equal(vacantAt(8200), false, "a lease may outlast the grant");
  t.equal(vacantAt(10_200), false);
  t.equal(vacantAt(10_300), true, "the longest lease has ended");
  const announced: ControlEvent = {
    kind: "announced",
    now: 10_400,
    announcement: announcement(),
  };
  const reports = reduce(announced).flatMap((effect) =>
    effect.kind === "report" ? [effect.report.vacant] : []
  );
  t.same(reports, [false]);
  t.end();
});
