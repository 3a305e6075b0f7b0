/**
 * Program of the entry on the users' platform.
 *
 * @module
 */

import process from "node:process";
import { createLog, Part } from "@dragonflyledge/log";
import { readSettings } from "@dragonflyledge/platform";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { startEntry } from "./entry.ts";

const settings = readSettings({ environment: process.env });
const log = createLog({
  part: Part.Entry,
  level: "info",
  stream: process.stdout,
  fields: { node: settings.name },
});
const entry = startEntry({
  settings,
  clock: createSystemClock(),
  timer: createSystemTimer(),
  log,
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
