/**
 * The real programs as processes, with stand-ins of store and workers.
 *
 * @module
 */

import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { HOST } from "./json_server.ts";
import { startStore } from "./store_server.ts";
import type { StoreServer } from "./store_server.ts";
import { startWorker } from "./worker_server.ts";
import type { WorkerServer } from "./worker_server.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const SERVICE = "planning";
const QUEUE_HOST = "jobs.example";
const LINES_KEPT = 400;

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
  /** The last lines of its log. */
  lines: string[];
  start(): void;
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
}): Promise<Programs> {
  execFileSync(process.execPath, [join(ROOT, "scripts/bundle.mjs")]);
  const directory = mkdtempSync(join(tmpdir(), "dragonflyledge-"));
  const store = await startStore();
  store.put("op/config", CONFIGURATION);
  const workers: WorkerServer[] = [];
  const seats: Seat[] = [];

  async function createSeat(
    program: "entry" | "agent",
    index: number,
    app = "",
  ): Promise<{ seat: Seat; heartbeats: string }> {
    const [caller, ready, heartbeats, link] = await findPorts(4);
    const name = `${program}-${index}`;
    const path = join(directory, `${name}.conf`);
    writeFileSync(
      path,
      [
        `nodeName=${name}`,
        `ip=${HOST}`,
        "zone=zone-a",
        `listenAddresses.frontend=${HOST}:${caller}`,
        `listenAddresses.readiness=${HOST}:${ready}`,
        `listenAddresses.controlPlane=${HOST}:${heartbeats}`,
        `internalPorts=${link},${link! + 1}`,
        `platform.address=${store.address}`,
        `app=${app}`,
      ].join("\n"),
    );
    const seat = {
      name,
      callerAddress: `${HOST}:${caller}`,
      lines: [] as string[],
      start: () => {
        seat.child = spawn(process.execPath, [`target/${program}.cjs`], {
          cwd: ROOT,
          env: { PATH: process.env["PATH"], DRAGONFLYLEDGE_SETTINGS: path },
          stdio: ["ignore", "pipe", "inherit"],
        });
        seat.child.stdout?.on("data", (chunk) => {
          seat.lines.push(...String(chunk).split("\n"));
          seat.lines.splice(0, seat.lines.length - LINES_KEPT);
        });
      },
    } as Seat;
    seat.start();
    seats.push(seat);
    return { seat, heartbeats: `${HOST}:${heartbeats}` };
  }

  const entries: Seat[] = [];
  const agents: Seat[] = [];
  for (let index = 0; index < fields.entries; index++) {
    entries.push((await createSeat("entry", index)).seat);
  }
  for (let index = 0; index < fields.agents; index++) {
    const worker = await startWorker({
      id: `i-${index}`,
      service: SERVICE,
      duration: fields.duration,
    });
    const { seat, heartbeats } = await createSeat(
      "agent",
      index,
      worker.address,
    );
    worker.announce(heartbeats);
    workers.push(worker);
    agents.push(seat);
  }

  return {
    store,
    workers,
    entries,
    agents,
    call,
    stop: async () => {
      for (const { child } of seats) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        child.kill("SIGKILL");
        await once(child, "exit");
      }
      for (const worker of workers) await worker.stop();
      await store.stop();
      rmSync(directory, { recursive: true });
    },
  };
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
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "plans",
    host: QUEUE_HOST,
    prefix: "/plans/",
    service: SERVICE,
    priority: 0,
    maxAttempts: 3,
  }],
  services: [{ name: SERVICE }],
  limits: {},
  tenants: [{ name: "team", apiKeys: ["key-1"], guaranteed: { gpu: 8 } }],
};

async function findPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    ports.push((server.address() as AddressInfo).port);
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }
  return ports;
}
