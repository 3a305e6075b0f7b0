/**
 * Entries and agents as processes, with stand-ins for the platform that run
 * inside the test.
 *
 * @module
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { EXAMPLES } from "@dragonflyledge/cli/dev";
import { tokenDigest } from "@dragonflyledge/declare";
import {
  createEndpointServer,
  createEtcdServer,
  createMemoryStore,
  createRelay,
  createSystemTimer,
  createWorkerServer,
  findPort,
} from "@dragonflyledge/fakes";
import type {
  EndpointServer,
  Relay,
  WorkerServer,
} from "@dragonflyledge/fakes";
import type { Configuration } from "@dragonflyledge/model";
import { startProcess } from "./daemon_process.ts";
import type { DaemonProcess, Ending } from "./daemon_process.ts";
import { waitUntil } from "./wait.ts";

const HOST = "127.0.0.1";
/** Relays listen here on the ports of their entries, which advertise it. */
const RELAY_HOST = "127.0.0.2";
const WORKERS_PER_RACK = 3;
const START_TIMEOUT = 40_000;
const STATUS_TIMEOUT = 5000;
const COMMAND_TIMEOUT = 20_000;

/** Names of operators; `tokenOf` returns their tokens. */
export const OPERATORS = ["operator-1", "operator-2"] as const;

/** Status document of an entry, as far as tests read it. */
export interface Status {
  versions: { configuration: number; homes: number };
  lease: { validForMs: number };
  teams: { name: string; held: number; borrowed: number }[];
  entries: { id: string }[];
  workers: { worker: string; state: string; configuration: number }[];
}

/** One entry, over all of its restarts. */
export interface EntryNode {
  readonly id: string;
  readonly url: string;
  readonly sessionPort: number;
  readonly relay: Relay;
  process: DaemonProcess;
  /** Whether callers may be sent here, as a balancer sees it. */
  ready: boolean;
  /** Set when a test ends the process without a graceful stop. */
  killed: boolean;
}

/** One worker with its endpoint, and its agent over all restarts. */
export interface AgentNode {
  readonly id: string;
  readonly endpoint: EndpointServer;
  readonly worker: WorkerServer;
  process: DaemonProcess;
}

/** A running cluster. */
export type Cluster = Awaited<ReturnType<typeof startCluster>>;

/** Starts a cluster at one of the example deployments. */
export async function startCluster(fields: {
  example: "nyabugogo" | "sahil";
  entries: number;
  agents: number;
  /** Accelerators of each worker, if not as in the example. */
  accelerators?: number;
}) {
  const { deployment, configuration } = EXAMPLES[fields.example]!;
  const directory = await mkdtemp(join(tmpdir(), "dragonflyledge-"));
  const time = createSystemTimer();
  const store = createMemoryStore({ clock: time, timer: time });
  const etcd = await createEtcdServer({ memory: store });
  const entries: EntryNode[] = [];
  const agents: AgentNode[] = [];
  let stopped = false;
  let checking = true;

  async function write(name: string, text: string): Promise<string> {
    const path = join(directory, name);
    await writeFile(path, text);
    return path;
  }

  function identity(id: string, index: number): string {
    const { failureDomains, region } = deployment;
    const rack = Math.floor(index / WORKERS_PER_RACK);
    return `[identity]\nid = ${id}\nregion = ${region}\nfailure-domain = ${
      failureDomains[rack % failureDomains.length]
    }\nrack = rack-${rack + 1}\n`;
  }

  async function addEntry(index: number): Promise<void> {
    const id = `entry-${index + 1}`;
    const [port, httpPort] = [
      await findPort(HOST, RELAY_HOST),
      await findPort(HOST, RELAY_HOST),
    ];
    const digests = OPERATORS.map((name) =>
      `${name}:${tokenDigest(tokenOf(name))}`
    );
    await write(
      `${id}.ini`,
      identity(id, index * WORKERS_PER_RACK) +
        `[listen]\nhost = ${HOST}\nport = ${port}\nhttp-port = ${httpPort}\n` +
        `advertise = ${RELAY_HOST}\n[store]\nurl = ${etcd.url}\n` +
        `[operators]\ntoken-digests = ${digests.join(", ")}\n`,
    );
    entries.push({
      id,
      url: `http://${HOST}:${httpPort}`,
      sessionPort: port,
      relay: await createRelay({ target: { port }, host: RELAY_HOST, port }),
      process: startEntry(id),
      ready: false,
      killed: false,
    });
  }

  async function addAgent(index: number): Promise<void> {
    const id = `worker-${String(index + 1).padStart(2, "0")}`;
    const endpoint = await createEndpointServer();
    const worker = await createWorkerServer();
    const seeds = entries.map((one) => `${RELAY_HOST}:${one.sessionPort}`);
    const { capacity } = deployment;
    const accelerators = fields.accelerators ?? capacity.accelerators;
    await write(
      `${id}.ini`,
      identity(id, index) +
        `[entries]\nseeds = ${seeds.join(", ")}\n` +
        `[worker]\nurl = ${worker.url}\n` +
        `accelerators = ${accelerators}\ncores = ${capacity.cores}\n` +
        `memory-mib = ${capacity.memoryMiB}\n` +
        `[endpoint]\nurl = ${endpoint.url}\nservice = ${deployment.service}\n` +
        `slots = ${deployment.slots}\nconnections = ${deployment.connections}\n`,
    );
    agents.push({ id, endpoint, worker, process: startAgent(id) });
  }

  const startEntry = (id: string) =>
    startProcess(["entry", join(directory, `${id}.ini`)]);
  const startAgent = (id: string) =>
    startProcess(["agent", join(directory, `${id}.ini`)]);

  for (let i = 0; i < fields.entries; i++) await addEntry(i);
  for (let i = 0; i < fields.agents; i++) await addAgent(i);
  for (const entry of entries) void watchReady(entry);

  /** Stands in for the health check of the platform's load balancer. */
  async function watchReady(entry: EntryNode): Promise<void> {
    while (!stopped && checking) {
      const answer = await request(`${entry.url}/readyz`, {
        reset: true,
        headersTimeout: STATUS_TIMEOUT,
      })
        .catch(() => undefined);
      await answer?.body.dump();
      entry.ready = answer?.statusCode === 200;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  async function status(entry: EntryNode): Promise<Status> {
    const answer = await request(`${entry.url}/v1/status`, {
      headers: { authorization: `Bearer ${tokenOf("operator-1")}` },
      reset: true,
      headersTimeout: STATUS_TIMEOUT,
    });
    return await answer.body.json() as Status;
  }

  /** Waits until every entry is ready and sees all agents as ready. */
  async function waitUntilReady(limit = START_TIMEOUT): Promise<void> {
    let seen = "";
    const holds = async () => {
      for (const entry of entries) {
        const shown = await status(entry).catch(() => undefined);
        const states = shown?.workers.map((one) => one.state) ?? [];
        const ready = states.filter((state) => state === "ready").length;
        seen = `${entry.id}: ready ${entry.ready}, workers ${states.join(" ")}`;
        if (!entry.ready || ready !== agents.length) return false;
        if (shown!.versions.homes === 0) return false;
        // Without a lease, the entry has not reached the store again.
        if (shown!.lease.validForMs === 0) return false;
        if (shown!.entries.length !== entries.length) return false;
      }
      return true;
    };
    await waitUntil("the cluster is whole", limit, holds).catch((cause) => {
      throw new Error(`${cause.message}; ${seen}`);
    });
  }

  /** Waits until a restarted entry answers. */
  async function waitUntilAnswering(entry: EntryNode): Promise<void> {
    await waitUntil(`${entry.id} answers`, START_TIMEOUT, async () => {
      return await status(entry).then(() => true, () => false);
    });
  }

  /** Puts the configuration in force once all workers are known. */
  async function deploy(document: Configuration = configuration) {
    await waitUntil(
      "every entry knows all workers",
      START_TIMEOUT,
      async () => {
        const shown = await Promise.all(entries.map(status)).catch(() => []);
        return shown.length > 0 &&
          shown.every((one) => one.workers.length === agents.length);
      },
    );
    const { code, output } = await submitConfiguration(document, 0);
    if (code !== 0) throw new Error(`not submitted: ${output}`);
    await waitUntilReady();
  }

  /** Runs a command of the command line against the given entries. */
  async function runCommand(
    parameters: string[],
    options: { operator?: string; at?: EntryNode[] } = {},
  ): Promise<{ code: number | null; output: string }> {
    const child = startProcess(parameters, {
      DRAGONFLYLEDGE_ENTRY: (options.at ?? entries)
        .map((entry) => entry.url).join(","),
      DRAGONFLYLEDGE_TOKEN: tokenOf(options.operator ?? "operator-1"),
    });
    const { code } = await child.waitForEnd(COMMAND_TIMEOUT);
    return { code, output: child.lines.join("\n") };
  }

  /** Submits a configuration through the command line. */
  async function submitConfiguration(
    document: Configuration,
    expect: number,
    options: { operator?: string; at?: EntryNode[] } = {},
  ) {
    const name = `configuration-${options.operator ?? "operator-1"}.json`;
    const file = await write(name, JSON.stringify(document));
    const parameters = ["config", "submit", file, "--expect", String(expect)];
    return await runCommand(parameters, options);
  }

  async function stopGracefully(
    seat: EntryNode | AgentNode,
    limit = 15_000,
  ): Promise<Ending> {
    seat.process.signal("SIGTERM");
    return await seat.process.waitForEnd(limit);
  }

  async function kill(seat: EntryNode | AgentNode): Promise<void> {
    if ("killed" in seat) seat.killed = true;
    seat.process.signal("SIGKILL");
    await seat.process.waitForEnd(5000);
  }

  function restart(seat: EntryNode | AgentNode): void {
    seat.process = "relay" in seat ? startEntry(seat.id) : startAgent(seat.id);
  }

  async function stop(): Promise<void> {
    stopped = true;
    for (const seat of [...entries, ...agents]) {
      seat.process.signal("SIGKILL");
      await seat.process.waitForEnd(5000);
    }
    for (const { relay } of entries) await relay.stop();
    for (const { endpoint, worker } of agents) {
      await endpoint.stop();
      await worker.stop();
    }
    await etcd.stop();
    store.stop();
    await rm(directory, { recursive: true });
  }

  return {
    configuration,
    service: deployment.service,
    slots: deployment.slots,
    entries,
    agents,
    store,
    write,
    status,
    waitUntilReady,
    waitUntilAnswering,
    deploy,
    runCommand,
    submitConfiguration,
    stopped: () => stopped,
    /** Measurements are taken without the load of health checks. */
    stopHealthChecks: () => void (checking = false),
    stopGracefully,
    kill,
    restart,
    stop,
  };
}

/** Bearer token of an operator or a team. */
export function tokenOf(name: string): string {
  return `example-token-${name}`;
}
