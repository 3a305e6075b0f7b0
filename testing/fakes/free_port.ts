/**
 * Finds free ports for the processes that tests start.
 *
 * @module
 */

import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

/**
 * Ports are taken from below the range that the operating system uses for
 * outgoing connections, so that no such connection takes a port in between.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
/** Holds one file for each reserved port, with the id of its process. */
const RESERVATIONS = join(tmpdir(), "dragonflyledge-ports");

const reserved = new Set<number>();

/**
 * Returns a port that is free on all of the hosts. It is reserved among all
 * processes that use this function until the calling one has ended.
 */
export async function findFreePort(...hosts: string[]): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!reserve(port)) continue;
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) return port;
    release(port);
  }
}

/** Reserves the port; returns whether no other living process holds it. */
function reserve(port: number): boolean {
  if (reserved.size === 0) {
    mkdirSync(RESERVATIONS, { recursive: true });
    process.once("exit", () => reserved.forEach(release));
  }
  if (reserved.has(port)) return false;
  const path = join(RESERVATIONS, String(port));
  if (!create(path)) {
    if (isAlive(path)) return false;
    rmSync(path, { force: true });
    if (!create(path)) return false;
  }
  reserved.add(port);
  return true;
}

function release(port: number): void {
  reserved.delete(port);
  rmSync(join(RESERVATIONS, String(port)), { force: true });
}

/** Creates the file unless it exists. */
function create(path: string): boolean {
  try {
    writeFileSync(path, String(process.pid), { flag: "wx" });
    return true;
  } catch {
    // Another process has created it.
    return false;
  }
}

/** Whether the process that holds the reservation still runs. */
function isAlive(path: string): boolean {
  try {
    const holder = Number(readFileSync(path, "utf8"));
    // The holder has created the file and not written it yet.
    if (holder === 0) return true;
    process.kill(holder, 0);
    return true;
  } catch {
    // The holder has ended, or has just removed the file.
    return false;
  }
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
