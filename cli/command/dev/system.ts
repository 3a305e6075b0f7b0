/**
 * Starts a whole system in one process on loopback, with fakes for the store,
 * the workers and the endpoints.
 *
 * @module
 */

import { startAgent } from "@dragonflyledge/agent";
import type { Agent } from "@dragonflyledge/agent";
import { createStoreRecords, startEntry } from "@dragonflyledge/entry";
import type { Entry, Operator } from "@dragonflyledge/entry";
import {
  createEndpointServer,
  createEtcdServer,
  createMemoryStore,
  createWorkerServer,
} from "@dragonflyledge/fakes";
import type {
  EndpointServer,
  Listening,
  WorkerServer,
} from "@dragonflyledge/fakes";
import { createRandom, DEFAULT_PREFIX, KIBIBYTE } from "@dragonflyledge/model";
import type { Inventory, Resources } from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import type { Observer } from "@dragonflyledge/runtime";

const HOST = "127.0.0.1";
/** Limit for the body of a request. */
const MAX_BODY_BYTES = 512 * KIBIBYTE;
/** Limit for the connections of an entry. */
const MAX_CONNECTIONS = 1024;
const WORKERS_PER_RACK = 3;

/** Sizes and locations of a system. */
export interface Deployment {
  region: string;
  failureDomains: string[];
  /** Service of all endpoints. */
  service: string;
  /** Number of workers. */
  workers: number;
  /** Number of entries. */
  entries: number;
  /** Capacity of each worker. */
  capacity: Resources;
  /** Slots of each endpoint. */
  slots: number;
  /** Limit for the connections of an agent to its endpoint. */
  connections: number;
}

/** A worker with its endpoint and its agent. */
export interface DevWorker {
  inventory: Inventory;
  endpoint: EndpointServer;
  worker: WorkerServer;
  agent: Agent;
}

/** A running development system. */
export interface DevSystem {
  /** HTTP address of the store. */
  readonly storeUrl: string;
  /** HTTP addresses of the entries. */
  readonly urls: string[];
  readonly workers: DevWorker[];
  /** Stops all parts and resolves when they have ended. */
  stop(): Promise<void>;
}

/**
 * Starts a store, entries, endpoints, workers and agents. Throws the error of
 * an entry that does not start; parts that already run are not stopped then.
 */
export async function startDevSystem(fields: {
  deployment: Deployment;
  operators: Operator[];
  observer: Observer;
  seed: number;
  /** HTTP port of the first entry; the next ones follow. 0 picks free ports. */
  firstHttpPort: number;
}): Promise<DevSystem> {
  const { deployment, observer, seed } = fields;
  const time = { clock: createSystemClock(), timer: createSystemTimer() };
  // Leases of the store last for hours, so their timers must not keep the
  // process alive.
  const timer = createSystemTimer({ background: true });
  const memory = createMemoryStore({ clock: time.clock, timer });
  const store = await createEtcdServer({ memory, host: HOST });
  const entries: Entry[] = [];
  for (let index = 0; index < deployment.entries; index++) {
    entries.push(await openEntry(index));
  }
  const workers: DevWorker[] = [];
  for (let index = 0; index < deployment.workers; index++) {
    workers.push(await openWorker(index));
  }

  async function openEntry(index: number): Promise<Entry> {
    const { firstHttpPort } = fields;
    const id = `entry-${index + 1}`;
    const random = createRandom(seed + index);
    const entry = await startEntry({
      settings: {
        id,
        failureDomain: failureDomainAt(deployment, index),
        host: HOST,
        port: 0,
        httpPort: firstHttpPort === 0 ? 0 : firstHttpPort + index,
        advertise: HOST,
        bodyLimit: MAX_BODY_BYTES,
        connections: MAX_CONNECTIONS,
        operators: fields.operators,
      },
      openRecords: (own) =>
        createStoreRecords({
          url: store.url,
          prefix: DEFAULT_PREFIX,
          id,
          ...own,
          ...time,
          random,
          observer,
        }),
      ...time,
      random,
      observer,
    });
    if (entry.isErr()) throw entry.error;
    return entry.value;
  }

  async function openWorker(index: number): Promise<DevWorker> {
    const endpoint = await createEndpointServer({ host: HOST });
    const worker = await createWorkerServer({ host: HOST });
    const inventory = createInventory(deployment, index);
    const agent = await startAgent({
      settings: {
        inventory,
        seeds: entries.map((entry) => `${HOST}:${entry.port}`),
        endpointUrl: endpoint.url,
        workerUrl: worker.url,
      },
      ...time,
      random: createRandom(seed + 1000 + index),
      observer,
    });
    return { inventory, endpoint, worker, agent };
  }

  return {
    storeUrl: store.url,
    urls: entries.map((entry) => `http://${HOST}:${entry.httpPort}`),
    workers,
    stop: () => stopAll(entries, workers, store),
  };
}

/** Returns the inventory of a worker. */
function createInventory(deployment: Deployment, index: number): Inventory {
  const rack = Math.floor(index / WORKERS_PER_RACK);
  return {
    worker: `worker-${String(index + 1).padStart(2, "0")}`,
    location: {
      region: deployment.region,
      failureDomain: failureDomainAt(deployment, rack),
      rack: `rack-${rack + 1}`,
    },
    capacity: deployment.capacity,
    service: deployment.service,
    slots: deployment.slots,
    connections: deployment.connections,
  };
}

/** Returns the failure domain for an index; domains are used in turn. */
function failureDomainAt(deployment: Deployment, index: number): string {
  const { failureDomains } = deployment;
  return failureDomains[index % failureDomains.length]!;
}

/**
 * Stops the agents first, so that entries see them leave, and then entries,
 * endpoints, workers and store.
 */
async function stopAll(
  entries: Entry[],
  workers: DevWorker[],
  store: Listening,
): Promise<void> {
  for (const { agent } of workers) agent.stop();
  await Promise.all(workers.map(({ agent }) => agent.ended));
  for (const entry of entries) entry.stop();
  await Promise.all(entries.map((entry) => entry.ended));
  for (const { endpoint, worker } of workers) {
    await endpoint.stop();
    await worker.stop();
  }
  await store.stop();
}
