/**
 * Reads the description of a fleet against which a configuration is checked.
 *
 * @module
 */

import { CommandFailure } from "../failure.ts";
import { asList } from "../output.ts";

/** Workers of one kind. */
export interface FleetWorkers {
  count: number;
  service: string;
  /** Accelerators of each worker. */
  accelerators: number;
  labels: string[];
  /** How fast they run, compared with the usual rate of 1. */
  rate: number;
}

/**
 * Returns the workers of a list, or of a member `workers` that holds it. Throws
 * a `CommandFailure` if it is no such list. Count and rate are 1 by default,
 * the other members but for the service empty or 0.
 */
export function toFleet(value: unknown, peer: string): FleetWorkers[] {
  const workers = asList(value, "workers").map((each) => ({
    count: each["count"] ?? 1,
    service: each["service"],
    accelerators: each["accelerators"] ?? 0,
    labels: each["labels"] ?? [],
    rate: each["rate"] ?? 1,
  }));
  if (workers.length > 0 && workers.every(isFleetWorkers)) return workers;
  throw new CommandFailure({
    exit: "Invalid",
    step: "check",
    peer,
    message: `${peer} is not a list of workers`,
    hint: "Each needs a service, and may have count, accelerators, labels " +
      "and rate.",
  });
}

function isFleetWorkers(
  fields: Record<keyof FleetWorkers, unknown>,
): fields is FleetWorkers {
  const { count, service, accelerators, labels, rate } = fields;
  return isNumber(count) && isNumber(accelerators) && isNumber(rate) &&
    rate > 0 && typeof service === "string" && Array.isArray(labels) &&
    labels.every((label) => typeof label === "string");
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
