/**
 * Stand-in of a worker with its heartbeats.
 *
 * @module
 */

import { request } from "node:http";
import { performance } from "node:perf_hooks";
import { startJsonServer } from "./json_server.ts";
import type { JsonCall, JsonReply } from "./json_server.ts";

const HEARTBEAT_INTERVAL = 300;
const POLL_INTERVAL = 10;
const ACCELERATORS = 8;

/** A run on a worker. */
export interface WorkerRun {
  task: string;
  run: number;
  startedAt: number;
}

/** How a run ends at its worker. */
export type Ending =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone";

/** What tasks need and do, and who is told of it. */
export interface WorkObserver {
  /** Accelerators of a task. */
  accelerators(task: string): number;
  /** How a run ends now; undefined while it goes on. */
  endingAt(run: WorkerRun, now: number): Ending | undefined;
  started(fields: { worker: string; run: WorkerRun; used: number }): void;
  ended(fields: { worker: string; run: WorkerRun; ending: Ending }): void;
  /** The worker was told that this end may be forgotten. */
  acknowledged(fields: { run: WorkerRun; ending: Ending }): void;
}

/** What a worker did, for checks. */
export interface WorkerServer {
  address: string;
  /** Runs that were started, as "task#run". */
  readonly started: string[];
  /** Tasks that ended as done. */
  readonly done: string[];
  /** Runs that are present now. */
  listRuns(): WorkerRun[];
  /** Accelerators in use now. */
  usedAccelerators(): number;
  /** Most tasks at one time. */
  maxRunning(): number;
  /** Sends heartbeats to the agent, from `address` if a relay is between. */
  startHeartbeats(agent: string): void;
  /** Loses everything and comes back as another incarnation. */
  crash(): void;
  /** Says that it leaves, until the next crash. */
  drain(): void;
  stop(): Promise<void>;
}

/** Starts a worker whose tasks take `duration` milliseconds. */
export async function startWorker(
  fields: {
    id: string;
    service: string;
    duration: number;
    observer?: WorkObserver;
  },
): Promise<WorkerServer> {
  const observer = fields.observer ?? observeFixedDuration(fields.duration);
  const started: string[] = [];
  const done: string[] = [];
  let life = createLife(1);
  let most = 0;
  let heartbeat: NodeJS.Timeout | undefined;
  const clock = () => Math.floor(performance.now());

  function end(run: WorkerRun, ending: Ending): void {
    life.running.delete(run.task);
    life.ended.push({ number: ++life.number, run, ending });
    if (ending === "done") done.push(run.task);
    observer.ended({ worker: life.id, run, ending });
  }

  const ticking = setInterval(() => {
    for (const each of [...life.running.values()]) {
      if (clock() >= life.leaseUntil) end(each, "lapsed");
      else {
        const ending = observer.endingAt(each, clock());
        if (ending) end(each, ending);
      }
    }
  }, POLL_INTERVAL);

  function used(): number {
    let sum = 0;
    for (const { task } of life.running.values()) {
      sum += observer.accelerators(task);
    }
    return sum;
  }

  function start(body: Record<string, unknown>): JsonReply {
    const task = String(body.task);
    const run = Number(body.run);
    if (Number(body.untilMs) <= clock()) return refuse("late");
    life.leaseUntil = Math.max(life.leaseUntil, Number(body.untilMs));
    if (life.running.get(task)?.run === run) return accept();
    if ((life.highest.get(task) ?? 0) >= run) return refuse("old");
    life.highest.set(task, run);
    const one = { task, run, startedAt: clock() };
    life.running.set(task, one);
    started.push(`${task}#${run}`);
    most = Math.max(most, life.running.size);
    observer.started({ worker: life.id, run: one, used: used() });
    return accept();
  }

  function stop(body: Record<string, unknown>): JsonReply {
    const task = String(body.task);
    const run = Number(body.run);
    const { highest, running } = life;
    highest.set(task, Math.max(highest.get(task) ?? 0, run));
    const present = running.get(task);
    if (present && present.run <= run) end(present, "stopped");
    return accept();
  }

  async function hold(body: Record<string, unknown>): Promise<JsonReply> {
    const own = life;
    own.leaseUntil = Math.max(own.leaseUntil, Number(body.untilMs ?? 0));
    const seen = Number(body.lastSeen);
    for (const each of own.ended) {
      if (each.number <= seen) observer.acknowledged(each);
    }
    own.ended = own.ended.filter(({ number }) => number > seen);
    const limit = clock() + Number(body.waitMs ?? 0);
    while (own.ended.length === 0 && clock() < limit) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
    }
    return {
      status: 200,
      body: {
        clockMs: clock(),
        born: own.born,
        running: [...own.running.values()].map(({ task, run }) => {
          return [task, run, "", 0];
        }),
        ended: own.ended.map(({ number, run, ending }) => {
          return [number, run.task, run.run, ending, ""];
        }),
      },
    };
  }

  const accept = () => ({ status: 200, body: { clockMs: clock() } });
  const refuse = (reason: string) => ({
    status: 409,
    body: { clockMs: clock(), reason },
  });

  async function handle(
    { path, body, headers }: JsonCall,
  ): Promise<JsonReply> {
    const own = life;
    if (headers["expected-instance"] !== own.id) return { status: 421 };
    if (Number(body.fencingToken) < own.fence) return refuse("fence");
    own.fence = Number(body.fencingToken);
    if (path === "/run-start") return start(body);
    const reply = path === "/run-stop" ? stop(body) : await hold(body);
    // A worker that crashed meanwhile answers nothing.
    return own === life ? reply : undefined;
  }

  const server = await startJsonServer(handle);

  function createLife(count: number) {
    return {
      id: `${fields.id}-${count}`,
      count,
      born: Date.now(),
      running: new Map<string, WorkerRun>(),
      highest: new Map<string, number>(),
      ended: [] as { number: number; run: WorkerRun; ending: Ending }[],
      number: 0,
      leaseUntil: 0,
      fence: 0,
      sequence: 0,
      draining: false,
    };
  }

  function announce(agent: string): void {
    const [host, port] = agent.split(":");
    const send = () => {
      const call = request({
        host,
        port,
        method: "PUT",
        path: `/instances/${life.id}`,
      }, (response) => response.resume());
      // The agent may be down just now; the next heartbeat follows.
      call.on("error", () => {});
      call.end(JSON.stringify({
        service: fields.service,
        address: server.address,
        zone: "zone-a",
        version: "v1",
        slots: ACCELERATORS,
        state: life.draining ? "draining" : "ready",
        capacity: { cpu: 32_000, memMb: 131_072, gpu: ACCELERATORS },
        labels: ["a", "r1-1"],
        born: life.born,
        clockMs: clock(),
        sequence: ++life.sequence,
      }));
    };
    send();
    heartbeat = setInterval(send, HEARTBEAT_INTERVAL);
  }

  return {
    address: server.address,
    started,
    done,
    listRuns: () => [...life.running.values()],
    usedAccelerators: used,
    maxRunning: () => most,
    startHeartbeats: announce,
    crash: () => {
      const former = life;
      life = createLife(former.count + 1);
      server.cut();
      for (const run of former.running.values()) {
        observer.ended({ worker: former.id, run, ending: "lapsed" });
      }
    },
    drain: () => {
      life.draining = true;
    },
    stop: () => {
      clearInterval(ticking);
      clearInterval(heartbeat);
      return server.stop();
    },
  };
}

function observeFixedDuration(duration: number): WorkObserver {
  return {
    accelerators: () => 1,
    endingAt: ({ startedAt }, now) =>
      now >= startedAt + duration ? "done" : undefined,
    started: () => {},
    ended: () => {},
    acknowledged: () => {},
  };
}
