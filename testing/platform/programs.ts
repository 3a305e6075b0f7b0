/**
 * The real programs as processes, with stand-ins of store and workers.
 *
 * @module
 */

import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { createRelay, findFreePort } from "@dragonflyledge/fakes";
import type { Relay } from "@dragonflyledge/fakes";
import { HOST } from "./json_server.ts";
import { startStore } from "./store_server.ts";
import type { StoreServer } from "./store_server.ts";
import { startWorker } from "./worker_server.ts";
import type { WorkerServer, WorkObserver } from "./worker_server.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const SERVICE = "planning";
export const QUEUE_HOST = "jobs.example";
const LINES_KEPT = 400;
const STOP_LIMIT = 10_000;
/** Longer than callers wait by default. */
const CALL_LIMIT = 10_000;
/** Failures after which a job of the configured queues fails. */
export const MAX_ATTEMPTS = 3;

/** Answer of an entry; status 0 stands for none. */
export interface CallAnswer {
  status: number;
  body: string;
}

/** One process over all of its restarts. */
export interface Seat {
  name: string;
  callerAddress: string;
  child: ChildProcess;
  metricsAddress: string;
  /** The last lines of its log. */
  lines: string[];
  relays: SeatRelays;
  start(): void;
}

/** Relays on the connections of one process. */
export interface SeatRelays {
  store: Relay;
  /** Links of other processes to this one. */
  links: Relay;
  /** Calls of an agent to its worker. */
  worker?: Relay;
}

/** Running programs. */
export interface Programs {
  store: StoreServer;
  workers: WorkerServer[];
  entries: Seat[];
  agents: Seat[];
  call(entry: Seat, method: string, path: string, body?: unknown): Promise<
    CallAnswer
  >;
  stop(): Promise<void>;
}

/** Starts entries and agents, each agent with a worker. */
export async function startPrograms(fields: {
  entries: number;
  agents: number;
  duration: number;
  /** Lines of each log that are kept. */
  linesKept?: number;
  /** Where the programs write their logs, in place of `lines`. */
  output?: number;
  observer?: WorkObserver;
  onExit?: (seat: Seat) => void;
  random?: () => number;
}): Promise<Programs> {
  const directory = mkdtempSync(join(tmpdir(), "dragonflyledge-"));
  // Tests that run at the same time must not share the files.
  const bundle = [join(ROOT, "scripts/bundle.mjs"), directory];
  execFileSync(process.execPath, bundle);
  const store = await startStore({ random: fields.random });
  store.put("op/config", createConfiguration(1));
  const linesKept = fields.linesKept ?? LINES_KEPT;
  const workers: WorkerServer[] = [];
  const seats: Seat[] = [];

  async function createSeat(
    program: "entry" | "agent",
    index: number,
    worker?: WorkerServer,
  ): Promise<Seat> {
    const caller = await findFreePort(HOST);
    const ready = await findFreePort(HOST);
    const heartbeats = await findFreePort(HOST);
    const link = await findFreePort(HOST);
    const metrics = await findFreePort(HOST);
    const name = `${program}-${index}`;
    const path = join(directory, `${name}.conf`);
    const relays: SeatRelays = {
      store: await createRelay({ target: { port: portOf(store.address) } }),
      links: await createRelay({ target: { port: link } }),
    };
    if (worker) {
      const port = portOf(worker.address);
      relays.worker = await createRelay({ target: { port } });
    }
    const addressOf = (relay?: Relay) => relay ? `${HOST}:${relay.port}` : "";
    store.relayed.set(`${HOST}:${link}`, addressOf(relays.links));
    writeFileSync(
      path,
      [
        `nodeName=${name}`,
        `ip=${HOST}`,
        "zone=zone-a",
        `listenAddresses.frontend=${HOST}:${caller}`,
        `listenAddresses.readiness=${HOST}:${ready}`,
        `listenAddresses.controlPlane=${HOST}:${heartbeats}`,
        `internalPorts=${link},${link + 1}`,
        `platform.address=${addressOf(relays.store)}`,
        `app=${addressOf(relays.worker)}`,
      ].join("\n"),
    );
    const seat = {
      name,
      callerAddress: `${HOST}:${caller}`,
      metricsAddress: `${HOST}:${metrics}`,
      lines: [] as string[],
      relays,
      start: () => {
        seat.child = spawn(process.execPath, [
          join(directory, `${program}.cjs`),
          "--metrics",
          `${metrics}/metrics`,
        ], {
          cwd: ROOT,
          env: { PATH: process.env["PATH"], DRAGONFLYLEDGE_SETTINGS: path },
          stdio: ["ignore", fields.output ?? "pipe", "inherit"],
        });
        const { child } = seat;
        child.once("exit", () => fields.onExit?.(seat));
        child.stdout?.on("data", (chunk) => {
          seat.lines.push(...String(chunk).split("\n"));
          seat.lines.splice(0, seat.lines.length - linesKept);
        });
      },
    } as Seat;
    seat.start();
    seats.push(seat);
    worker?.announce(`${HOST}:${heartbeats}`);
    return seat;
  }

  const entries: Seat[] = [];
  const agents: Seat[] = [];
  for (let index = 0; index < fields.entries; index++) {
    entries.push(await createSeat("entry", index));
  }
  for (let index = 0; index < fields.agents; index++) {
    const worker = await startWorker({
      id: `i-${index}`,
      service: SERVICE,
      duration: fields.duration,
      observer: fields.observer,
    });
    workers.push(worker);
    agents.push(await createSeat("agent", index, worker));
  }

  return {
    store,
    workers,
    entries,
    agents,
    call,
    stop: async () => {
      for (const { name, child } of seats) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        const ended = once(child, "exit");
        child.kill("SIGKILL");
        await within(`the end of ${name}`, ended);
      }
      for (const { name, relays } of seats) {
        const stopped = Object.values(relays).map((relay) => relay.stop());
        await within(`the relays of ${name}`, Promise.all(stopped));
      }
      for (const worker of workers) await within("a worker", worker.stop());
      await within("the store", store.stop());
      rmSync(directory, { recursive: true });
    },
  };
}

/** Fails with what was awaited, so that no test waits without end. */
async function within(what: string, done: Promise<unknown>): Promise<void> {
  let timeout: NodeJS.Timeout | undefined;
  const late = new Promise((_, reject) => {
    timeout = setTimeout(
      () => reject(new Error(`not stopped within ${STOP_LIMIT} ms: ${what}`)),
      STOP_LIMIT,
    );
  });
  await Promise.race([done, late]).finally(() => clearTimeout(timeout));
}

async function call(
  entry: Seat,
  method: string,
  path: string,
  body?: unknown,
): Promise<CallAnswer> {
  const { request } = await import("node:http");
  const [host, port] = entry.callerAddress.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      headers: { host: QUEUE_HOST, "x-api-key": "key-1" },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on(
        "end",
        () => resolve({ status: response.statusCode ?? 0, body: text }),
      );
    });
    outgoing.on("error", () => resolve({ status: 0, body: "" }));
    outgoing.setTimeout(CALL_LIMIT, () => outgoing.destroy());
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** A configuration with a queue that only this version has. */
export function createConfiguration(version: number) {
  const queue = {
    host: QUEUE_HOST,
    service: SERVICE,
    priority: 1,
    maxAttempts: MAX_ATTEMPTS,
  };
  return {
    version,
    routes: [
      { ...queue, name: "plans", prefix: "/plans/", priority: 0 },
      { ...queue, name: "batch", prefix: "/batch/" },
      { ...queue, name: `v${version}`, prefix: `/v${version}/` },
    ],
    services: [{ name: SERVICE }],
    limits: {},
    tenants: [{ name: "team", apiKeys: ["key-1"], guaranteed: { gpu: 8 } }],
  };
}

function portOf(address: string): number {
  return Number(address.split(":")[1]);
}
