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

/** Time after which no lease from before it can still hold. */
const LEASE_OVER = 25_000;

const second = { ...START_ORDER, task: "b.0.0.0" };
const third = { ...START_ORDER, task: "c.0.0.0" };

function reportOf(effects: ControlEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "report" ? [effect.report] : []
  ).at(-1);
}

/** The reported crashes, without their times. */
function crashesOf(effects: ControlEffect[]) {
  return reportOf(effects)?.crashes
    ?.map(({ worker, runs }) => ({ worker, runs }));
}

/** An agent whose worker runs `a` and was called to start `b`, not yet `c`. */
function createBusy() {
  const { reduce } = createWithWorker();
  const starts = [START_ORDER, second];
  reduce({ kind: "orders", now: 10, orders: orders({ starts }) });
  const running = [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 0 }];
  reduce({ ...holdAnswer(20, 10), running } as ControlEvent);
  reduce({ kind: "tick", now: 900 });
  reduce({ ...holdAnswer(1000, 900), running } as ControlEvent);
  for (const run of ["a.0.0.0#1", "b.0.0.0#1"]) {
    const outcome = { kind: "started", clock: 50_030 } as const;
    reduce({ kind: "startAnswered", now: 1010, worker: WORKER, run, outcome });
  }
  reduce({
    kind: "orders",
    now: 1020,
    orders: orders({ starts: [...starts, third] }),
  });
  const outcome = { kind: "refused", reason: "no process" } as const;
  reduce({
    kind: "startAnswered",
    now: 1030,
    worker: WORKER,
    run: "c.0.0.0#1",
    outcome,
  });
  return reduce;
}

const EXPOSED = [{
  worker: WORKER,
  runs: [
    { task: "a.0.0.0", run: 1, workedFor: 980 },
    { task: "b.0.0.0", run: 1, workedFor: 0 },
  ],
}];

// Guards against runs that are suspected though they never reached the worker,
// and against one that crashed it at once and is not.
test("a crash is reported with the runs that may have been at work", (t) => {
  const reduce = createBusy();
  const effects = reduce({
    kind: "announced",
    now: 3000,
    announcement: announcement({ id: "i-2", born: 3900 }),
  });
  t.same(crashesOf(effects), EXPOSED);
  t.same(
    crashesOf(reduce({ kind: "linked", now: 4000 })),
    EXPOSED,
    "a new leader hears of it, too",
  );
  t.end();
});

// Guards against a gang that crashes worker after worker and is never given up:
// its members are stopped while the crash is not known yet.
test("a run that began and was told to stop may have been at work", (t) => {
  const reduce = createBusy();
  const stop = orders({ stops: [{ task: "b.0.0.0", run: 1 }] });
  reduce({ kind: "orders", now: 1040, orders: stop });
  const stopped = { worker: WORKER, run: "b.0.0.0#1", stopped: true } as const;
  reduce({ kind: "stopAnswered", now: 1050, ...stopped });
  const next = announcement({ id: "i-2", born: 3900 });
  const effects = reduce({ kind: "announced", now: 1060, announcement: next });
  t.same(crashesOf(effects), EXPOSED);
  t.end();
});

// Guards against a run that crashes its worker at once and is taken for an old
// one, because its worker still listed it.
test("a run that was only just listed is not settled", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  const running = [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 0 }];
  reduce({ ...holdAnswer(20, 10), running } as ControlEvent);
  const effects = reduce({
    kind: "announced",
    now: 3000,
    announcement: announcement({ id: "i-2", born: 3900 }),
  });
  t.same(crashesOf(effects)?.[0]?.runs.map((run) => run.workedFor), [0]);
  t.end();
});

// Guards against a task that is suspected because it was sent to a worker that
// had gone silent before.
test("a run that was sent to a silent worker was not on it", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  reduce(holdAnswer(20, 10));
  reduce({
    kind: "orders",
    now: 1500,
    orders: orders({ starts: [START_ORDER] }),
  });
  const effects = reduce({
    kind: "announced",
    now: 3000,
    announcement: announcement({ id: "i-2", born: 3900 }),
  });
  t.same(crashesOf(effects), [{ worker: WORKER, runs: [] }]);
  t.end();
});

// Guards against a planned end that counts as a crash.
test("a worker that drains or leaves does not crash", (t) => {
  for (const draining of [true, false]) {
    const { reduce } = createWithWorker();
    if (draining) {
      const leaving = announcement({ draining, sequence: 2 });
      reduce({ kind: "announced", now: 100, announcement: leaving });
    } else reduce({ kind: "left", now: 100, id: "i-1" });
    const effects = reduce({
      kind: "announced",
      now: 3000,
      announcement: announcement({ id: "i-2", born: 3900 }),
    });
    t.same(crashesOf(effects), [], `draining: ${draining}`);
  }
  t.end();
});

// Guards against a crash that is not noticed because the worker stays away for
// longer than its lease, and against a cut that is taken for one.
test("a worker that refuses connections until its lease ends has crashed", (t) => {
  for (const refused of [true, false]) {
    const reduce = createBusy();
    for (const now of [2000, 2200, LEASE_OVER]) {
      reduce({ kind: "tick", now: now - 10 });
      reduce({
        kind: "holdFailed",
        now,
        worker: WORKER,
        reason: "",
        refused,
        connectionLost: false,
      });
    }
    const effects = reduce({ kind: "tick", now: LEASE_OVER + 1000 });
    t.same(crashesOf(effects), refused ? EXPOSED : [], `refused: ${refused}`);
  }
  t.end();
});

// Guards against tasks that join a suspect on a worker which has gone silent
// just after it had listed the suspect.
test("a run does not settle while its worker does not answer", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  const running = [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 0 }];
  reduce({ ...holdAnswer(20, 10), running } as ControlEvent);
  const unsettledAt = (now: number) => {
    const effects = reduce({ kind: "linked", now });
    return effects.flatMap((effect) =>
      effect.kind === "report" ? effect.report.unsettled : []
    );
  };
  const unsettled = [{ task: "a.0.0.0", run: 1 }];
  t.same(unsettledAt(100), unsettled);
  t.same(unsettledAt(3000), unsettled);
  reduce({ ...holdAnswer(3100, 30), running } as ControlEvent);
  t.same(unsettledAt(3200), []);
  t.end();
});

/** An agent whose worker has accepted the start of `a` at 1000. */
function createStarted() {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  reduce(holdAnswer(20, 10));
  const starts = [START_ORDER];
  reduce({ kind: "orders", now: 990, orders: orders({ starts }) });
  const outcome = { kind: "started", clock: 51_000 } as const;
  const run = "a.0.0.0#1";
  reduce({ kind: "startAnswered", now: 1000, worker: WORKER, run, outcome });
  return reduce;
}

// Guards against a run that seems to have just begun when its worker crashed,
// because no list had named it yet.
test("a lost connection shows until when a worker lived", (t) => {
  for (const connectionLost of [true, false]) {
    const reduce = createStarted();
    reduce({
      kind: "holdFailed",
      now: 1700,
      worker: WORKER,
      reason: "",
      refused: false,
      connectionLost,
    });
    const effects = reduce({
      kind: "announced",
      now: 3000,
      announcement: announcement({ id: "i-2", born: 3900 }),
    });
    const workedFor = connectionLost ? 700 : 0;
    t.same(
      crashesOf(effects)?.[0]?.runs,
      [{ task: "a.0.0.0", run: 1, workedFor }],
      `connection lost: ${connectionLost}`,
    );
    const aliveAgo = connectionLost ? 1300 : 2980;
    t.same(reportOf(effects)?.crashes?.[0]?.silence, {
      aliveAgo,
      failedAgo: 1300,
    });
  }
  t.end();
});

// Guards against a leader that takes the crash of many workers for that of one,
// because it hears of the others too late.
test("a worker that stops answering is reported at once", (t) => {
  const reduce = createStarted();
  const effects = reduce({
    kind: "holdFailed",
    now: 1700,
    worker: WORKER,
    reason: "",
    refused: false,
    connectionLost: true,
  });
  t.same(reportOf(effects)?.silence, { aliveAgo: 0, failedAgo: 0 });
  const answered = reduce(holdAnswer(1900, 1850));
  t.ok(reportOf(answered), "it is reported, too, when the worker answers");
  t.equal(reportOf(answered)?.silence, undefined);
  t.end();
});
