import { test } from "tap";
import { createLoop } from "./loop.ts";

// Guards against effects of two events that are performed in a mixed order.
test("an event dispatched from an effect waits for the effects before it", (t) => {
  const performed: string[] = [];
  const loop = createLoop<string, string>({
    reduce: (event) => [`${event}1`, `${event}2`],
    perform: (effect) => {
      performed.push(effect);
      if (effect === "a1") loop.dispatch("b");
    },
  });
  loop.dispatch("a");
  t.same(performed, ["a1", "a2", "b1", "b2"]);
  t.end();
});

// Guards against a process that continues with a state that may be wrong after
// an error.
test("an error of the reducer is reported and thrown", (t) => {
  const failures: unknown[] = [];
  const loop = createLoop<string, string>({
    reduce: () => {
      throw new Error("broken");
    },
    perform: () => t.fail("no effect may be performed"),
    onFailure: (error) => failures.push(error),
  });
  t.throws(() => loop.dispatch("a"), /broken/);
  t.equal(failures.length, 1);
  t.end();
});
