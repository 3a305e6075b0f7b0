/**
 * Sends metrics to a StatsD server, based on `hot-shots`.
 *
 * @module
 */

import { StatsD } from "hot-shots";
import type { Fields } from "@dragonflyledge/model";
import { MetricKind, METRICS } from "./table.ts";
import type { MetricDescription } from "./table.ts";

/** A value of a metric. */
export interface MetricRecord {
  /** A name in `METRICS`; others are counted as `metrics.unknown`. */
  metric: string;
  value: number;
  tags?: Fields;
}

/** Receiver of metrics. */
export interface Metrics {
  /** Sends a record; values that are not finite are ignored. */
  record(record: MetricRecord): void;
  /** Sends buffered records and closes the socket. */
  close(): Promise<void>;
}

/** Bytes of a packet that usual networks do not fragment. */
const PACKET_SIZE = 1400;

/**
 * Creates a receiver that sends metrics by UDP, or drops them if `host` is
 * undefined. Failures to send are passed to `onError` and have no other effect.
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

/** Returns the tags that the metric's description lists. */
function selectTags(description: MetricDescription, tags: Fields) {
  const known = description.tags.filter((tag) => tags[tag] !== undefined);
  return Object.fromEntries(known.map((tag) => [tag, String(tags[tag])]));
}
