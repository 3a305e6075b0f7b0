/**
 * Metrics on `hot-shots`.
 *
 * @module
 */

import { StatsD } from "hot-shots";
import type { Fields } from "@dragonflyledge/model";
import { MetricKind, METRICS } from "./table.ts";
import type { MetricDescription } from "./table.ts";

/** One value of one metric. */
export interface MetricRecord {
  /** A name of the table; others are counted as `metrics.unknown`. */
  metric: string;
  value: number;
  tags?: Fields;
}

/** Where metrics go. */
export interface Metrics {
  record(record: MetricRecord): void;
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** One packet that is not fragmented on usual networks. */
const PACKET_SIZE = 1400;

/**
 * Returns metrics that are sent by UDP, or that are dropped if no host is
 * given. Failures to send are passed to `onError` and change nothing else.
 */
export function createMetrics(fields: {
  host: string | undefined;
  port: number;
  prefix: string;
  onError?: (error: Error) => void;
}): Metrics {
  const { host, port } = fields;
  if (host === undefined) return { record: () => {}, close: async () => {} };
  const client = new StatsD({
    host,
    port,
    prefix: `${fields.prefix}.`,
    maxBufferSize: PACKET_SIZE,
    cacheDns: true,
    includeDataDogTags: false,
    includeDatadogTelemetry: false,
    udpSocketOptions: { type: host.includes(":") ? "udp6" : "udp4" },
    errorHandler: fields.onError ?? (() => {}),
  });
  return {
    record: (record) => sendRecord(client, record),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}

function sendRecord(client: StatsD, record: MetricRecord): void {
  const table: Record<string, MetricDescription> = METRICS;
  const { metric, value } = record;
  const description = Object.hasOwn(table, metric) ? table[metric] : undefined;
  if (description === undefined) {
    client.increment("metrics.unknown", 1, { metric });
    return;
  }
  if (!Number.isFinite(value)) return;
  const tags = selectTags(description, record.tags ?? {});
  if (description.kind === MetricKind.Counter) {
    client.increment(metric, value, tags);
  } else if (description.kind === MetricKind.Gauge) {
    client.gauge(metric, value, tags);
  } else client.timing(metric, value, tags);
}

function selectTags(description: MetricDescription, tags: Fields) {
  const known = description.tags.filter((tag) => tags[tag] !== undefined);
  return Object.fromEntries(known.map((tag) => [tag, String(tags[tag])]));
}
