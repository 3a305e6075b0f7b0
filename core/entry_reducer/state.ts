/**
 * State of an entry, owned by its reducer and updated in place.
 *
 * @module
 */

import type {
  Configuration,
  EntryEffect,
  EntryId,
  EntryPresence,
  HomesTable,
  Incarnation,
  Inventory,
  MemberReport,
  Milliseconds,
  Random,
  Versions,
  WorkerId,
} from "@dragonflyledge/model";
import type { ConfigurationState } from "./configuration/state.ts";
import type { HomesState } from "./homes/state.ts";
import type { JobsState } from "./jobs/state.ts";
import type { MembersState } from "./members/state.ts";
import type { RequestsState } from "./requests/state.ts";

/** What an entry knows about one agent and its worker. */
export interface AgentView {
  worker: WorkerId;
  incarnation: Incarnation;
  inventory: Inventory;
  connected: boolean;
  connectedAt: Milliseconds;
  lostAt: Milliseconds;
  leaving: boolean;
  versions: Versions;
  slotsUsed: number;
  slotsByClass: Map<string, number>;
  /** Attempts sent since the last report and not yet answered, by class. */
  slotsPromised: Map<string, number>;
  members: MemberReport[];
  usage: { cores: number; memoryMiB: number; age: Milliseconds };
  reportedAt: Milliseconds;
  /** Times of recent losses, for damping of an agent that flaps. */
  losses: Milliseconds[];
  /** No new work before this time. */
  dampedUntil: Milliseconds;
  /** No new work before this time unless the agent says something. */
  silentUntil?: Milliseconds;
  /** Consecutive failures of work that others run. */
  failures: number;
  quarantinedUntil: Milliseconds;
  /** One piece of work may be sent to a quarantined worker as a probe. */
  probeAllowed: boolean;
}

export interface EntryState {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  configuration: Configuration | undefined;
  homes: HomesTable | undefined;
  agents: Map<WorkerId, AgentView>;
  entries: EntryPresence[];
  /** The entry's own lease in the store is valid until then. */
  leaseValidUntil: Milliseconds;
  stopping: boolean;
  requests: RequestsState;
  jobs: JobsState;
  members: MembersState;
  configurationState: ConfigurationState;
  /** Whether the `exit` effect was emitted. */
  exitEmitted: boolean;
  homesState: HomesState;
}

/** Collects the effects of one event. */
export type Emit = (effect: EntryEffect) => void;
