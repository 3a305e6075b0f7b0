/**
 * Tasks of the fake worker: run times, leases and endings.
 *
 * @module
 */

import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";

/** How a task ended. `lapsed` means that its lease was not renewed in time. */
export type Ending = "finished" | "failed" | "stopped" | "lapsed";

/** A task as its caller described it, with its current lease and throttle. */
export interface WorkerTask {
  id: string;
  /** The member's report, returned as given. */
  report: unknown;
  perMember: { accelerators: number; cores: number; memoryMiB: number };
  /** `run MS`, `fail MS`, or anything else for a task that does not end. */
  command: string;
  leaseMs: Milliseconds;
  /** Share of its resources to which the task is throttled; 1 at first. */
  share: number;
  /** Number of checkpoints that were requested. */
  checkpoints: number;
}

/** Start or end of a task, recorded for tests. */
export interface WorkerRecord {
  task: string;
  kind: "started" | Ending;
  at: Milliseconds;
}

/** End of a task, as `GET /events` reports it. */
export interface EndingEvent {
  /** Position in the list of endings, from 1. */
  number: number;
  task: string;
  ending: Ending;
  cause: string;
}

/**
 * Tasks of one worker. Methods that take the ID of a task return whether it was
 * running.
 */
export interface WorkerTasks {
  readonly records: WorkerRecord[];
  readonly endings: EndingEvent[];
  /** Calls `listener` at each ending, until the returned function is called. */
  onEnding(listener: () => void): () => void;
  list(): WorkerTask[];
  /** Starts a task. Returns false if a task with this ID is already running. */
  start(task: WorkerTask): boolean;
  /** Replaces the lease of a task; the new one starts now. */
  renew(id: string, leaseMs: Milliseconds): boolean;
  checkpoint(id: string): boolean;
  throttle(id: string, share: number): boolean;
  end(id: string, ending: Ending, cause: string): boolean;
  /** Stops all running tasks. */
  endAll(): void;
}

interface RunningTask extends WorkerTask {
  cancelLease: () => void;
  cancelRun: () => void;
}

/**
 * Creates an empty worker. It starts any task, whatever its capacity. While
 * `failAll()` returns true, each new task fails at once.
 */
export function createWorkerTasks(
  { clock, failAll }: { clock: Clock & Timer; failAll: () => boolean },
): WorkerTasks {
  const running = new Map<string, RunningTask>();
  const records: WorkerRecord[] = [];
  const endings: EndingEvent[] = [];
  const listeners = new Set<() => void>();

  function end(id: string, ending: Ending, cause: string): boolean {
    const task = running.get(id);
    if (!task) return false;
    task.cancelLease();
    task.cancelRun();
    running.delete(id);
    records.push({ task: id, kind: ending, at: clock.now() });
    endings.push({ number: endings.length + 1, task: id, ending, cause });
    [...listeners].forEach((listener) => listener());
    return true;
  }

  /**
   * Schedules the end of a task by its command: `run 1500` finishes and `fail
   * 100` fails after this many milliseconds; any other command does not end by
   * itself.
   */
  function scheduleEnd(id: string, command: string): () => void {
    const [, verb, time] = /^(run|fail) (\d+)$/.exec(command) ?? [];
    if (failAll()) {
      return clock.after(0, () => end(id, "failed", "the worker fails"));
    }
    if (!verb) return () => {};
    const fails = verb === "fail";
    return clock.after(
      Number(time),
      () => end(id, fails ? "failed" : "finished", fails ? "exit 1" : "exit 0"),
    );
  }

  const scheduleLapse = (id: string, leaseMs: Milliseconds) =>
    clock.after(leaseMs, () => end(id, "lapsed", "the lease lapsed"));

  return {
    records,
    endings,
    onEnding(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    list: () =>
      [...running.values()].map((
        { cancelLease: _lease, cancelRun: _run, ...task },
      ) => task),
    start(task) {
      if (running.has(task.id)) return false;
      records.push({ task: task.id, kind: "started", at: clock.now() });
      running.set(task.id, {
        ...task,
        cancelLease: scheduleLapse(task.id, task.leaseMs),
        cancelRun: scheduleEnd(task.id, task.command),
      });
      return true;
    },
    renew(id, leaseMs) {
      const task = running.get(id);
      if (!task) return false;
      task.cancelLease();
      task.leaseMs = leaseMs;
      task.cancelLease = scheduleLapse(id, leaseMs);
      return true;
    },
    checkpoint(id) {
      const task = running.get(id);
      if (task) task.checkpoints++;
      return task !== undefined;
    },
    throttle(id, share) {
      const task = running.get(id);
      if (task) task.share = share;
      return task !== undefined;
    },
    end,
    endAll() {
      for (const id of [...running.keys()]) end(id, "stopped", "shutdown");
    },
  };
}
