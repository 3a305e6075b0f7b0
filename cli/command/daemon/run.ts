/**
 * Runs a daemon until it ends, and stops it on SIGTERM or SIGINT.
 *
 * @module
 */

import process from "node:process";

/** Daemon that has been started. */
export interface RunningDaemon {
  /** Starts a graceful stop. Calls after the first one have no effect. */
  stop(): void;
  /** Resolves when the daemon has ended. */
  readonly ended: Promise<void>;
}

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Starts a daemon, stops it gracefully on SIGTERM or SIGINT, and returns when
 * it has ended. A signal during the start stops the daemon as soon as the start
 * is complete. Further signals have no effect.
 */
export async function runUntilStopped(
  start: () => Promise<RunningDaemon>,
): Promise<void> {
  let daemon: RunningDaemon | undefined;
  let stopRequested = false;
  const stop = () => {
    stopRequested = true;
    daemon?.stop();
  };
  for (const signal of SIGNALS) process.on(signal, stop);
  try {
    daemon = await start();
    if (stopRequested) daemon.stop();
    await daemon.ended;
  } finally {
    for (const signal of SIGNALS) process.off(signal, stop);
  }
}
