/**
 * Runs a daemon until it has ended after a signal.
 *
 * @module
 */

import process from "node:process";

/** What is run: it ends after `stop`. */
export interface RunningDaemon {
  stop(): void;
  readonly ended: Promise<void>;
}

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Starts the daemon, and stops it gracefully on a signal; further signals
 * change nothing. A signal during the start takes effect after it.
 */
export async function runUntilStopped(
  start: () => Promise<RunningDaemon>,
): Promise<void> {
  let daemon: RunningDaemon | undefined;
  let asked = false;
  const stop = () => {
    asked = true;
    daemon?.stop();
  };
  for (const signal of SIGNALS) process.on(signal, stop);
  try {
    daemon = await start();
    if (asked) daemon.stop();
    await daemon.ended;
  } finally {
    for (const signal of SIGNALS) process.off(signal, stop);
  }
}
