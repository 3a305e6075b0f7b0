/**
 * One process that a test starts through the built command line.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { waitUntil } from "./wait.ts";

const MAIN = fileURLToPath(
  new URL("../../../cli/command/dist/main.js", import.meta.url),
);
/** Output beyond this is dropped, oldest first. */
const MAX_LINES = 2000;
const TICKS_PER_SECOND = 100;
const PAGE_SIZE = 4096;

/** How a process ended. */
export interface Ending {
  code: number | null;
  signal: string | null;
}

/** A process and what it wrote. */
export interface DaemonProcess {
  readonly pid: number;
  readonly lines: string[];
  /** Milliseconds from the start to the first output, once there is any. */
  readonly firstOutputDelay: number | undefined;
  /** Set when the process has ended. */
  readonly ending: Ending | undefined;
  signal(name: "SIGTERM" | "SIGKILL"): void;
  /** Waits for the end; fails after `limit` milliseconds. */
  waitForEnd(limit: number): Promise<Ending>;
  readUsage(): Promise<{ processorSeconds: number; residentBytes: number }>;
}

/** Starts `dragonflyledge` with these arguments. */
export function startProcess(
  parameters: string[],
  environment: Record<string, string> = {},
): DaemonProcess {
  const child = spawn(process.execPath, [MAIN, ...parameters], {
    env: { PATH: process.env["PATH"] ?? "", ...environment },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const lines: string[] = [];
  const spawnedAt = performance.now();
  let startTime: number | undefined;
  let ending: Ending | undefined;
  let rest = "";
  const take = (chunk: Uint8Array) => {
    const parts = (rest + String(chunk)).split("\n");
    rest = parts.pop() ?? "";
    startTime ??= performance.now() - spawnedAt;
    lines.push(...parts);
    if (lines.length > MAX_LINES) lines.splice(0, lines.length - MAX_LINES);
  };
  child.stdout.on("data", take);
  child.stderr.on("data", take);
  child.once("close", (code, signal) => {
    if (rest !== "") lines.push(rest);
    ending = { code, signal };
  });

  async function readUsage() {
    const stat = await readFile(`/proc/${child.pid}/stat`, "utf8");
    const values = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return {
      processorSeconds: (Number(values[11]) + Number(values[12])) /
        TICKS_PER_SECOND,
      residentBytes: Number(values[21]) * PAGE_SIZE,
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
    waitForEnd: async (limit) => {
      await waitUntil(`process ${parameters.join(" ")} ends`, limit, () => {
        return ending !== undefined;
      });
      return ending!;
    },
    readUsage,
  };
}
