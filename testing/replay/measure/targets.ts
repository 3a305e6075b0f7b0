/**
 * Checks whether the figures meet the targets.
 *
 * @module
 */

import { SECOND, URGENT_START_TARGET } from "@dragonflyledge/model";
import type { Expected } from "../trace/trace.ts";
import { OWN_SCHEDULER } from "./compare.ts";
import type { Row } from "./compare.ts";

/** Result of one target on one trace. */
export interface Verdict {
  target: string;
  trace: string;
  value: number;
  limit: number;
  passed: boolean;
}

/** Checks all targets on the rows of one trace. */
export function checkTargets(rows: Row[]): Verdict[] {
  const own = rows.find((row) => row.scheduler === OWN_SCHEDULER)!;
  const others = rows.filter((row) => row !== own);
  const best = (value: (row: Row) => number) => Math.min(...others.map(value));
  const { trace, figures } = own;
  const atMost = (target: string, value: number, limit: number): Verdict => ({
    target,
    trace,
    value,
    limit,
    passed: value <= limit,
  });
  const verdicts: Verdict[] = [];
  if (/_(surge|floor)$/.test(trace)) {
    const limit = best((row) => row.figures.peakWait.p99) / 10;
    const name = "urgent p99 wait at the peak, ms, tenth of best";
    verdicts.push(atMost(name, figures.peakWait.p99, limit));
  }
  verdicts.push(
    atMost("short p99 wait with long work over without", own.blocking.p99, 1.5),
    atMost(
      "deferrable requests, mean s: 1.1 of the best",
      figures.deferrable.mean / SECOND,
      best((row) => row.figures.deferrable.mean) / SECOND * 1.1,
    ),
    atMost(
      "deferrable jobs, mean s: 1.1 of the best",
      figures.jobs.mean / SECOND,
      best((row) => row.figures.jobs.mean) / SECOND * 1.1,
    ),
    atMost(
      "share of guaranteed shapes not placeable",
      1 - figures.placeable,
      0,
    ),
    atMost("owner's start, ms", figures.ownerStart, URGENT_START_TARGET),
  );
  return verdicts;
}

/** Checks the outcomes that a trace is expected to have. */
export function checkExpected(row: Row, expected: Expected): Verdict[] {
  const values = figuresByName(row);
  const verdicts: Verdict[] = [];
  for (const [name, limit] of Object.entries(expected.atLeast)) {
    const value = values[name] ?? 0;
    const target = `at least: ${name}`;
    const passed = value >= limit;
    verdicts.push({ target, trace: row.trace, value, limit, passed });
  }
  for (const [name, limit] of Object.entries(expected.atMost)) {
    const value = values[name] ?? 0;
    const target = `at most: ${name}`;
    const passed = value <= limit;
    verdicts.push({ target, trace: row.trace, value, limit, passed });
  }
  return verdicts;
}

/** Figures by the names that files of expected outcomes use. */
function figuresByName({ figures }: Row): Record<string, number> {
  const share = (counts: Record<string, number>, kind: string) => {
    const total = Object.values(counts).reduce((sum, each) => sum + each, 0);
    return (counts[kind] ?? 0) / Math.max(1, total);
  };
  const { outcomes, jobStates } = figures;
  return {
    doneShare: share(outcomes, "done"),
    failedShare: share(outcomes, "failed"),
    notRunShare: share(outcomes, "not-run"),
    unknown: outcomes["unknown"] ?? 0,
    open: outcomes["open"] ?? 0,
    urgentInTime: figures.inTime,
    jobsSucceeded: share(jobStates, "succeeded"),
    jobsLost: jobStates["none"] ?? 0,
    ownerStart: figures.ownerStart,
    placeable: figures.placeable,
  };
}
