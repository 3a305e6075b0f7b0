/**
 * Changes of the configuration, also of large ones while the store is away for
 * some entries.
 *
 * @module
 */

import { pick, sleep, toNames } from "./fault_target.ts";
import type { Fault, FaultTarget } from "./fault_target.ts";
import type { LongFault } from "./overtaking_faults.ts";

/** Queues of a large configuration, which has some 330 kB. */
const IDLE_QUEUES = 1500;
/**
 * Speed of the entries' links to the store where large configurations are drawn,
 * in bytes per second: that of the slowest machines of our users.
 */
export const SLOW_LINK_SPEED = 1_250_000;
/** Time between two large configurations of a series, in milliseconds. */
const SERIES_INTERVAL = 500;

/** Writes versions one after the other for some time. */
async function writeSeries(
  { versions }: FaultTarget,
  count: number,
  interval: number,
  idleQueues?: number,
): Promise<void> {
  for (let written = 0; written < count; written++) {
    versions.write(idleQueues);
    await sleep(interval);
  }
}

/** Changes of the configuration by name. */
export const CONFIGURATION_FAULTS: Record<string, Fault> = {
  /** Writes a new configuration. */
  configure: ({ versions }) => {
    versions.write();
    return [];
  },
  /** Writes five configurations, one each 300 ms. */
  configureOften: async (target) => {
    await writeSeries(target, 5, 300);
    return [];
  },
};

const SERIES = { shortest: 500, longest: 6000 };
const OUTAGE = { shortest: 1000, longest: 9000 };

/** Changes to large configurations by name, with bounds of their durations. */
export const LARGE_CONFIGURATION_FAULTS: Record<string, LongFault> = {
  /** Writes large configurations in series. */
  configureLarge: {
    ...SERIES,
    inject: (target, time) => {
      const count = Math.ceil(time / SERIES_INTERVAL);
      void writeSeries(target, count, SERIES_INTERVAL, IDLE_QUEUES);
      return [];
    },
  },
  /** Writes them while the store does not answer some entries, or refuses them. */
  configureWhileAway: {
    ...OUTAGE,
    inject: (target, time) => {
      const { entries } = target.programs;
      const spared = pick(target, entries);
      const away = entries.filter((entry) => entry !== spared);
      const refuses = target.random() < 0.5;
      for (const { relays: { store } } of away) {
        if (refuses) {
          store.cut();
          store.refuse(true);
        } else {
          store.silence();
          store.mute(true);
        }
      }
      setTimeout(() => {
        for (const { relays: { store } } of away) {
          store.refuse(false);
          store.mute(false);
          store.cut();
        }
      }, time);
      const count = Math.floor(time / SERIES_INTERVAL);
      void writeSeries(target, count, SERIES_INTERVAL, IDLE_QUEUES);
      return toNames(away);
    },
  },
};
