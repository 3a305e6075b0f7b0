/**
 * Tasks of the worker stand-in: run times, leases and endings.
 *
 * @module
 */

import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";

/** How a task ended. `lapsed` means that its lease ran out. */
export type Ending = "finished" | "failed" | "stopped" | "lapsed";

/** One task as its caller described it. */
export interface WorkerTask {
  id: string;
  /** The member's report, returned as given. */
  report: unknown;
  perMember: { accelerators: number; cores: number; memoryMiB: number };
  command: string;
  leaseMs: Milliseconds;
  share: number;
  checkpoints: number;
}

/** A start or an end, for tests. */
export interface WorkerRecord {
  task: string;
  kind: "started" | Ending;
  at: Milliseconds;
}

/** Ending as the event stream tells it. */
export interface EndingEvent {
  number: number;
  task: string;
  ending: Ending;
  cause: string;
}

/** Tasks of one worker. */
export interface WorkerTasks {
  readonly records: WorkerRecord[];
  readonly endings: EndingEvent[];
  /** Adds a listener for each ending. */
  onEnding(listener: () => void): () => void;
  list(): WorkerTask[];
  /** False if a task with this id runs already. */
  start(task: WorkerTask): boolean;
  renew(id: string, leaseMs: Milliseconds): boolean;
  checkpoint(id: string): boolean;
  throttle(id: string, share: number): boolean;
  end(id: string, ending: Ending, cause: string): boolean;
  endAll(): void;
}

interface RunningTask extends WorkerTask {
  cancelLease: () => void;
  cancelRun: () => void;
}

/** Returns an empty worker. It checks no capacity: it starts what it is given. */
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

  /** Applies the command: "run 1500", "fail 100", or "forever". */
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
