/**
 * State of the exchange of configuration and homes with agents.
 *
 * @module
 */

import type { Milliseconds, Versions } from "@dragonflyledge/model";

export interface ConfigurationState {
  /** Highest versions ever accepted. */
  accepted: Versions;
  /** Versions that were asked for last. */
  asked: Versions;
  /** Until then, the answer to the last question is awaited. */
  askedUntil: Milliseconds;
}

export function createConfigurationState(): ConfigurationState {
  return {
    accepted: { configuration: 0, homes: 0 },
    asked: { configuration: 0, homes: 0 },
    askedUntil: 0,
  };
}
