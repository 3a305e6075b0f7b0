import { test } from "tap";
import {
  announcement,
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
} from "./setup_for_tests.ts";
import type { ControlEvent } from "./mod.ts";

// Guards against starts that are planned for capacity that the worker has lost.
test("a changed capacity is reported at once", (t) => {
  const { reduce } = createWithWorker();
  const effects = reduce({
    kind: "announced",
    now: 100,
    announcement: announcement({ accelerators: 4, sequence: 2 }),
  });
  const report = effects.find((effect) => effect.kind === "report");
  t.equal(report?.report.worker?.accelerators, 4);
  t.end();
});

// Guards against shrunk capacity that nobody sees any more once the leader that
// saw it shrink is gone.
test("the capacity that a worker had before is reported", (t) => {
  const { control, reduce } = createWithWorker();
  const announce = (accelerators: number, sequence: number) =>
    reduce({
      kind: "announced",
      now: 100 * sequence,
      announcement: announcement({ accelerators, sequence }),
    });
  announce(4, 2);
  announce(6, 3);
  t.match(control.state.worker?.state, {
    accelerators: 6,
    full: { accelerators: 8 },
  });
  reduce({
    kind: "announced",
    now: 1000,
    announcement: announcement({ id: "i-2", born: 3000, accelerators: 5 }),
  });
  t.equal(control.state.worker?.state.full?.accelerators, 5);
  t.end();
});

// Guards against a start that waits at the agent, in the absence of a leader,
// until the worker has no room for it any more.
test("a start for a former capacity is not sent", (t) => {
  const { reduce } = createWithWorker();
  const starts = [START_ORDER];
  reduce({ kind: "orders", now: 10, orders: orders({ starts }) });
  const smaller = announcement({ accelerators: 4, sequence: 2 });
  reduce({ kind: "announced", now: 15, announcement: smaller });
  const listed = reduce(holdAnswer(20, 10));
  t.notOk(listed.some((effect) => effect.kind === "start"));
  const again = reduce({ kind: "orders", now: 30, orders: orders({ starts }) });
  t.ok(again.some((effect) => effect.kind === "start"), "unless ordered again");
  t.end();
});

// Guards against a start that a leader orders before it hears that the worker
// has shrunk.
test("a start that was decided on a former capacity is not sent", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 5, orders: orders() });
  reduce(holdAnswer(10, 5));
  const accelerators = 4;
  const smaller = announcement({ accelerators, sequence: 2 });
  reduce({ kind: "announced", now: 15, announcement: smaller });
  const { millicores, megabytes } = smaller;
  const sentStarts = (now: number, accelerators: number) => {
    const capacity = { millicores, megabytes, accelerators };
    const ordered = orders({ capacity, starts: [START_ORDER] });
    return reduce({ kind: "orders", now, orders: ordered })
      .filter((effect) => effect.kind === "start").length;
  };
  t.equal(sentStarts(20, 8), 0);
  t.equal(sentStarts(30, accelerators), 1);
  t.end();
});

// Guards against a start that is dropped at each heartbeat of its worker.
test("a start that waits is kept while the capacity is the same", (t) => {
  const { reduce } = createWithWorker();
  const starts = [START_ORDER];
  reduce({ kind: "orders", now: 10, orders: orders({ starts }) });
  const same = announcement({ sequence: 2, labels: ["a"] });
  reduce({ kind: "announced", now: 15, announcement: same });
  const listed = reduce(holdAnswer(20, 10));
  t.ok(listed.some((effect) => effect.kind === "start"));
  t.end();
});

// Guards against tasks that are placed by the size of a former incarnation: the
// worker came back as another kind, and its first heartbeat is still under way.
test("a new incarnation has no capacity before its first heartbeat", (t) => {
  const { control, reduce } = createWithWorker();
  const held = { ...holdAnswer(20, 10), born: 2000 } as ControlEvent;
  const effects = reduce(held);
  const report = effects.find((effect) => effect.kind === "report");
  t.match(report?.report.worker, {
    key: "i-1@2000",
    accelerators: 0,
    millicores: 0,
    megabytes: 0,
  });
  const late = announcement({ sequence: 9 });
  reduce({ kind: "announced", now: 30, announcement: late });
  t.equal(control.state.worker?.state.accelerators, 0, "a late heartbeat");
  const first = announcement({ born: 2000, accelerators: 4, sequence: 0 });
  const reported = reduce({ kind: "announced", now: 40, announcement: first });
  t.match(reported.find((effect) => effect.kind === "report"), {
    report: { worker: { accelerators: 4, full: { accelerators: 4 } } },
  });
  t.end();
});
