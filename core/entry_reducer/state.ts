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
  /** Whether the agent has an open session with this entry. */
  connected: boolean;
  connectedAt: Milliseconds;
  /** When the last session was lost. */
  lostAt: Milliseconds;
  /** Whether the agent has announced that it accepts no more work. */
  leaving: boolean;
  /** Versions of the configuration and the homes table that the agent has. */
  versions: Versions;
  /** Slots in use: the last report plus attempts accepted or ended since. */
  slotsUsed: number;
  /** Slots in use by class, counted like `slotsUsed`. */
  slotsByClass: Map<string, number>;
  /** Attempts sent since the last report and not yet answered, by class. */
  slotsPromised: Map<string, number>;
  /** Gang members on the worker, from the last report. */
  members: MemberReport[];
  /** Measured use, and how old the measurement was when it was reported. */
  usage: { cores: number; memoryMiB: number; age: Milliseconds };
  reportedAt: Milliseconds;
  /** When sessions were lost lately; an agent that flaps is damped. */
  losses: Milliseconds[];
  /** Damped, which means without new work, before this time. */
  dampedUntil: Milliseconds;
  /** Without new work before this time, unless a message arrives earlier. */
  silentUntil?: Milliseconds;
  /** Consecutive failures of work that succeeds on other workers. */
  failures: number;
  /** When the worker may be probed; 0 if it is not in quarantine. */
  quarantinedUntil: Milliseconds;
  /**
   * Whether one request or gang may be sent to the quarantined worker as a
   * probe. False while a probe runs, and without quarantine.
   */
  probeAllowed: boolean;
}

/** Everything that the reducer of an entry knows. */
export interface EntryState {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  /** Newest configuration; undefined until the first arrives. */
  configuration: Configuration | undefined;
  /** Newest homes table; undefined until the first arrives. */
  homes: HomesTable | undefined;
  agents: Map<WorkerId, AgentView>;
  /** Entries with a live lease, as last read from the store. */
  entries: EntryPresence[];
  /** Until when the entry's own lease in the store is valid. */
  leaseValidUntil: Milliseconds;
  /** Whether the entry finishes its work and then exits. */
  stopping: boolean;
  requests: RequestsState;
  jobs: JobsState;
  members: MembersState;
  /** Exchange of configuration and homes table with agents. */
  configurationState: ConfigurationState;
  /** Whether the `exit` effect was emitted. */
  exitEmitted: boolean;
  /** Computation of the homes table. */
  homesState: HomesState;
}

/** Adds an effect to those of the current event. */
export type Emit = (effect: EntryEffect) => void;
