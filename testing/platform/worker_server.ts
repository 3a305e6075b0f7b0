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
const POLL = 10;
const ACCELERATORS = 8;

interface Running {
  task: string;
  run: number;
  until: number;
}

/** What a worker did, for checks. */
export interface WorkerServer {
  address: string;
  /** Runs that were started, as "task#run". */
  readonly started: string[];
  /** Tasks that ended as done. */
  readonly done: string[];
  /** Most tasks at one time. */
  most(): number;
  /** Sends heartbeats to the agent at this address. */
  announce(agent: string): void;
  stop(): Promise<void>;
}

/** Starts a worker whose tasks take `duration` milliseconds. */
export async function startWorker(
  fields: { id: string; service: string; duration: number },
): Promise<WorkerServer> {
  const born = Date.now();
  const running = new Map<string, Running>();
  const highest = new Map<string, number>();
  const started: string[] = [];
  const done: string[] = [];
  let ended: [number, string, number, string, string][] = [];
  let number = 0;
  let most = 0;
  let leaseUntil = 0;
  let fence = 0;
  let sequence = 0;
  let heartbeat: NodeJS.Timeout | undefined;
  const clock = () => Math.floor(performance.now());

  function end(each: Running, how: string): void {
    running.delete(each.task);
    ended.push([++number, each.task, each.run, how, ""]);
    if (how === "done") done.push(each.task);
  }

  const ticking = setInterval(() => {
    for (const each of [...running.values()]) {
      if (clock() >= leaseUntil) end(each, "lapsed");
      else if (clock() >= each.until) end(each, "done");
    }
  }, POLL);

  function start(body: Record<string, unknown>): JsonReply {
    const task = String(body.task);
    const run = Number(body.run);
    if (Number(body.untilMs) <= clock()) return refuse("late");
    leaseUntil = Math.max(leaseUntil, Number(body.untilMs));
    if (running.get(task)?.run === run) return accept();
    if ((highest.get(task) ?? 0) >= run) return refuse("old");
    if (running.size >= ACCELERATORS) return refuse("room");
    highest.set(task, run);
    running.set(task, { task, run, until: clock() + fields.duration });
    started.push(`${task}#${run}`);
    most = Math.max(most, running.size);
    return accept();
  }

  function stop(body: Record<string, unknown>): JsonReply {
    const task = String(body.task);
    highest.set(task, Math.max(highest.get(task) ?? 0, Number(body.run)));
    const present = running.get(task);
    if (present && present.run <= Number(body.run)) end(present, "stopped");
    return accept();
  }

  async function hold(body: Record<string, unknown>): Promise<JsonReply> {
    leaseUntil = Math.max(leaseUntil, Number(body.untilMs ?? 0));
    ended = ended.filter(([each]) => each > Number(body.lastSeen));
    const limit = clock() + Number(body.waitMs ?? 0);
    while (ended.length === 0 && clock() < limit) {
      await new Promise((resolve) => setTimeout(resolve, POLL));
    }
    const rows = [...running.values()].map((
      { task, run },
    ) => [task, run, "", 0]);
    return {
      status: 200,
      body: { clockMs: clock(), born, running: rows, ended },
    };
  }

  const accept = () => ({ status: 200, body: { clockMs: clock() } });
  const refuse = (reason: string) => ({
    status: 409,
    body: { clockMs: clock(), reason },
  });

  function handle({ path, body }: JsonCall): Promise<JsonReply> | JsonReply {
    if (Number(body.fencingToken) < fence) return refuse("fence");
    fence = Number(body.fencingToken);
    if (path === "/run-start") return start(body);
    return path === "/run-stop" ? stop(body) : hold(body);
  }

  const server = await startJsonServer(handle);

  function announce(agent: string): void {
    const [host, port] = agent.split(":");
    const send = () => {
      const call = request({
        host,
        port,
        method: "PUT",
        path: `/instances/${fields.id}`,
      }, (response) => response.resume());
      // The agent may be down just now; the next heartbeat follows.
      call.on("error", () => {});
      call.end(JSON.stringify({
        service: fields.service,
        address: server.address,
        zone: "zone-a",
        version: "v1",
        slots: ACCELERATORS,
        state: "ready",
        capacity: { cpu: 32_000, memMb: 131_072, gpu: ACCELERATORS },
        labels: ["a", "r1-1"],
        born,
        clockMs: clock(),
        sequence: ++sequence,
      }));
    };
    send();
    heartbeat = setInterval(send, HEARTBEAT_INTERVAL);
  }

  return {
    address: server.address,
    started,
    done,
    most: () => most,
    announce,
    stop: () => {
      clearInterval(ticking);
      clearInterval(heartbeat);
      return server.stop();
    },
  };
}
