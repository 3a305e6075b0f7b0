/**
 * Repeats a task at a fixed interval.
 *
 * @module
 */

import type { Milliseconds, Timer } from "@dragonflyledge/model";

/**
 * Runs the task after each interval until the returned function is called. The
 * task itself may call it, too.
 */
export function repeat(fields: {
  timer: Timer;
  interval: Milliseconds;
  task: () => void;
}): () => void {
  const { timer, interval, task } = fields;
  let cancelled = false;
  let cancelNext = timer.after(interval, run);

  function run(): void {
    task();
    if (!cancelled) cancelNext = timer.after(interval, run);
  }

  return () => {
    cancelled = true;
    cancelNext();
  };
}
