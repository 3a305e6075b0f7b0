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
    t.match(report, { vacant: false, crashes: [{ worker: WORKER }] });
    t.equal(report!.worker, undefined);
    const running = [{ ...NAME, checkpoint: "", percent: 0 }];
    const calls = reduce(nextHoldAnswer(60, { running }))
      .filter(({ kind }) => kind === "stop");
    t.match(calls, [{ worker: NEXT, run: NAME }]);
    const stopped = { kind: "stopAnswered", worker: NEXT, run: RUN } as const;
    reduce({ ...stopped, now: 70, stopped: true });
    const end = { number: 1, ...NAME, ending: "stopped", checkpoint: "" };
    const effects = reduce(nextHoldAnswer(80, { ended: [end] as never }));
    t.match(reportsOf(effects), [{ worker: { key: NEXT } }]);
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

// Guards against a delay of workers that can't have got such a call.
test("a worker with another id is reported at once", (t) => {
  const reduce = createWithSentStart();
  const other = announcement({ id: "i-2", born: 2000 });
  const effects = reduce({ kind: "announced", now: 50, announcement: other });
  t.match(reportsOf(effects), [{ worker: { key: "i-2@2000" } }]);
  t.end();
});
