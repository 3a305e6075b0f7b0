/**
 * Program of the agent on the users' platform.
 *
 * @module
 */

import process from "node:process";
import { createLog, Part } from "@dragonflyledge/log";
import { readSettings } from "@dragonflyledge/platform";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { startAgent } from "./agent.ts";

/** Calls that are being answered get this long at a stop. */
const STOP_DELAY = 200;

/** The worker takes orders by calls. */
const ORDER_BY_CALL = "rpc";

const settings = readSettings({ environment: process.env });
const log = createLog({
  part: Part.Agent,
  level: "info",
  stream: process.stdout,
  fields: { node: settings.name },
});
if (settings.controlMode !== ORDER_BY_CALL) {
  log.error("The control mode is not supported.", {
    controlMode: settings.controlMode,
  });
  process.exit(1);
}
const timer = createSystemTimer();
const agent = startAgent({ settings, clock: createSystemClock(), timer, log });
log.info("Started.", { worker: settings.workerAddress });

process.on("SIGTERM", () => {
  log.info("Stopping.");
  agent.close();
  timer.after(STOP_DELAY, () => process.exit(0));
});
process.on("SIGHUP", () => log.info("The settings file changed."));
