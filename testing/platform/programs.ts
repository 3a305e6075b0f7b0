/**
 * Starts entries and agents as real processes, with stand-ins of the store and
 * the workers and with relays between them.
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
import {
  createConfiguration,
  QUEUE_HOST,
  SERVICE,
  TEAM_KEY,
} from "./configuration.ts";
import { HOST } from "./json_server.ts";
import { startStore } from "./store_server.ts";
import type { StoreServer } from "./store_server.ts";
import { startWorker } from "./worker_server.ts";
import type { WorkerServer, WorkObserver } from "./worker_server.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
/** Failure domain of the programs unless a test names others. */
const ZONE = "zone-a";
/** Log lines that are kept for each process by default. */
const DEFAULT_KEPT_LINES = 400;
/** Time for which each process or stand-in may take to stop, in ms. */
const STOP_TIMEOUT = 10_000;
/** Timeout of calls in milliseconds, longer than callers wait by default. */
const CALL_TIMEOUT = 10_000;

/** Answer of an entry; status 0 means that there was none. */
export interface CallAnswer {
  status: number;
  body: string;
}

/** A program under test, which keeps its name and addresses over restarts. */
export interface ProgramProcess {
  name: string;
  /** Where callers reach the program, as "host:port". */
  callerAddress: string;
  /** Where the platform checks readiness, as "host:port". */
  readinessAddress: string;
  /** Where an agent takes heartbeats, as "host:port". */
  heartbeatAddress: string;
  /** Where other processes open links, without a relay, as "host:port". */
  linkAddress: string;
  /** The process that was started last. */
  child: ChildProcess;
  /** Where metrics are served, as "host:port". */
  metricsAddress: string;
  /** The last lines of the log, of all starts. */
  lines: string[];
  relays: ProcessRelays;
  /** Starts the program again, after `child` has ended. */
  start(): void;
}

/** Relays on the connections of one program. */
export interface ProcessRelays {
  /** Calls of the program to the store. */
  store: Relay;
  /** Links from other programs to this one. */
  links: Relay;
  /** Calls of an agent to its worker; entries have none. */
  worker?: Relay;
}

/** The running programs and their stand-ins. */
export interface Programs {
  store: StoreServer;
  workers: WorkerServer[];
  entries: ProgramProcess[];
  agents: ProgramProcess[];
  /**
   * Calls an entry; a failure gives status 0. The API key is that of the team
   * with a guarantee unless another one is given.
   */
  call(
    entry: ProgramProcess,
    method: string,
    path: string,
    body?: unknown,
    key?: string,
  ): Promise<CallAnswer>;
  /** Kills all programs and stops the stand-ins; fails if one goes on. */
  stop(): Promise<void>;
}

/**
 * Starts the given numbers of entries and agents, each agent with a worker.
 * Returns once they are started, which is before they answer. The caller has to
 * call `stop`.
 */
export async function startPrograms(fields: {
  entries: number;
  agents: number;
  /** Failure domain of each agent, by its index; all in one by default. */
  zones?: string[];
  /** How fast each worker runs tasks, by its index; 1 by default. */
  rates?: number[];
  /** Rate of each worker's clock, by its index; 1 by default. */
  clockRates?: number[];
  /** Milliseconds for which each task runs, unless there is an observer. */
  duration: number;
  /** Log lines that are kept for each program. */
  linesKept?: number;
  /** File descriptor to which the programs write logs instead of `lines`. */
  output?: number;
  /** Determines how runs end in place of `duration`. */
  observer?: WorkObserver;
  /** Called when a process of a program has ended. */
  onExit?: (ended: ProgramProcess) => void;
  /** Draws the store's faults, 0 to 1; Math.random by default. */
  random?: () => number;
  /** Further lines of the settings files. */
  settings?: string[];
  /** Arguments of Node for each program. */
  nodeArguments?: Record<"entry" | "agent", string[]>;
}): Promise<Programs> {
  const directory = mkdtempSync(join(tmpdir(), "dragonflyledge-"));
  // Each call bundles into a directory of its own: tests that run at the same
  // time must not share the files.
  const bundle = [join(ROOT, "scripts/bundle.mjs"), directory];
  execFileSync(process.execPath, bundle);
  const store = await startStore({ random: fields.random });
  store.put("op/config", createConfiguration(1));
  const linesKept = fields.linesKept ?? DEFAULT_KEPT_LINES;
  const workers: WorkerServer[] = [];
  const processes: ProgramProcess[] = [];

  async function createProcess(
    program: "entry" | "agent",
    index: number,
    worker?: WorkerServer,
  ): Promise<ProgramProcess> {
    const caller = await findFreePort(HOST);
    const ready = await findFreePort(HOST);
    const heartbeats = await findFreePort(HOST);
    const link = await findFreePort(HOST);
    const metrics = await findFreePort(HOST);
    const name = `${program}-${index}`;
    const path = join(directory, `${name}.conf`);
    const relays: ProcessRelays = {
      store: await createRelay({ target: { port: parsePort(store.address) } }),
      links: await createRelay({ target: { port: link } }),
    };
    if (worker) {
      const port = parsePort(worker.address);
      relays.worker = await createRelay({ target: { port } });
    }
    const addressOf = (relay?: Relay) => relay ? `${HOST}:${relay.port}` : "";
    store.relayedAddresses.set(`${HOST}:${link}`, addressOf(relays.links));
    writeFileSync(
      path,
      [
        `nodeName=${name}`,
        `ip=${HOST}`,
        `zone=${program === "agent" ? fields.zones?.[index] ?? ZONE : ZONE}`,
        `listenAddresses.frontend=${HOST}:${caller}`,
        `listenAddresses.readiness=${HOST}:${ready}`,
        `listenAddresses.controlPlane=${HOST}:${heartbeats}`,
        `internalPorts=${link},${link + 1}`,
        `platform.address=${addressOf(relays.store)}`,
        `app=${addressOf(relays.worker)}`,
        ...(fields.settings ?? []),
      ].join("\n"),
    );
    const created = {
      name,
      callerAddress: `${HOST}:${caller}`,
      readinessAddress: `${HOST}:${ready}`,
      heartbeatAddress: `${HOST}:${heartbeats}`,
      linkAddress: `${HOST}:${link}`,
      metricsAddress: `${HOST}:${metrics}`,
      lines: [] as string[],
      relays,
      start: () => {
        created.child = spawn(process.execPath, [
          ...(fields.nodeArguments?.[program] ?? []),
          join(directory, `${program}.cjs`),
          "--metrics",
          `${metrics}/metrics`,
        ], {
          cwd: ROOT,
          env: { PATH: process.env["PATH"], DRAGONFLYLEDGE_SETTINGS: path },
          stdio: ["ignore", fields.output ?? "pipe", "inherit"],
        });
        const { child } = created;
        child.once("exit", () => fields.onExit?.(created));
        child.stdout?.on("data", (chunk) => {
          created.lines.push(...String(chunk).split("\n"));
          created.lines.splice(0, created.lines.length - linesKept);
        });
      },
    } as ProgramProcess;
    created.start();
    processes.push(created);
    const agent = `${HOST}:${heartbeats}`;
    worker?.startHeartbeats({ agent, address: addressOf(relays.worker) });
    return created;
  }

  const entries: ProgramProcess[] = [];
  const agents: ProgramProcess[] = [];
  for (let index = 0; index < fields.entries; index++) {
    entries.push(await createProcess("entry", index));
  }
  for (let index = 0; index < fields.agents; index++) {
    const worker = await startWorker({
      id: `i-${index}`,
      service: SERVICE,
      duration: fields.duration,
      rate: fields.rates?.[index],
      clockRate: fields.clockRates?.[index],
      observer: fields.observer,
    });
    workers.push(worker);
    agents.push(await createProcess("agent", index, worker));
  }

  return {
    store,
    workers,
    entries,
    agents,
    call,
    stop: async () => {
      for (const { name, child } of processes) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        const ended = once(child, "exit");
        child.kill("SIGKILL");
        await awaitStop(`process ${name}`, ended);
      }
      for (const { name, relays } of processes) {
        const stopped = Object.values(relays).map((relay) => relay.stop());
        await awaitStop(`the relays of ${name}`, Promise.all(stopped));
      }
      for (const worker of workers) await awaitStop("a worker", worker.stop());
      await awaitStop("the store", store.stop());
      rmSync(directory, { recursive: true });
    },
  };
}

/** Waits until `done`; fails after STOP_TIMEOUT, naming what did not stop. */
async function awaitStop(what: string, done: Promise<unknown>): Promise<void> {
  let timeout: NodeJS.Timeout | undefined;
  const late = new Promise((_, reject) => {
    timeout = setTimeout(
      () => reject(new Error(`${what} did not stop in ${STOP_TIMEOUT} ms`)),
      STOP_TIMEOUT,
    );
  });
  await Promise.race([done, late]).finally(() => clearTimeout(timeout));
}

async function call(
  entry: ProgramProcess,
  method: string,
  path: string,
  body?: unknown,
  key = TEAM_KEY,
): Promise<CallAnswer> {
  const { request } = await import("node:http");
  const [host, port] = entry.callerAddress.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      headers: { host: QUEUE_HOST, "x-api-key": key },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on(
        "end",
        () => resolve({ status: response.statusCode ?? 0, body: text }),
      );
    });
    outgoing.on("error", () => resolve({ status: 0, body: "" }));
    outgoing.setTimeout(CALL_TIMEOUT, () => outgoing.destroy());
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function parsePort(address: string): number {
  return Number(address.split(":")[1]);
}
