/**
 * Runs a daemon until it has ended after a signal.
 *
 * @module
 */

import process from "node:process";

/** What is run: it ends after `stop`. */
export interface Stoppable {
  stop(): void;
  readonly ended: Promise<void>;
}

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Stops the daemon gracefully on a signal; further signals change nothing. */
export async function runUntilStopped(daemon: Stoppable): Promise<void> {
  const stop = () => daemon.stop();
  for (const signal of SIGNALS) process.on(signal, stop);
  await daemon.ended;
  for (const signal of SIGNALS) process.off(signal, stop);
}
