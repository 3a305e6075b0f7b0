/**
 * The two example deployments, at their current sizes.
 *
 * @module
 */

import { nyabugogo, sahil } from "@dragonflyledge/examples";
import { KIBIBYTE } from "@dragonflyledge/model";
import type { Configuration } from "@dragonflyledge/model";
import type { Deployment } from "./system.ts";

/** Memory of a worker in MiB: 128 GiB. */
const MEMORY_MIB = 128 * KIBIBYTE;

/** An example deployment with its configuration. */
export interface Example {
  deployment: Deployment;
  configuration: Configuration;
}

/** Example deployments by name. */
export const EXAMPLES: Record<string, Example> = {
  nyabugogo: {
    configuration: nyabugogo,
    deployment: {
      region: "kigali",
      failureDomains: ["kigali-a", "kigali-b", "kigali-c"],
      service: "fryer-line-planning",
      workers: 11,
      entries: 2,
      capacity: { accelerators: 8, cores: 32, memoryMiB: MEMORY_MIB },
      slots: 8,
      connections: 64,
    },
  },
  sahil: {
    configuration: sahil,
    deployment: {
      region: "muscat",
      failureDomains: ["muscat-a", "muscat-b", "muscat-c", "muscat-d"],
      service: "kit-ordering",
      workers: 11,
      entries: 2,
      capacity: { accelerators: 8, cores: 64, memoryMiB: MEMORY_MIB },
      slots: 8,
      connections: 64,
    },
  },
};
