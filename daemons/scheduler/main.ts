/**
 * Program that runs an entry on the users' platform until SIGTERM.
 *
 * @module
 */

import process from "node:process";
import { Part } from "@dragonflyledge/log";
import { readSettings } from "@dragonflyledge/platform";
import { createOutput } from "@dragonflyledge/program";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { startEntry } from "./entry.ts";

const settings = readSettings({ environment: process.env });
const clock = createSystemClock();
const timer = createSystemTimer();
const { log, instruments, clients } = createOutput({
  part: Part.Entry,
  settings,
  clock,
  timer,
});
const entry = startEntry({
  settings,
  clock,
  timer,
  log,
  instruments,
  clients,
});
log.info("Started.", { failureDomain: settings.failureDomain });

let stopping = false;
process.on("SIGTERM", () => {
  if (stopping) return;
  stopping = true;
  log.info("Stopping.");
  entry.drain().then(() => {
    log.info("Stopped.");
    process.exit(0);
  });
});
process.on("SIGHUP", () => log.info("The settings file changed."));
