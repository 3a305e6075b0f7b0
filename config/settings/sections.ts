/**
 * Schemas of the settings of each daemon, by section and key.
 *
 * @module
 */

import { z } from "zod";
import { DEFAULT_PREFIX, KIBIBYTE } from "@dragonflyledge/model";
import {
  addresses,
  host,
  name,
  oneOf,
  operators,
  port,
  prefix,
  url,
  wholeNumber,
} from "./keys.ts";

const identity = z.strictObject({
  id: name("Identity of the entry, or of the worker beside the agent"),
  region: name("Region of the VM"),
  "failure-domain": name("Failure domain of the VM"),
  rack: name("Rack of the VM"),
});

const log = z.strictObject({
  level: oneOf(["debug", "info", "warn", "error"], "Least level written")
    .default("info"),
});

const metrics = z.strictObject({
  host: host("StatsD host; no metrics are sent if unset").optional(),
  port: port("StatsD port").default(8125),
  prefix: name("Prefix of metric names").default("dragonflyledge"),
});

const entry = z.strictObject({
  identity,
  listen: z.strictObject({
    host: host("Address to listen on"),
    port: port("Port for sessions of agents"),
    "http-port": port("Port for HTTP"),
    advertise: host("Address that others use; same as host if unset")
      .optional(),
  }),
  store: z.strictObject({
    url: url("Gateway of the key-value service"),
    prefix: prefix("Prefix of all keys").default(DEFAULT_PREFIX),
  }),
  limits: z.strictObject({
    "body-limit": wholeNumber(
      KIBIBYTE,
      512 * KIBIBYTE,
      "Largest request body, in bytes",
    ).default(512 * KIBIBYTE),
    connections: wholeNumber(
      1,
      100000,
      "Most HTTP connections at the same time",
    )
      .default(4096),
    "store-writes": wholeNumber(1, 10000, "Most writes to the store a second")
      .default(50),
    "store-reads": wholeNumber(1, 10000, "Most reads from the store a second")
      .default(200),
  }),
  operators: z.strictObject({
    "token-digests": operators("Operators and digests of their bearer tokens")
      .optional(),
  }),
  log,
  metrics,
});

const agent = z.strictObject({
  identity,
  entries: z.strictObject({
    seeds: addresses("Entries to dial first"),
  }),
  worker: z.strictObject({
    url: url("Worker that runs tasks"),
    accelerators: wholeNumber(0, 64, "Accelerators of the worker"),
    cores: wholeNumber(1, 4096, "Processor cores of the worker"),
    "memory-mib": wholeNumber(1, 67108864, "Memory of the worker, in MiB"),
  }),
  endpoint: z.strictObject({
    url: url("Endpoint that answers requests"),
    service: name("Service that the endpoint offers"),
    slots: wholeNumber(
      1,
      10000,
      "Requests that the endpoint runs at the same time",
    ),
    connections: wholeNumber(1, 10000, "Most connections to the endpoint"),
  }),
  log,
  metrics,
});

/** Schemas by role. Sections and keys have the names that the file uses. */
export const SECTIONS = { entry, agent };

/** Kind of daemon that has settings. */
export type Role = keyof typeof SECTIONS;

/** Camel case of a name with hyphens. */
type CamelCase<S> = S extends `${infer Head}-${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;
type CamelKeys<T> = { [K in keyof T as CamelCase<K>]: T[K] };
type Sections<T> = { [K in keyof T as CamelCase<K>]: CamelKeys<T[K]> };

/** Settings of an entry, with the names of the file in camel case. */
export type EntrySettings = Sections<z.output<typeof entry>>;
/** Settings of an agent, with the names of the file in camel case. */
export type AgentSettings = Sections<z.output<typeof agent>>;
