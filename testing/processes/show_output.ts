/**
 * Shows the output of the processes of a failed test.
 *
 * @module
 */

import type { Test } from "tap";
import type { Cluster } from "./cluster.ts";

const LINES_SHOWN = 15;

/**
 * If the test has failed, writes the last warnings and the last lines of each
 * process as test comments.
 */
export function showOutput(t: Test, cluster: Cluster): void {
  if (t.passing()) return;
  for (const { id, process } of [...cluster.entries, ...cluster.agents]) {
    const warnings = process.lines
      .filter((line) => !line.includes('"level":30'));
    const lines = new Set([
      ...warnings.slice(-LINES_SHOWN),
      ...process.lines.slice(-LINES_SHOWN),
    ]);
    for (const line of lines) t.comment(`${id}: ${line}`);
  }
}
