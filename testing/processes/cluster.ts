/**
 * Starts entries and agents as processes. Fakes of the store, the workers and
 * the endpoints run inside the test process.
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
  createSystemTime,
  createWorkerServer,
  findFreePort,
} from "@dragonflyledge/fakes";
import type {
  EndpointServer,
  Relay,
  WorkerServer,
} from "@dragonflyledge/fakes";
import type { Configuration } from "@dragonflyledge/model";
import { startProcess } from "./daemon_process.ts";
import type { DaemonProcess, Ending } from "./daemon_process.ts";
import { describeCluster } from "./describe_cluster.ts";
import { waitUntil } from "./wait.ts";

const HOST = "127.0.0.1";
/**
 * Address that entries advertise. A relay listens here on the session port of
 * each entry, so that agents reach the entries through the relays.
 */
const RELAY_HOST = "127.0.0.2";
const WORKERS_PER_RACK = 3;
const START_TIMEOUT = 40_000;
const STATUS_TIMEOUT = 5000;
const COMMAND_TIMEOUT = 20_000;

/** Names of the configured operators; `tokenOf` returns their tokens. */
export const OPERATORS = ["operator-1", "operator-2"] as const;

/** The fields of an entry's status document that tests read. */
export interface Status {
  versions: { configuration: number; homes: number };
  lease: { validForMs: number };
  teams: { name: string; held: number; borrowed: number }[];
  entries: { id: string }[];
  workers: { worker: string; state: string; configuration: number }[];
}

/** An entry of the cluster; `process` changes when it is restarted. */
export interface EntryNode {
  readonly id: string;
  /** Base URL of its HTTP API. */
  readonly url: string;
  /** Port that accepts sessions of agents. */
  readonly sessionPort: number;
  /** Relay between the agents and the session port. */
  readonly relay: Relay;
  process: DaemonProcess;
  /** Whether the last health check succeeded, so that callers may use it. */
  ready: boolean;
  /** Whether a test has ever killed the process; a restart keeps it set. */
  killed: boolean;
}

/**
 * An agent with the fakes of its worker and endpoint; `process` changes when
 * the agent is restarted.
 */
export interface AgentNode {
  readonly id: string;
  readonly endpoint: EndpointServer;
  readonly worker: WorkerServer;
  process: DaemonProcess;
}

/** A running cluster, and functions to control it. */
export type Cluster = Awaited<ReturnType<typeof startCluster>>;

/**
 * Starts a cluster with the settings of an example deployment. It has no
 * configuration until `deploy` is called. The caller must call `stop`.
 */
export async function startCluster(fields: {
  example: "nyabugogo" | "sahil";
  entries: number;
  agents: number;
  /** Accelerators of each worker; by default those of the example. */
  accelerators?: number;
}) {
  const { deployment, configuration } = EXAMPLES[fields.example]!;
  const directory = await mkdtemp(join(tmpdir(), "dragonflyledge-"));
  const time = createSystemTime();
  const store = createMemoryStore({ clock: time, timer: time });
  const etcd = await createEtcdServer({ memory: store });
  const entries: EntryNode[] = [];
  const agents: AgentNode[] = [];
  let stopped = false;
  let checkingHealth = true;

  /** Writes a file into the cluster's temporary directory; returns its path. */
  async function write(name: string, text: string): Promise<string> {
    const path = join(directory, name);
    await writeFile(path, text);
    return path;
  }

  /** Returns the identity section of a settings file. */
  function identity(id: string, index: number): string {
    const { failureDomains, region } = deployment;
    const rack = Math.floor(index / WORKERS_PER_RACK);
    return `[identity]\nid = ${id}\nregion = ${region}\nfailure-domain = ${
      failureDomains[rack % failureDomains.length]
    }\nrack = rack-${rack + 1}\n`;
  }

  /** Writes the settings of an entry, and starts its relay and process. */
  async function addEntry(index: number): Promise<void> {
    const id = `entry-${index + 1}`;
    const [port, httpPort] = [
      await findFreePort(HOST, RELAY_HOST),
      await findFreePort(HOST, RELAY_HOST),
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

  /** Writes the settings of an agent, and starts its fakes and process. */
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

  /** Polls `/readyz` every 20 ms, as the platform's load balancer would. */
  async function watchReady(entry: EntryNode): Promise<void> {
    while (!stopped && checkingHealth) {
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

  /** Reads the status document of an entry. */
  async function status(entry: EntryNode): Promise<Status> {
    const answer = await request(`${entry.url}/v1/status`, {
      headers: { authorization: `Bearer ${tokenOf("operator-1")}` },
      reset: true,
      headersTimeout: STATUS_TIMEOUT,
    });
    return await answer.body.json() as Status;
  }

  /**
   * Waits until every entry is ready, has homes and a lease, and sees all other
   * entries and all workers as ready. Throws after `limit` milliseconds.
   */
  async function waitUntilReady(limit = START_TIMEOUT): Promise<void> {
    let seen = "";
    const isReady = async () => {
      for (const entry of entries) {
        const document = await status(entry).catch(() => undefined);
        const states = document?.workers.map((one) => one.state) ?? [];
        const ready = states.filter((state) => state === "ready").length;
        seen = `${entry.id}: ready ${entry.ready}, workers ${states.join(" ")}`;
        if (!entry.ready || ready !== agents.length) return false;
        if (document!.versions.homes === 0) return false;
        // Without a lease, the entry has not yet reached the store.
        if (document!.lease.validForMs === 0) return false;
        if (document!.entries.length !== entries.length) return false;
      }
      return true;
    };
    await waitUntil("every entry and worker is ready", limit, isReady).catch(
      (cause) => {
        throw new Error(`${cause.message}; ${seen}`);
      },
    );
  }

  /** Waits until an entry answers a status request. */
  async function answers(entry: EntryNode): Promise<void> {
    await waitUntil(`${entry.id} answers`, START_TIMEOUT, async () => {
      return await status(entry).then(() => true, () => false);
    });
  }

  /**
   * Submits the first configuration once every entry knows all workers, and
   * waits until the cluster is ready. Throws if the submission fails.
   */
  async function deploy(document: Configuration = configuration) {
    await waitUntil(
      "every entry knows all workers",
      START_TIMEOUT,
      async () => {
        const documents = await Promise.all(entries.map(status)).catch(
          () => [],
        );
        return documents.length > 0 &&
          documents.every((one) => one.workers.length === agents.length);
      },
    ).catch(async (cause) => {
      throw new Error(
        `${cause.message}\n${await describeCluster({
          entries,
          agents,
          status,
        })}`,
      );
    });
    const { code, output } = await submit(document, 0);
    if (code !== 0) throw new Error(`configuration not submitted: ${output}`);
    await waitUntilReady();
  }

  /**
   * Runs the command line with these parameters and waits until it exits. It
   * uses the entries of `at`, all by default, and the token of `operator`.
   */
  async function command(
    parameters: string[],
    options: { operator?: string; at?: EntryNode[] } = {},
  ): Promise<{ code: number | null; output: string }> {
    const child = startProcess(parameters, {
      DRAGONFLYLEDGE_ENTRY: (options.at ?? entries)
        .map((entry) => entry.url).join(","),
      DRAGONFLYLEDGE_TOKEN: tokenOf(options.operator ?? "operator-1"),
    });
    const { code } = await child.ended(COMMAND_TIMEOUT);
    return { code, output: child.lines.join("\n") };
  }

  /**
   * Submits a configuration with the command line; `expect` is the version that
   * the document is based on.
   */
  async function submit(
    document: Configuration,
    expect: number,
    options: { operator?: string; at?: EntryNode[] } = {},
  ) {
    const name = `configuration-${options.operator ?? "operator-1"}.json`;
    const file = await write(name, JSON.stringify(document));
    const parameters = ["config", "submit", file, "--expect", String(expect)];
    return await command(parameters, options);
  }

  /** Sends SIGTERM and waits at most `limit` milliseconds for the exit. */
  async function stopGracefully(
    node: EntryNode | AgentNode,
    limit = 15_000,
  ): Promise<Ending> {
    node.process.signal("SIGTERM");
    return await node.process.ended(limit);
  }

  /** Sends SIGKILL and waits for the exit. */
  async function kill(node: EntryNode | AgentNode): Promise<void> {
    if ("killed" in node) node.killed = true;
    node.process.signal("SIGKILL");
    await node.process.ended(5000);
  }

  /** Starts a new process for an entry or agent whose process has exited. */
  function restart(node: EntryNode | AgentNode): void {
    node.process = "relay" in node ? startEntry(node.id) : startAgent(node.id);
  }

  /** Kills all processes, stops the fakes and removes the directory. */
  async function stop(): Promise<void> {
    stopped = true;
    for (const node of [...entries, ...agents]) {
      node.process.signal("SIGKILL");
      await node.process.ended(5000);
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
    answers,
    deploy,
    command,
    submit,
    stopped: () => stopped,
    /** Stops the health checks, whose load would distort measurements. */
    stopHealthChecks: () => void (checkingHealth = false),
    stopGracefully,
    kill,
    restart,
    stop,
  };
}

/** Returns the bearer token of an operator or a team. */
export function tokenOf(name: string): string {
  return `example-token-${name}`;
}
