/**
 * Finds free ports for the processes that tests start.
 *
 * @module
 */

import { createServer } from "node:net";

/**
 * Ports are taken from below the range that the operating system uses for
 * outgoing connections, so that no such connection takes a port in between.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

/**
 * Returns a port that is currently free on all of the hosts. It is not
 * reserved: another process may take it before the caller listens.
 */
export async function findFreePort(...hosts: string[]): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) return port;
  }
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
