/**
 * Formats the table that `npm run measure` prints.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Row } from "./compare.ts";
import type { Verdict } from "./targets.ts";

/** Heading and width of each column; the sum is at most 100. */
const COLUMNS: readonly [string, number][] = [
  ["scheduler", 14],
  ["u.mean", 7],
  ["u.p50", 6],
  ["u.p99", 6],
  ["d.mean", 7],
  ["d.p50", 6],
  ["d.p99", 6],
  ["intime", 7],
  ["good", 5],
  ["w.p99", 6],
  ["h50", 6],
  ["h99", 6],
  ["gang", 5],
  ["shape", 6],
  ["owner", 6],
];

const LEGEND = [
  "u, d: completion time of urgent and deferrable requests, s; j: of jobs, s",
  "intime, good: urgent requests of the peak in time, goodput over slots, %",
  "w.p99: wait of urgent requests at the peak, s",
  "h50, h99: wait of short work with long work over without it, p50 and p99",
  "gang: largest gang over what free capacity could hold, %",
  "shape: least share of guaranteed shapes that can be placed, %",
  "owner: longest start of an owner's work, s",
];

/** Formats all rows, one block for each trace. */
export function formatTable(rows: Row[]): string {
  const lines = [...LEGEND, "", formatLine(COLUMNS.map(([name]) => name))];
  let trace = "";
  for (const row of rows) {
    if (row.trace !== trace) {
      trace = row.trace;
      lines.push(`-- ${trace} `.padEnd(98, "-"));
    }
    lines.push(formatLine(formatCells(row)), formatOutcomes(row));
  }
  return lines.join("\n");
}

function formatCells({ scheduler, figures, blocking }: Row): string[] {
  const { urgent, deferrable, peakWait } = figures;
  return [
    scheduler,
    formatSeconds(urgent.mean),
    formatSeconds(urgent.p50),
    formatSeconds(urgent.p99),
    formatSeconds(deferrable.mean),
    formatSeconds(deferrable.p50),
    formatSeconds(deferrable.p99),
    formatPercent(figures.inTime),
    formatPercent(figures.goodput),
    formatSeconds(peakWait.p99),
    formatNumber(blocking.p50),
    formatNumber(blocking.p99),
    formatPercent(figures.largestGang),
    formatPercent(figures.placeable),
    formatSeconds(figures.ownerStart),
  ];
}

function formatOutcomes({ figures }: Row): string {
  const list = (counts: Record<string, number>) =>
    Object.entries(counts).sort().map(([kind, count]) => `${count} ${kind}`)
      .join(", ");
  const { jobs } = figures;
  return `  ${list(figures.outcomes)}; jobs: ${list(figures.jobStates)}; ` +
    `j.mean ${formatSeconds(jobs.mean)}, p99 ${formatSeconds(jobs.p99)}`;
}

/** Formats the verdicts, one line for each. */
export function formatVerdicts(verdicts: Verdict[]): string {
  return verdicts.map(({ target, trace, value, limit, passed }) =>
    [
      passed ? "pass " : "short",
      trace.padEnd(21),
      target.padEnd(46),
      formatNumber(value).padStart(8),
      "of",
      formatNumber(limit).padStart(8),
    ].join(" ")
  ).join("\n");
}

function formatLine(texts: string[]): string {
  return texts.map((text, index) => {
    const width = COLUMNS[index]![1];
    return index === 0 ? text.padEnd(width) : text.padStart(width);
  }).join("");
}

function formatSeconds(milliseconds: number): string {
  if (!Number.isFinite(milliseconds)) return "none";
  const value = milliseconds / SECOND;
  return value >= 100 ? value.toFixed(0) : formatNumber(value);
}

function formatPercent(share: number): string {
  const value = share * 100;
  return value === 100 ? "100" : value.toFixed(1);
}

function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return "none";
  const digits = value >= 100 ? 0 : value >= 10 ? 1 : value >= 1 ? 2 : 3;
  return value.toFixed(digits);
}
