/**
 * The two deployments whose traces are replayed.
 *
 * @module
 */

import { nyabugogo, sahil } from "@dragonflyledge/examples";
import type {
  Configuration,
  Inventory,
  Milliseconds,
  ServiceName,
} from "@dragonflyledge/model";

/** Workers, entries, network delays and configuration of a deployment. */
export interface Deployment {
  name: string;
  configuration: Configuration;
  service: ServiceName;
  inventories: Inventory[];
  domains: string[];
  /** One-way delay between failure domains. */
  oneWay: Milliseconds;
  /** One-way delay between clients and entries. */
  clientOneWay: Milliseconds;
  entries: number;
}

/** One-way delay within a failure domain. */
export const LOCAL_ONE_WAY = 0.2;

const RACK_SIZE = 3;
const GIBIBYTE_IN_MIB = 1024;

/** Lists the workers of a deployment, three to a rack. */
export function listWorkers(fields: {
  count: number;
  domains: string[];
  cores: number;
  service: ServiceName;
}): Inventory[] {
  const { count, domains, cores, service } = fields;
  return Array.from({ length: count }, (_, index) => {
    const rack = Math.floor(index / RACK_SIZE);
    return {
      worker: `w${String(index + 1).padStart(2, "0")}`,
      location: {
        region: "r1",
        failureDomain: domains[rack % domains.length]!,
        rack: `k${rack + 1}`,
      },
      capacity: { accelerators: 8, cores, memoryMiB: 128 * GIBIBYTE_IN_MIB },
      service,
      slots: 8,
      connections: 64,
    };
  });
}

function createDeployment(fields: {
  name: string;
  configuration: Configuration;
  domains: string[];
  cores: number;
  oneWay: Milliseconds;
  entries: number;
}): Deployment {
  const service = fields.configuration.services[0]!.name;
  const { name, configuration, domains, cores, oneWay, entries } = fields;
  const inventories = listWorkers({ count: 11, domains, cores, service });
  return {
    name,
    configuration,
    service,
    inventories,
    domains,
    oneWay,
    clientOneWay: 1,
    entries,
  };
}

/** Deployments by name. */
export const deployments: Readonly<Record<string, Deployment>> = {
  nyabugogo: createDeployment({
    name: "nyabugogo",
    configuration: { ...nyabugogo, version: 1 },
    domains: ["d1", "d2", "d3"],
    cores: 32,
    oneWay: 1.5,
    entries: 3,
  }),
  sahil: createDeployment({
    name: "sahil",
    configuration: { ...sahil, version: 1 },
    domains: ["d1", "d2", "d3", "d4"],
    cores: 64,
    oneWay: 0.5,
    entries: 2,
  }),
};

/** Returns the deployment of that name. */
export function deploymentOf(name: string): Deployment {
  const found = deployments[name];
  if (found === undefined) throw new Error(`no deployment is named ${name}`);
  return found;
}
