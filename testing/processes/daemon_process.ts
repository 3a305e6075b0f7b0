/**
 * Starts an entry, agent or command as a process of the built command line.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { readFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { describeHang, reportOptions } from "./describe_hang.ts";
import { waitUntil } from "./wait.ts";

const MAIN = fileURLToPath(
  new URL("../../../cli/command/dist/main.js", import.meta.url),
);
/** Number of output lines that are kept; the oldest are dropped first. */
const MAX_LINES = 2000;
/** Unit of the processor times in `/proc/PID/stat` on Linux. */
const TICKS_PER_SECOND = 100;
/** Bytes of a memory page, the unit of resident memory in that file. */
const PAGE_SIZE = 4096;

const REPORT_DIRECTORY = mkdtempSync(join(tmpdir(), "dragonflyledge-reports-"));
/** Output lines that are shown of a process that does not end in time. */
const SHOWN_LINES = 20;

/** Exit code of a process, or the signal that ended it. */
export interface Ending {
  code: number | null;
  signal: string | null;
}

/** A process and its output. */
export interface DaemonProcess {
  readonly pid: number;
  /** Last lines of the standard output and standard error. */
  readonly lines: string[];
  /** Milliseconds from the start to the first output; undefined before it. */
  readonly firstOutputDelay: number | undefined;
  /** Undefined while the process runs. */
  readonly ending: Ending | undefined;
  /** Sends a signal; does nothing if the process has ended. */
  signal(name: "SIGTERM" | "SIGKILL"): void;
  /** Waits until the process ends; throws after `limit` milliseconds. */
  ended(limit: number): Promise<Ending>;
  /** Reads the processor time so far and the resident memory (Linux only). */
  usage(): Promise<{ processorSeconds: number; residentBytes: number }>;
}

/**
 * Starts `dragonflyledge` with these parameters. The process gets only `PATH`
 * and `environment` as environment variables.
 */
export function startProcess(
  parameters: string[],
  environment: Record<string, string> = {},
): DaemonProcess {
  const options = reportOptions(REPORT_DIRECTORY);
  const child = spawn(process.execPath, [...options, MAIN, ...parameters], {
    env: { PATH: process.env["PATH"] ?? "", ...environment },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const lines: string[] = [];
  const spawnedAt = performance.now();
  let startTime: number | undefined;
  let ending: Ending | undefined;
  let partialLine = "";
  const appendOutput = (chunk: Uint8Array) => {
    const parts = (partialLine + String(chunk)).split("\n");
    partialLine = parts.pop() ?? "";
    startTime ??= performance.now() - spawnedAt;
    lines.push(...parts);
    if (lines.length > MAX_LINES) lines.splice(0, lines.length - MAX_LINES);
  };
  child.stdout.on("data", appendOutput);
  child.stderr.on("data", appendOutput);
  child.once("close", (code, signal) => {
    if (partialLine !== "") lines.push(partialLine);
    ending = { code, signal };
  });

  async function usage() {
    const stat = await readFile(`/proc/${child.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return {
      processorSeconds: (Number(fields[11]) + Number(fields[12])) /
        TICKS_PER_SECOND,
      residentBytes: Number(fields[21]) * PAGE_SIZE,
    };
  }

  return {
    pid: child.pid!,
    lines,
    get firstOutputDelay() {
      return startTime;
    },
    get ending() {
      return ending;
    },
    signal: (name) => void (ending ?? process.kill(child.pid!, name)),
    ended: async (limit) => {
      const what = `process ${parameters.join(" ")} ends`;
      try {
        await waitUntil(what, limit, () => ending !== undefined);
      } catch (error) {
        const pid = child.pid!;
        const hang = await describeHang({ pid, directory: REPORT_DIRECTORY });
        const output = lines.slice(-SHOWN_LINES).join("\n");
        throw new Error(`${(error as Error).message}\n${hang}\n${output}`);
      }
      return ending!;
    },
    usage,
  };
}
