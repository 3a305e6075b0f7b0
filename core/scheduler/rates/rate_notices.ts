/**
 * Logs and counts what is known of the rates of workers.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Fields, Milliseconds } from "@dragonflyledge/model";
import type { SchedulerState } from "../state.ts";
import type { Belief } from "./unknowns.ts";

/** Interval at which all workers are looked at. */
const NOTICE_INTERVAL: Milliseconds = SECOND;
/** Standard deviation of the logarithm from which a rate counts as known. */
const KNOWN_SD = 0.2;
/** Change of the logarithm of a known rate that is logged. */
const NOTABLE_CHANGE = 0.2;
/** Rate below which a worker counts as slow. */
const SLOW_RATE = 0.8;

/** Numbers of workers, for gauges. */
export interface RateCounts {
  /** Workers whose rate is known. */
  known: number;
  /** Those of them that are slower than the median worker by a fifth. */
  slow: number;
  /** Workers that are transiently slow. */
  slowed: number;
}

/** What was logged. */
export interface RateNotices {
  noticedAt: Milliseconds;
  differ: boolean;
  /** Logarithm of the rate that was logged last, by agent. */
  rates: Map<string, number>;
  /** Agents whose workers are transiently slow. */
  slowed: Set<string>;
  counts: RateCounts;
}

/** Creates the notices of a leader that has logged nothing. */
export function createRateNotices(): RateNotices {
  return {
    noticedAt: -Infinity,
    differ: false,
    rates: new Map(),
    slowed: new Set(),
    counts: { known: 0, slow: 0, slowed: 0 },
  };
}

/** Logs what has changed, and counts the workers anew. */
export function noteRates(state: SchedulerState, now: Milliseconds): void {
  const { rateNotices: notices, rateEstimator: rates } = state;
  if (now - notices.noticedAt < NOTICE_INTERVAL) return;
  notices.noticedAt = now;
  const counts: RateCounts = { known: 0, slow: 0, slowed: 0 };
  for (const agent of notices.rates.keys()) {
    if (!state.agents.has(agent)) notices.rates.delete(agent);
  }
  for (const agent of state.agents.keys()) {
    const belief = rates.beliefOf(agent);
    const isKnown = belief !== undefined && belief.variance <= KNOWN_SD ** 2;
    if (isKnown) {
      counts.known++;
      if (Math.exp(belief.mean) < SLOW_RATE) counts.slow++;
      if (rates.differ()) noteRate(state, agent, belief);
    }
    if (rates.isSlowed(agent)) counts.slowed++;
    noteSlowdown(state, agent);
  }
  notices.counts = counts;
  noteDifference(state);
}

function noteRate(
  state: SchedulerState,
  agent: string,
  { mean, variance }: Belief,
): void {
  const { rates } = state.rateNotices;
  const before = rates.get(agent);
  const isNotable = before === undefined ||
    Math.abs(mean - before) >= NOTABLE_CHANGE;
  if (!isNotable) return;
  rates.set(agent, mean);
  const deviation = Math.sqrt(variance);
  const text = before === undefined
    ? "Worker rate known."
    : "Worker rate changed.";
  log(state, text, {
    agent,
    worker: state.agents.get(agent)?.worker?.state.key ?? "",
    rate: round(Math.exp(mean)),
    low: round(Math.exp(mean - deviation)),
    high: round(Math.exp(mean + deviation)),
    ...(before !== undefined && { before: round(Math.exp(before)) }),
  });
}

function noteSlowdown(state: SchedulerState, agent: string): void {
  const { slowed } = state.rateNotices;
  const isSlowed = state.rateEstimator.isSlowed(agent);
  if (isSlowed === slowed.has(agent)) return;
  if (isSlowed) slowed.add(agent);
  else slowed.delete(agent);
  const text = isSlowed
    ? "Worker is slow for a time."
    : "Worker is no longer slow for a time.";
  const worker = state.agents.get(agent)?.worker?.state.key ?? "";
  log(state, text, { agent, worker });
}

function noteDifference(state: SchedulerState): void {
  const { rateNotices: notices, rateEstimator: rates } = state;
  const differ = rates.differ();
  if (differ === notices.differ) return;
  notices.differ = differ;
  const text = differ
    ? "Rates of workers differ."
    : "Rates of workers no longer differ.";
  log(state, text, { ...notices.counts });
}

function log(state: SchedulerState, text: string, fields: Fields): void {
  state.effects.push({ kind: "log", level: "info", text, fields });
}

/** Two decimals are enough to read. */
function round(value: number): number {
  return Math.round(100 * value) / 100;
}
