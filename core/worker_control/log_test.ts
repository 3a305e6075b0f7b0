import { test } from "tap";
import type { ControlEvent } from "./mod.ts";
import {
  createWithWorker,
  holdAnswer,
  orders,
  START_ORDER,
} from "./setup_for_tests.ts";

// Guards against a start whose link, report and grant can't be told afterwards.
test("the log tells what a start was ordered by and when the grant ended", (t) => {
  const { reduce } = createWithWorker();
  const logsOf = (event: ControlEvent) =>
    reduce(event).flatMap((effect) =>
      effect.kind === "log" ? [{ text: effect.text, ...effect.fields }] : []
    );
  t.match(
    logsOf({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) }),
    [{ text: "New leader." }, { text: "Grant begun.", left: 7995 }],
  );
  reduce(holdAnswer(20, 10));
  const start = orders({ answersReport: 5, starts: [START_ORDER] });
  t.match(logsOf({ kind: "orders", now: 1005, orders: start, link: 2 }), [
    { text: "Start ordered.", epoch: 7, link: 2, answeredAgo: 1000 },
    { text: "Start sent.", grantLeft: 7000 },
  ]);
  t.match(logsOf({ kind: "tick", now: 8105 }), [
    { text: "Grant ended.", ago: 100 },
  ]);
  t.end();
});
