/**
 * Faults of the connections to the store, between processes and to workers.
 *
 * @module
 */

import type { Relay } from "@dragonflyledge/fakes";
import { listProcesses, pick, toNames } from "./fault_target.ts";
import type { AffectedNames, Fault, FaultTarget } from "./fault_target.ts";

/** Picks a relay of any process, and names what its faults affect. */
function pickRelay(
  target: FaultTarget,
): { relay: Relay; affected: AffectedNames } {
  const process = pick(target, listProcesses(target));
  const kind = pick(target, ["store", "links", "worker"] as const);
  const relay = process.relays[kind] ?? process.relays.links;
  // The other end of a link is not known here, so all processes count.
  const affected = kind === "store"
    ? [process.name]
    : toNames(listProcesses(target));
  return { relay, affected };
}

function pickDirection(target: FaultTarget) {
  return pick(target, ["to-target", "to-caller", "both"] as const);
}

/** Faults of connections by name. */
export const LINK_FAULTS: Record<string, Fault> = {
  /** Closes the connections of a relay. */
  cut: (target) => {
    const { relay, affected } = pickRelay(target);
    relay.cut();
    return affected;
  },
  /** Stops the open connections of a relay from carrying data. */
  silence: (target) => {
    const { relay, affected } = pickRelay(target);
    relay.silence(pickDirection(target));
    return affected;
  },
  /** Delays the data of a relay by 800 ms. */
  delay: (target, time) => {
    const { relay, affected } = pickRelay(target);
    const direction = pickDirection(target);
    relay.delay(800, direction);
    setTimeout(() => relay.delay(0, direction), time);
    return affected;
  },
  /** Separates both ends of a relay, on open and new connections. */
  part: (target, time) => {
    const { relay, affected } = pickRelay(target);
    relay.silence();
    relay.mute(true);
    setTimeout(() => {
      relay.mute(false);
      relay.cut();
    }, time);
    return affected;
  },
  /** Closes the connections of a relay and refuses new ones. */
  refuse: (target, time) => {
    const { relay, affected } = pickRelay(target);
    relay.cut();
    relay.refuse(true);
    setTimeout(() => relay.refuse(false), time);
    return affected;
  },
};
