/**
 * The configuration in force at an entry. A version is never given up for a
 * lower one, whichever way that arrives.
 *
 * @module
 */

import type { Log } from "@dragonflyledge/log";
import { decodeConfiguration } from "@dragonflyledge/platform";
import type { Deployment } from "@dragonflyledge/platform";
import type { StoredConfiguration } from "./peers.ts";

/** Configuration in force; undefined before the first one. */
export interface DeploymentHolder {
  current(): Deployment | undefined;
  stored(): StoredConfiguration | undefined;
  /** Puts a configuration in force if it is newer than the present one. */
  apply(bytes: Uint8Array): void;
}

/** Creates a holder without a configuration. */
export function createDeploymentHolder(fields: {
  onNewer: (deployment: Deployment) => void;
  log: Log;
}): DeploymentHolder {
  const { log } = fields;
  let deployment: Deployment | undefined;
  let stored: StoredConfiguration | undefined;
  return {
    current: () => deployment,
    stored: () => stored,
    apply: (bytes) => {
      const decoded = decodeConfiguration(bytes);
      if (!decoded) return log.error("The configuration can't be decoded.");
      const { version, queues, teams } = decoded;
      if (deployment && version < deployment.version) {
        const inForce = deployment.version;
        return log.info("Configuration ignored.", { version, inForce });
      }
      if (version === deployment?.version) return;
      deployment = decoded;
      stored = { version, bytes };
      log.info("Configuration in force.", {
        version,
        queues: queues.length,
        teams: teams.length,
      });
      fields.onNewer(decoded);
    },
  };
}
