/**
 * One incarnation of the stand-in worker: its clock, lease and runs, and what
 * it answers to calls. Nothing of it is left to the next one.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { JsonReply } from "./json_server.ts";
import type { Ending, WorkerRun, WorkObserver } from "./worker_runs.ts";

/** Time between two checks of the runs, in milliseconds. */
export const POLL_INTERVAL = 10;
/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL = 300;
/** Accelerators that the worker announces at first. */
export const ACCELERATORS = 8;
/**
 * Time in milliseconds after which a smaller capacity binds those who start
 * tasks; the bound of the platform and one heartbeat.
 */
const SHRINK_NOTICE = 3000 + HEARTBEAT_INTERVAL;
/**
 * Longest lease in milliseconds of the worker's clock, as `holdMaxMs` in the
 * settings. One that ends later is shortened.
 */
const LONGEST_LEASE = 10_000;

/** Decoded JSON body of a call. */
type Body = Record<string, unknown>;

/** One incarnation of a worker, as createIncarnation returns it. */
export type Incarnation = ReturnType<typeof createIncarnation>;

/** Time in milliseconds that all workers of a process share. */
export const now = () => Math.floor(performance.now());

/** Starts an incarnation that runs nothing. */
export function createIncarnation(fields: {
  id: string;
  observer: WorkObserver;
  /** How fast it runs tasks, for the observer. */
  rate?: number;
  /** Reading of its clock at the start, in milliseconds. */
  clockStart: number;
  /** Rate of its clock, which is 1 for an exact one. */
  clockRate: number;
  /** Called when a run has started, and how many now run. */
  onStart(run: WorkerRun, running: number): void;
  /** Called when a run has ended otherwise than by a crash. */
  onEnd(run: WorkerRun, ending: Ending): void;
}) {
  const { id, observer } = fields;
  const startedAt = now();
  const born = Date.now();
  const running = new Map<string, WorkerRun>();
  /** Highest run number of each task that started or was stopped here. */
  const highest = new Map<string, number>();
  /** Capacities in order, each with the time since when it holds. */
  const capacities = [{ from: now(), accelerators: ACCELERATORS }];
  let unacknowledged: { number: number; run: WorkerRun; ending: Ending }[] = [];
  let endCount = 0;
  /** End of the lease on the worker's clock. */
  let leaseUntil = 0;
  /** Since when it has had a lease without a break, on the shared clock. */
  let leaseSince = 0;
  let fence = 0;
  let sequence = 0;
  let draining = false;

  const clock = () =>
    Math.floor(fields.clockStart + (now() - startedAt) * fields.clockRate);
  const accept = () => ({ status: 200, body: { clockMs: clock() } });
  const refuse = (reason: string) => ({
    status: 409,
    body: { clockMs: clock(), reason },
  });

  function end(run: WorkerRun, ending: Ending): void {
    running.delete(run.task);
    unacknowledged.push({ number: ++endCount, run, ending });
    fields.onEnd(run, ending);
    observer.ended({ worker: id, run, ending });
  }

  /** Ends the runs whose time has come, or all without a lease. */
  function endDueRuns(): void {
    for (const each of [...running.values()]) {
      const ending = clock() >= leaseUntil
        ? "lapsed"
        : observer.endingAt(each, now());
      if (ending) end(each, ending);
    }
  }

  function usedAccelerators(): number {
    let sum = 0;
    for (const { task } of running.values()) sum += observer.accelerators(task);
    return sum;
  }

  /** Most accelerators that the worker has or had a moment ago. */
  function countedCapacity(): number {
    const since = now() - SHRINK_NOTICE;
    const counted = capacities.filter((_, index) =>
      index === capacities.length - 1 || capacities[index + 1]!.from > since
    );
    return Math.max(...counted.map(({ accelerators }) => accelerators));
  }

  function extendLease(until: number): void {
    const latest = clock() + LONGEST_LEASE;
    if (clock() >= leaseUntil) leaseSince = now();
    leaseUntil = Math.max(leaseUntil, Math.min(until, latest));
  }

  function start(body: Body): JsonReply {
    const task = String(body.task);
    const run = Number(body.run);
    if (Number(body.untilMs) <= clock()) return refuse("late");
    extendLease(Number(body.untilMs));
    if (running.get(task)?.run === run) return accept();
    if ((highest.get(task) ?? 0) >= run) return refuse("old");
    highest.set(task, run);
    const started = { task, run, startedAt: now(), rate: fields.rate };
    running.set(task, started);
    fields.onStart(started, running.size);
    const used = usedAccelerators();
    const capacity = countedCapacity();
    observer.started({ worker: id, run: started, used, capacity });
    return accept();
  }

  function stop(body: Body): JsonReply {
    const task = String(body.task);
    const run = Number(body.run);
    highest.set(task, Math.max(highest.get(task) ?? 0, run));
    const present = running.get(task);
    if (present && present.run <= run) end(present, "stopped");
    return accept();
  }

  async function hold(body: Body): Promise<JsonReply> {
    extendLease(Number(body.untilMs ?? 0));
    const seen = Number(body.lastSeen);
    for (const each of unacknowledged) {
      if (each.number <= seen) observer.acknowledged(each);
    }
    unacknowledged = unacknowledged.filter(({ number }) => number > seen);
    const limit = clock() + Number(body.waitMs ?? 0);
    while (unacknowledged.length === 0 && clock() < limit) {
      await sleep(POLL_INTERVAL);
    }
    return {
      status: 200,
      body: {
        clockMs: clock(),
        born,
        running: [...running.values()].map((each) => {
          const percent = observer.percentAt?.(each, now()) ?? 0;
          return [each.task, each.run, "", Math.floor(percent)];
        }),
        ended: unacknowledged.map(({ number, run, ending }) => {
          return [number, run.task, run.run, ending, ""];
        }),
      },
    };
  }

  return {
    id,
    /** Carries out a call to this id, unless its fencing token is too low. */
    handle(path: string, body: Body): Promise<JsonReply> | JsonReply {
      if (Number(body.fencingToken) < fence) return refuse("fence");
      fence = Number(body.fencingToken);
      if (path === "/run-start") return start(body);
      return path === "/run-stop" ? stop(body) : hold(body);
    },
    /** What its next heartbeat says of itself. */
    announce: () => ({
      version: "v1",
      slots: ACCELERATORS,
      state: draining ? "draining" : "ready",
      capacity: {
        cpu: 32_000,
        memMb: 131_072,
        gpu: capacities.at(-1)!.accelerators,
      },
      labels: ["a", "r1-1"],
      born,
      clockMs: clock(),
      sequence: ++sequence,
    }),
    endDueRuns,
    usedAccelerators,
    listRuns: () => [...running.values()],
    /** Whether it has had a lease since that time on the shared clock. */
    hasLease: (since: number) => clock() < leaseUntil && leaseSince <= since,
    resize: (accelerators: number) =>
      void capacities.push({ from: now(), accelerators }),
    drain: () => void (draining = true),
    /** Loses all runs; nobody learns of their ends from the worker. */
    crash(): void {
      const lost = [...running.values()];
      running.clear();
      for (const run of lost) {
        observer.ended({ worker: id, run, ending: "lapsed" });
      }
    },
  };
}
