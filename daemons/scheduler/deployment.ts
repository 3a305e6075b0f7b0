/**
 * The configuration in force at an entry, and whether it may still be the newest.
 * A version is never given up for a lower one, whichever way that arrives.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import { decodeConfiguration } from "@dragonflyledge/platform";
import type { Deployment } from "@dragonflyledge/platform";

/** Configuration in force; undefined before the first one. */
export interface DeploymentHolder {
  current(): Deployment | undefined;
  /** Time since the configuration was last known to be the newest. */
  age(): Milliseconds;
  /**
   * Whether the configuration decides on requests: no newer one can have been
   * due for longer than the bound, and no caller was answered by a newer one.
   */
  isConfirmed(): boolean;
  /**
   * Highest version by which callers of this entry may have been answered, here
   * or by a peer; 0 if there is none.
   */
  newestUsed(): number;
  /** Puts a configuration in force if it is newer than the present one. */
  apply(bytes: Uint8Array): void;
  /** Notes that another entry has answered a caller of this one by a version. */
  noteUsed(version: number): void;
}

/** Creates a holder without a configuration. */
export function createDeploymentHolder(fields: {
  /** Time since the store's configuration was last known. */
  age: () => Milliseconds;
  /** Time after which a configuration that the store took must be in force. */
  bound: Milliseconds;
  onNewer: (deployment: Deployment) => void;
  log: Log;
}): DeploymentHolder {
  const { age, log } = fields;
  let deployment: Deployment | undefined;
  let usedByPeers = 0;

  const newestUsed = () => Math.max(usedByPeers, deployment?.version ?? 0);
  return {
    current: () => deployment,
    age,
    isConfirmed: () =>
      deployment?.version === newestUsed() && age() <= fields.bound,
    newestUsed,
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
      log.info("Configuration in force.", {
        version,
        queues: queues.length,
        teams: teams.length,
      });
      fields.onNewer(decoded);
    },
    noteUsed: (version) => {
      usedByPeers = Math.max(usedByPeers, version);
    },
  };
}
