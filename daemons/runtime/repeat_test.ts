import { test } from "tap";
import { repeat } from "./repeat.ts";

/** Timers that run when the test says so. */
function createTimers() {
  const pending = new Set<() => void>();
  return {
    pending,
    after: (_delay: number, task: () => void) => {
      pending.add(task);
      return () => void pending.delete(task);
    },
    run: () => {
      for (const task of [...pending]) {
        pending.delete(task);
        task();
      }
    },
  };
}

// Guards against a process that does not end because its tick ended it, and was
// scheduled again.
test("a task that cancels its own repetition does not run again", (t) => {
  const timer = createTimers();
  let runs = 0;
  const cancel = repeat({
    timer,
    interval: 20,
    task: () => {
      runs++;
      if (runs === 2) cancel();
    },
  });
  timer.run();
  timer.run();
  t.equal(runs, 2);
  t.equal(timer.pending.size, 0);
  t.end();
});

// Guards against a repetition that goes on after it was cancelled from outside.
test("a cancelled repetition does not run again", (t) => {
  const timer = createTimers();
  const cancel = repeat({ timer, interval: 20, task: () => {} });
  timer.run();
  cancel();
  t.equal(timer.pending.size, 0);
  t.end();
});
