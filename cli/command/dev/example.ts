/**
 * Starts an example system with the operator of development systems.
 *
 * @module
 */

import { Part } from "@dragonflyledge/log";
import type { LogLevel } from "@dragonflyledge/model";
import { createObserver } from "../daemon/observer.ts";
import { DEV_OPERATOR } from "./operator.ts";
import { startDevSystem } from "./system.ts";
import type { Deployment, DevSystem } from "./system.ts";

const SEED = 1;

/** Starts an example system, which has no configuration yet. */
export function startExample(fields: {
  deployment: Deployment;
  /** Identity of this process in its log lines. */
  id: string;
  /** Lowest level that is logged. */
  level: LogLevel;
  /** HTTP port of the first entry; the next ones follow. 0 picks free ports. */
  firstHttpPort: number;
}): Promise<DevSystem> {
  const { deployment, id, level, firstHttpPort } = fields;
  const observer = createObserver({
    part: Part.Cli,
    id,
    level,
    metrics: { port: 0, prefix: "" },
  });
  return startDevSystem({
    deployment,
    operators: [DEV_OPERATOR],
    observer,
    seed: SEED,
    firstHttpPort,
  });
}
