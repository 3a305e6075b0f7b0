/**
 * Program that runs an agent on the users' platform.
 *
 * @module
 */

import process from "node:process";
import { Part } from "@dragonflyledge/log";
import { readSettings } from "@dragonflyledge/platform";
import { createOutput } from "@dragonflyledge/program";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { startAgent } from "./agent.ts";

/** Milliseconds between SIGTERM and the exit, to answer calls in progress. */
const STOP_DELAY = 200;

const settings = readSettings({ environment: process.env });
const clock = createSystemClock();
const timer = createSystemTimer();
const { log, instruments, clients } = createOutput({
  part: Part.Agent,
  settings,
  clock,
  timer,
});
if (!settings.ordersByCall) {
  log.error("The worker does not take orders by calls.");
  process.exit(1);
}
const agent = startAgent({
  settings,
  clock,
  timer,
  log,
  instruments,
  clients,
});
log.info("Started.", { worker: settings.workerAddress });

process.on("SIGTERM", () => {
  log.info("Stopping.");
  agent.close();
  timer.after(STOP_DELAY, () => process.exit(0));
});
process.on("SIGHUP", () => log.info("The settings file changed."));
