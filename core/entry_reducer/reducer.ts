/**
 * The reducer of the entry daemon, composed of one reducer for each concern.
 *
 * @module
 */

import type {
  EntryEffect,
  EntryEvent,
  EntryId,
  Incarnation,
  Random,
} from "@dragonflyledge/model";
import { reduceConfiguration } from "./configuration/reduce.ts";
import { createConfigurationState } from "./configuration/state.ts";
import { reduceHomes } from "./homes/reduce.ts";
import { createHomesState } from "./homes/state.ts";
import { reduceJobs } from "./jobs/reduce.ts";
import { jobsSettled } from "./jobs/handover.ts";
import { createJobsState } from "./jobs/state.ts";
import { reduceMembers } from "./members/reduce.ts";
import { createMembersState } from "./members/state.ts";
import { reduceRequests } from "./requests/reduce.ts";
import { requestsSettled } from "./requests/settled.ts";
import { createRequestsState } from "./requests/state.ts";
import type { EntryState } from "./state.ts";

/** Applies events to the state of one entry, without input or output. */
export interface EntryReducer {
  readonly state: EntryState;
  /** Updates the state in place and returns the effects to perform. */
  reduce(event: EntryEvent): EntryEffect[];
}

/** Creates the reducer with the state of an entry that has just started. */
export function createEntryReducer(fields: {
  id: EntryId;
  incarnation: Incarnation;
  random: Random;
  /** Failure domain of the entry; its agents are preferred on equal load. */
  failureDomain?: string;
}): EntryReducer {
  const state: EntryState = {
    id: fields.id,
    incarnation: fields.incarnation,
    random: fields.random,
    configuration: undefined,
    homes: undefined,
    agents: new Map(),
    entries: [],
    leaseValidUntil: 0,
    stopping: false,
    requests: createRequestsState(),
    jobs: createJobsState(),
    members: createMembersState(fields.failureDomain ?? ""),
    configurationState: createConfigurationState(),
    exitEmitted: false,
    homesState: createHomesState(),
  };
  return { state, reduce: (event) => reduceEvent(state, event) };
}

/**
 * Passes an event to each reducer. Members and configuration come first, so
 * that the decisions of the others are based on them.
 */
function reduceEvent(state: EntryState, event: EntryEvent): EntryEffect[] {
  const effects: EntryEffect[] = [];
  const emit = (effect: EntryEffect) => {
    effects.push(effect);
  };
  if (event.kind === "stopRequested") state.stopping = true;
  reduceMembers(state, event, emit);
  reduceConfiguration(state, event, emit);
  reduceHomes(state, event, emit);
  reduceRequests(state, event, emit);
  reduceJobs(state, event, emit);
  emitExit(state, emit);
  return effects;
}

/** Emits `exit` once, when nothing is left to finish or to hand over. */
function emitExit(state: EntryState, emit: (effect: EntryEffect) => void) {
  if (!state.stopping || state.exitEmitted) return;
  if (!requestsSettled(state) || !jobsSettled(state)) return;
  state.exitEmitted = true;
  emit({ kind: "exit" });
}
