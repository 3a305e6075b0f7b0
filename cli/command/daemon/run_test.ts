import process from "node:process";
import { test } from "tap";
import { runUntilStopped } from "./run.ts";

/** Creates a daemon that counts the calls to `stop` and ends at the first. */
function createDaemon() {
  let end = () => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  const daemon = { stops: 0, ended, stop: () => void (daemon.stops++, end()) };
  return daemon;
}

// Guards against a signal during the start that kills the process at once, so
// that its presence and its sessions are not ended.
test("a signal during the start stops the daemon after the start", async (t) => {
  const daemon = createDaemon();
  await runUntilStopped(() => {
    process.emit("SIGTERM");
    return Promise.resolve(daemon);
  });
  t.equal(daemon.stops, 1);
});

// Guards against a signal that does not stop the daemon, and against signal
// handlers that remain after the daemon has ended.
test("a signal stops a running daemon and its signal handlers are removed", async (t) => {
  const daemon = createDaemon();
  const before = process.listenerCount("SIGTERM");
  const run = runUntilStopped(() => Promise.resolve(daemon));
  await Promise.resolve();
  process.emit("SIGTERM");
  await run;
  t.equal(daemon.stops, 1);
  t.equal(process.listenerCount("SIGTERM"), before);
});
