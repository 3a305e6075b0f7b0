import process from "node:process";
import { test } from "tap";
import { runUntilStopped } from "./run.ts";

/** A daemon that ends when it is stopped, and counts the calls. */
function createDaemon() {
  let end = () => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  const daemon = { stops: 0, ended, stop: () => void (daemon.stops++, end()) };
  return daemon;
}

// Guards against a process that a signal during its start kills, which leaves
// presence and sessions behind.
test("a signal during the start stops the daemon after it", async (t) => {
  const daemon = createDaemon();
  await runUntilStopped(() => {
    process.emit("SIGTERM");
    return Promise.resolve(daemon);
  });
  t.equal(daemon.stops, 1);
});

// Guards against handlers that stay after the daemon has ended.
test("a signal stops a running daemon", async (t) => {
  const daemon = createDaemon();
  const before = process.listenerCount("SIGTERM");
  const run = runUntilStopped(() => Promise.resolve(daemon));
  await Promise.resolve();
  process.emit("SIGTERM");
  await run;
  t.equal(daemon.stops, 1);
  t.equal(process.listenerCount("SIGTERM"), before);
});
