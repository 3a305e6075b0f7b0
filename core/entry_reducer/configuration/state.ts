/**
 * State of the exchange of configuration and homes with agents.
 *
 * @module
 */

import type { Milliseconds, Versions } from "@dragonflyledge/model";

/** What the entry has accepted and fetched. */
export interface ConfigurationState {
  /** Highest versions that were ever accepted; 0 before the first. */
  accepted: Versions;
  /** Versions of the agent that was asked last. */
  asked: Versions;
  /** Until when the answer of that agent is awaited. */
  askedUntil: Milliseconds;
}

/** Creates the state of an entry that has accepted no document. */
export function createConfigurationState(): ConfigurationState {
  return {
    accepted: { configuration: 0, homes: 0 },
    asked: { configuration: 0, homes: 0 },
    askedUntil: 0,
  };
}
