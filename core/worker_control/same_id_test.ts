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

const NEXT = "i-1@2000";
const RUN = "a.0.0.0#1";
const NAME = { task: START_ORDER.task, run: START_ORDER.run };

const reportsOf = (effects: ControlEffect[]) =>
  effects.flatMap((effect) => effect.kind === "report" ? [effect.report] : []);

/** Creates an agent that has sent a start call, which got no answer. */
function createWithSentStart(): (event: ControlEvent) => ControlEffect[] {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  const start = orders({ answersReport: 25, starts: [START_ORDER] });
  reduce({ kind: "orders", now: 30, orders: start });
  return reduce;
}

/** The next incarnation answers a hold call. */
function nextHoldAnswer(
  now: number,
  fields: Partial<Extract<ControlEvent, { kind: "held" }>> = {},
): ControlEvent {
  return {
    ...holdAnswer(now, now - 2) as Extract<ControlEvent, { kind: "held" }>,
    worker: NEXT,
    born: 2000,
    ...fields,
  };
}

/** The worker is found to have started again under its id. */
const RESTARTS: Record<string, ControlEvent> = {
  "its lists": {
    ...holdAnswer(50, 40) as Extract<ControlEvent, { kind: "held" }>,
    born: 2000,
    running: [{ ...NAME, checkpoint: "", percent: 0 }],
  },
  "a heartbeat": {
    kind: "announced",
    now: 50,
    announcement: announcement({ born: 2000 }),
  },
};

for (const [sign, restart] of Object.entries(RESTARTS)) {
  // Guards against a task that runs twice: a worker starts again under its id
  // and carries out a call for its former incarnation, whose runs the leader
  // starts elsewhere once it hears of the new one.
  test(`a new incarnation known by ${sign} is reported without former starts`, (t) => {
    const reduce = createWithSentStart();
    const [report] = reportsOf(reduce(restart));
    t.match(report, { vacant: false, crashes: [] });
    t.equal(report!.worker, undefined);
    const running = [{ ...NAME, checkpoint: "", percent: 0 }];
    const calls = reduce(nextHoldAnswer(60, { running }))
      .filter(({ kind }) => kind === "stop");
    t.match(calls, [{ worker: NEXT, run: NAME }]);
    const stopped = { kind: "stopAnswered", worker: NEXT, run: RUN } as const;
    reduce({ ...stopped, now: 70, stopped: true });
    const end = { number: 1, ...NAME, ending: "stopped", checkpoint: "" };
    const effects = reduce(nextHoldAnswer(80, { ended: [end] as never }));
    const crashes = [{ worker: WORKER, runs: [NAME] }];
    t.match(reportsOf(effects), [{ worker: { key: NEXT }, crashes }]);
    t.end();
  });
}

// Guards against a new incarnation that is never reported, since the call never
// reached it.
test("a start that did not reach the new incarnation is stopped there", (t) => {
  const reduce = createWithSentStart();
  reduce(RESTARTS["its lists"]!);
  reduce(nextHoldAnswer(60));
  const stopped = { kind: "stopAnswered", worker: NEXT, run: RUN } as const;
  reduce({ ...stopped, now: 70, stopped: true });
  const [report] = reportsOf(reduce(nextHoldAnswer(80)));
  t.match(report, { worker: { key: NEXT }, absent: [NAME] });
  t.end();
});

// Guards against a new incarnation that is reported a second late, since its
// lists are asked for before it has accepted the stop.
test("the lists of a new incarnation are asked for once the stop is accepted", (t) => {
  const reduce = createWithSentStart();
  reduce(RESTARTS["its lists"]!);
  const holdsOf = (event: ControlEvent) =>
    reduce(event).filter(({ kind }) => kind === "hold");
  t.same(holdsOf(nextHoldAnswer(60)), []);
  const stopped = { kind: "stopAnswered", worker: NEXT, run: RUN } as const;
  t.match(holdsOf({ ...stopped, now: 70, stopped: true }), [{ wait: 0 }]);
  t.end();
});

// Guards against a delay of workers that can't have got such a call.
test("a worker with another id is reported at once", (t) => {
  const reduce = createWithSentStart();
  const other = announcement({ id: "i-2", born: 2000 });
  const effects = reduce({ kind: "announced", now: 50, announcement: other });
  t.match(reportsOf(effects), [{ worker: { key: "i-2@2000" } }]);
  t.end();
});

/** When the calls of the tests below are sent. */
const SENT_AT = 20_000;

type Reduce = (event: ControlEvent) => ControlEffect[];

const stopsOf = (effects: ControlEffect[]) =>
  effects.filter(({ kind }) => kind === "stop");

/** Creates an agent whose start call got no answer, so that it may come late. */
function createWithUnansweredStart(): Reduce {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  const start = orders({ answersReport: SENT_AT, starts: [START_ORDER] });
  reduce({ kind: "orders", now: SENT_AT, orders: start });
  return reduce;
}

const answerStart = (
  now: number,
  outcome: Extract<ControlEvent, { kind: "startAnswered" }>["outcome"],
): ControlEvent => ({
  kind: "startAnswered",
  now,
  worker: WORKER,
  run: RUN,
  outcome,
});

const failedHold = (now: number, refused: boolean): ControlEvent => ({
  kind: "holdFailed",
  now,
  worker: WORKER,
  reason: "no answer",
  refused,
  connectionLost: false,
});

/** The worker starts again under its id, and answers a hold call. */
function restart(reduce: Reduce, now: number): ControlEffect[] {
  const next = announcement({ born: 2000 });
  const effects = reduce({ kind: "announced", now, announcement: next });
  const held = { ...holdAnswer(now + 10, now + 5), worker: NEXT, born: 2000 };
  return [...effects, ...reduce(held as ControlEvent)];
}

// Guards against a task that runs twice: a worker shuts down and starts again
// under its id, and carries out a call from before its shutdown.
test("a start from before an announced shutdown is stopped on the successor", (t) => {
  const reduce = createWithUnansweredStart();
  reduce({ kind: "left", now: SENT_AT + 100, id: "i-1" });
  reduce(failedHold(SENT_AT + 200, true));
  t.match(stopsOf(restart(reduce, SENT_AT + 500)), [{
    worker: NEXT,
    run: NAME,
  }]);
  t.end();
});

// Guards against a task that runs twice: a worker is gone until its lease has
// ended, starts again under its id with a new clock, and carries out a call from
// before within the 12 s for which calls may be late.
test("a start from before a worker was emptied is stopped on the successor", (t) => {
  const reduce = createWithUnansweredStart();
  reduce(answerStart(SENT_AT + 700, { kind: "unknown" }));
  reduce(failedHold(SENT_AT + 800, true));
  reduce(failedHold(SENT_AT + 1000, true));
  const [report] = reportsOf(reduce({ kind: "tick", now: SENT_AT + 8100 }));
  t.same(report?.emptied, [WORKER]);
  t.match(stopsOf(restart(reduce, SENT_AT + 8500)), [{
    worker: NEXT,
    run: NAME,
  }]);
  t.end();
});

// Guards against a task that runs again after its end: one of two start calls
// got no answer, the run has ended, and the worker starts again under its id and
// carries out the call that was left.
test("an unanswered start whose run has ended is stopped on the successor", (t) => {
  const reduce = createWithUnansweredStart();
  reduce(answerStart(SENT_AT + 700, { kind: "unknown" }));
  reduce(answerStart(SENT_AT + 720, { kind: "started", clock: 70_000 }));
  const end = { number: 1, ...NAME, ending: "done", checkpoint: "" };
  reduce({
    ...holdAnswer(SENT_AT + 800, SENT_AT + 790),
    ended: [end],
  } as ControlEvent);
  const noted = orders({ answersReport: SENT_AT + 800, acknowledged: 1 });
  reduce({ kind: "orders", now: SENT_AT + 810, orders: noted });
  t.match(stopsOf(restart(reduce, SENT_AT + 1500)), [{
    worker: NEXT,
    run: NAME,
  }]);
  t.end();
});

// Guards against a new incarnation that the leader takes for unreachable again:
// the answer to the stop arrives after the lists that show the end.
test("a new incarnation that was reported stays reported", (t) => {
  const reduce = createWithUnansweredStart();
  restart(reduce, SENT_AT + 100);
  const end = { number: 1, ...NAME, ending: "stopped", checkpoint: "" };
  const lists = {
    ...holdAnswer(SENT_AT + 120, SENT_AT + 115),
    worker: NEXT,
    born: 2000,
    ended: [end],
  } as ControlEvent;
  t.match(reportsOf(reduce(lists)), [{ worker: { key: NEXT } }]);
  const stopped = { kind: "stopAnswered", worker: NEXT, run: RUN } as const;
  reduce({ ...stopped, now: SENT_AT + 130, stopped: true });
  const linked = reduce({ kind: "linked", now: SENT_AT + 131 });
  t.match(reportsOf(linked), [{ worker: { key: NEXT } }]);
  t.end();
});
