import { test } from "tap";
import type { ControlEvent } from "./mod.ts";
import {
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

// Guards against a task that runs again though it is done. A restarted agent
// gets the order to start a run whose end the worker lists only later.
test("a refused start is not reported while ends are missing", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "tick", now: 13_000 });
  const start = orders({ answersReport: 12_990, starts: [START_ORDER] });
  reduce({ kind: "orders", now: 13_010, orders: start });
  reduce(holdAnswer(13_020, 13_011));
  reduce({
    kind: "startAnswered",
    now: 13_030,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "refused", reason: "old" },
  });
  const reports = (allEnds: boolean, now: number) =>
    reduce({ ...holdAnswer(now, now - 5), allEnds } as ControlEvent)
      .flatMap((effect) => effect.kind === "report" ? [effect.report] : []);
  for (const now of [13_050, 14_050, 15_050]) {
    for (const { refused } of reports(false, now)) t.same(refused, []);
  }
  const [last] = reports(true, 16_050);
  t.match(last, { allEnds: true, refused: [{ task: "a.0.0.0", run: 1 }] });
  t.equal(control.state.worker?.allEnds, true);
  t.end();
});
