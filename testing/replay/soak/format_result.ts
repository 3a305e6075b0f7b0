/**
 * Formats the result of a soak as text.
 *
 * @module
 */

import type { SoakResult } from "./soak.ts";

const VIOLATIONS_SHOWN = 5;

/**
 * Formats counts of requests, jobs, violations and faults, then the first
 * violations, each with the last recorded lines about its subject, and the last
 * faults.
 */
export function formatResult(result: SoakResult): string {
  const { seed, deployment, record, violations } = result;
  const started = Object.entries(result.faults).sort()
    .map(([name, count]) => `${name} ${count}`).join(", ");
  const outcomes: Record<string, number> = {};
  for (const request of record.requests.values()) {
    const { callerLeft, entryDied } = request;
    const absent = callerLeft ? "left" : entryDied ? "entry died" : "none";
    const kind = request.outcomes[0]?.outcome.kind ?? absent;
    outcomes[kind] = (outcomes[kind] ?? 0) + 1;
  }
  const lines = [
    `seed ${seed}, ${deployment}: ${record.requests.size} requests ` +
    `${JSON.stringify(outcomes)}, ${record.jobs.size} jobs, ` +
    `${violations.length} violations`,
    `faults: ${started}`,
  ];
  for (const violation of violations.slice(0, VIOLATIONS_SHOWN)) {
    const { invariant, subject, detail } = violation;
    lines.push(`${invariant} ${subject}: ${detail}`);
    for (const line of record.lines.get(subject) ?? []) lines.push(`  ${line}`);
  }
  if (violations.length > 0) {
    lines.push("last faults:");
    const last = record.lines.get("faults") ?? [];
    for (const line of last.slice(-12)) lines.push(`  ${line}`);
  }
  return lines.join("\n");
}
