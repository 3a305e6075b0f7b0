/**
 * A process that may stand still for a while or end.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Agenda } from "./agenda.ts";

/** A process; what reaches it while it stands still waits. */
export interface Process {
  /** Runs the action, once the process goes on; never if it has ended. */
  run(act: () => void): void;
  /** Runs the action after `delay`. */
  after(delay: Milliseconds, act: () => void): void;
  /** Repeats the action at an interval, which it may choose. */
  repeat(interval: () => Milliseconds, act: () => void): void;
  /** Has no effect on a process that stands still already. */
  pause(duration: Milliseconds, onResume?: () => void): void;
  isPaused(): boolean;
  isAlive(): boolean;
  end(): void;
}

/** Creates a running process. */
export function createProcess(agenda: Agenda): Process {
  let alive = true;
  let pausedUntil = -Infinity;
  let waiting: (() => void)[] = [];

  const isPaused = () => agenda.now() < pausedUntil;

  function resume(): void {
    const due = waiting;
    waiting = [];
    due.forEach(run);
  }

  function run(act: () => void): void {
    if (!alive) return;
    if (isPaused()) waiting.push(act);
    else act();
  }

  const after = (delay: Milliseconds, act: () => void) =>
    agenda.after(delay, () => run(act));

  function repeat(interval: () => Milliseconds, act: () => void): void {
    act();
    after(interval(), () => repeat(interval, act));
  }

  return {
    run,
    after,
    repeat,
    pause: (duration, onResume) => {
      if (isPaused()) return;
      pausedUntil = agenda.now() + duration;
      agenda.after(duration, () => {
        onResume?.();
        resume();
      });
    },
    isPaused,
    isAlive: () => alive,
    end: () => {
      alive = false;
      waiting = [];
    },
  };
}
