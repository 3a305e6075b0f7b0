/**
 * Versions of the configuration that a soak has written to the store.
 *
 * @module
 */

import { createConfiguration } from "../configuration.ts";
import type { StoreServer } from "../store_server.ts";

/** The versions written so far; the first is 1. */
export interface ConfigurationVersions {
  newest(): number;
  /** Writes the next version, with queues that nobody calls. */
  write(idleQueues?: number): void;
  /** Highest version that the store took by then, in milliseconds. */
  acknowledgedBy(time: number): number;
}

/** Creates the list of versions of a store that holds version 1. */
export function createConfigurationVersions(
  store: StoreServer,
): ConfigurationVersions {
  const acknowledgedAt = [performance.now()];
  return {
    newest: () => acknowledgedAt.length,
    write: (idleQueues) => {
      const version = acknowledgedAt.length + 1;
      store.put("op/config", createConfiguration(version, idleQueues));
      acknowledgedAt.push(performance.now());
    },
    acknowledgedBy: (time) => acknowledgedAt.filter((at) => at <= time).length,
  };
}
