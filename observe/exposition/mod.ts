/**
 * Counters and latency histograms in the text format of Prometheus.
 *
 * @module
 */

export { createCountingLog } from "./counting_log.ts";
export { createInstruments } from "./instruments.ts";
export type { Instruments, Labels } from "./instruments.ts";
export { BUCKETS, INSTRUMENTS } from "./table.ts";
export type { Instrument, InstrumentName } from "./table.ts";
