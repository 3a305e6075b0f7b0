/**
 * Counters, gauges and histograms, based on `prom-client`.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { BUCKETS, INSTRUMENTS } from "./table.ts";
import type { InstrumentName } from "./table.ts";

/** Prefix of all instrument names. */
const PREFIX = "dragonflyledge_";

/** Values of an instrument's labels, by label. */
export type Labels = Record<string, string>;

/** The instruments of one process. */
export interface Instruments {
  /** Adds 1 to a counter. */
  increment(name: InstrumentName, labels: Labels): void;
  /** Sets a gauge without labels. */
  set(name: InstrumentName, value: number): void;
  /** Records a duration in a histogram. */
  time(name: InstrumentName, labels: Labels, duration: Milliseconds): void;
  /** Returns all values in the text format of Prometheus. */
  text(): Promise<string>;
  /** Content type of `text`. */
  readonly contentType: string;
}

/** Creates all instruments of `INSTRUMENTS`. */
export function createInstruments(): Instruments {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  for (const [name, { kind, help, labels }] of Object.entries(INSTRUMENTS)) {
    const common = {
      name: PREFIX + name,
      help,
      labelNames: labels,
      registers: [registry],
    };
    if (kind === "counter") counters.set(name, new Counter(common));
    else if (kind === "gauge") gauges.set(name, new Gauge(common));
    else {
      const buckets = [...BUCKETS];
      histograms.set(name, new Histogram({ ...common, buckets }));
    }
  }
  return {
    increment: (name, labels) => counters.get(name)?.inc(labels),
    set: (name, value) => gauges.get(name)?.set(value),
    time: (name, labels, duration) =>
      histograms.get(name)?.observe(labels, duration / SECOND),
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
