/**
 * Describes a process that does not end: what keeps its event loop alive, how
 * much processor time it got, and how busy the machine is.
 *
 * @module
 */

import { readdirSync, readFileSync, rmSync } from "node:fs";
import { loadavg } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers/promises";

/** Signal on which a process started with `reportOptions` writes a report. */
const REPORT_SIGNAL = "SIGUSR2";
/** Time in which a process whose event loop runs writes its report, in ms. */
const REPORT_TIMEOUT = 3000;

interface Report {
  header: { filename: string };
  javascriptStack?: { stack?: string[] };
  resourceUsage?: Record<string, unknown>;
  libuv: { type: string; is_active?: boolean; is_referenced?: boolean }[];
}

/** Options of Node with which a process writes reports to the directory. */
export function reportOptions(directory: string): string[] {
  return [
    "--report-on-signal",
    `--report-signal=${REPORT_SIGNAL}`,
    `--report-directory=${directory}`,
    "--report-compact",
  ];
}

/**
 * Describes the process. It must have been started with `reportOptions` of the
 * directory; if its event loop does not run, it writes no report.
 */
export async function describeHang(
  fields: { pid: number; directory: string },
): Promise<string> {
  const { pid, directory } = fields;
  const lines = [
    `load: ${loadavg().map((load) => load.toFixed(1)).join(" ")}`,
    ...describeThreads(pid),
  ];
  try {
    process.kill(pid, REPORT_SIGNAL);
  } catch (error) {
    return [...lines, `no report: ${error}`].join("\n");
  }
  await setTimeout(REPORT_TIMEOUT);
  const [name] = readdirSync(directory)
    .filter((each) => each.includes(`.${pid}.`));
  if (!name) return [...lines, "no report: its loop does not run"].join("\n");
  const path = join(directory, name);
  const report = JSON.parse(readFileSync(path, "utf8")) as Report;
  rmSync(path);
  const handles = report.libuv
    .filter((handle) => handle.is_active && handle.is_referenced)
    .map((handle) => `  ${JSON.stringify(handle)}`);
  return [
    ...lines,
    `usage: ${JSON.stringify(report.resourceUsage)}`,
    "active handles:",
    ...handles,
    `stack: ${report.javascriptStack?.stack?.join(" < ") ?? ""}`,
  ].join("\n");
}

/** State, processor time in ticks and wait channel of each thread (Linux). */
function describeThreads(pid: number): string[] {
  try {
    return readdirSync(`/proc/${pid}/task`).map((thread) => {
      const path = `/proc/${pid}/task/${thread}`;
      const stat = readFileSync(`${path}/stat`, "utf8");
      const rest = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
      const wait = readFileSync(`${path}/wchan`, "utf8");
      return `thread ${thread}: ${rest[0]} ${rest[11]}+${rest[12]} ${wait}`;
    });
  } catch (error) {
    return [`threads can't be read: ${error}`];
  }
}
