import { test } from "tap";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  announcement,
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

const RUN = "a.0.0.0#1";

const stopsOf = (effects: ControlEffect[]) =>
  effects.filter(({ kind }) => kind === "stop");

/** Creates an agent that sent a start to its worker. */
function createWithStart() {
  const agent = createWithWorker();
  const { reduce } = agent;
  reduce(holdAnswer(8, 5));
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  return agent;
}

/** The worker with this id, started at 2000, announces itself and answers. */
function replaceWorker(
  reduce: (event: ControlEvent) => ControlEffect[],
  id: string,
): ControlEffect[] {
  reduce({
    kind: "announced",
    now: 30,
    announcement: announcement({ id, born: 2000 }),
  });
  const held = { ...holdAnswer(40, 35), worker: `${id}@2000`, born: 2000 };
  return reduce(held as ControlEvent);
}

// Guards against a task that runs twice: its worker was replaced by one with
// the same id, which carries out the start that was sent to the former one.
test("an unanswered start is stopped on an incarnation with the same id", (t) => {
  const { reduce } = createWithStart();
  t.match(stopsOf(replaceWorker(reduce, "i-1")), [{
    worker: "i-1@2000",
    run: { task: "a.0.0.0", run: 1 },
  }]);
  t.end();
});

// Guards against calls to a worker that refuses what was sent to another id.
test("an unanswered start is not stopped on a worker with another id", (t) => {
  const { reduce } = createWithStart();
  t.same(stopsOf(replaceWorker(reduce, "i-2")), []);
  t.end();
});

// Guards against a start that counts as carried out, or as refused, because of
// what the former incarnation answered.
test("the answer of a former incarnation changes nothing", (t) => {
  const { control, reduce } = createWithStart();
  replaceWorker(reduce, "i-1");
  const order = { ...START_ORDER, run: 2 };
  const next = { answersReport: 45, worker: "i-1@2000", starts: [order] };
  reduce({ kind: "orders", now: 50, orders: orders(next) });
  const run = "a.0.0.0#2";
  const before = structuredClone(control.state.runs.get(run));
  t.equal(before?.callPending, true);
  reduce({ kind: "tick", now: 195 });
  const hold = structuredClone(control.state.hold);
  t.equal(hold.callPending, true);
  const ignored = reduce({
    kind: "startAnswered",
    now: 200,
    worker: WORKER,
    run,
    outcome: { kind: "refused", reason: "room" },
  });
  reduce({
    kind: "stopAnswered",
    now: 200,
    worker: WORKER,
    run,
    stopped: true,
  });
  reduce(holdAnswer(200, 20));
  t.match(ignored, [{
    kind: "log",
    text: "Answer ignored.",
    fields: { answer: "startAnswered", worker: WORKER, run },
  }]);
  t.same(control.state.runs.get(run), before);
  t.same(control.state.hold, hold);
  t.end();
});

// Guards against a run that counts as absent by lists from before its stop.
test("lists that were asked for before a stop prove nothing", (t) => {
  const { control, reduce } = createWithStart();
  reduce({
    kind: "startAnswered",
    now: 15,
    worker: WORKER,
    run: RUN,
    outcome: {
      kind: "unknown",
    },
  });
  reduce({ kind: "orders", now: 16, orders: orders({ answersReport: 12 }) });
  reduce({
    kind: "startAnswered",
    now: 17,
    worker: WORKER,
    run: RUN,
    outcome: { kind: "unknown" },
  });
  reduce({
    kind: "stopAnswered",
    now: 20,
    worker: WORKER,
    run: RUN,
    stopped: true,
  });
  reduce(holdAnswer(25, 19));
  t.equal(control.state.runs.get(RUN)?.phase, "stopped");
  reduce(holdAnswer(35, 26));
  t.equal(control.state.runs.get(RUN)?.phase, "absent");
  t.end();
});

// Guards against an end that is reported, and counted, again.
test("an acknowledgement is never taken back", (t) => {
  const { control, reduce } = createWithWorker();
  const order = (now: number, acknowledged: number) =>
    reduce({ kind: "orders", now, orders: orders({ acknowledged }) });
  order(10, 5);
  order(20, 3);
  const end = {
    number: 4,
    task: "a.0.0.0",
    run: 1,
    ending: "done",
    checkpoint: "",
  };
  reduce({ ...holdAnswer(30, 25), ended: [end] } as ControlEvent);
  t.equal(control.state.worker?.acknowledged, 5);
  t.same(control.state.worker?.ended, []);
  t.end();
});
