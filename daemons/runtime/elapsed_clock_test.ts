import { test } from "tap";
import { createElapsedClock } from "./elapsed_clock.ts";

/** A machine's clocks; a suspension passes only on the wall clock. */
function createMachine() {
  const time = { steady: 0, wall: 1_000_000 };
  const clock = createElapsedClock({
    now: () => time.steady,
    date: () => new Date(time.wall),
  });
  return {
    clock,
    run: (duration: number) => {
      time.steady += duration;
      time.wall += duration;
    },
    suspend: (duration: number) => time.wall += duration,
    setWallClock: (by: number) => time.wall += by,
  };
}

// Guards against a permission that outlasts its time because the machine was
// suspended meanwhile.
test("the elapsed time includes suspensions", (t) => {
  const { clock, run, suspend } = createMachine();
  run(1000);
  t.equal(clock.now(), 1000);
  suspend(5000);
  run(10);
  t.equal(clock.now(), 6010);
  t.equal(clock.suspended(), 5000);
  t.end();
});

// Guards against a permission that is given up, or prolonged, for small or
// backward corrections of the wall clock.
test("small and backward steps of the wall clock do not count", (t) => {
  const { clock, run, setWallClock } = createMachine();
  for (let round = 0; round < 10; round++) {
    run(100);
    setWallClock(round % 2 === 0 ? 50 : -2000);
    clock.now();
  }
  t.equal(clock.now(), 1000);
  t.end();
});
