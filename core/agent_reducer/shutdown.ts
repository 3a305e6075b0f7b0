/**
 * Graceful shutdown: no new work, members stopped, attempts finished.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Members } from "./members.ts";
import type { Reservations } from "./reservations.ts";
import { log } from "./state.ts";
import type { Core } from "./state.ts";

/** Allowance for the delay of the last renewal on its way to the worker. */
const LEASE_MARGIN = 1 * SECOND;

/** Operations of the shutdown. */
export interface Shutdown {
  /** Refuses new work and ends all members; repeated calls change nothing. */
  leave(): void;
  /** Leaves, and exits once everything has ended. */
  exit(): void;
  /** Ends what was found after the agent began to leave. */
  stopMembers(): void;
  /** Emits `exit` when nothing runs any more. */
  exitIfIdle(): void;
}

/** Creates the shutdown over the state of one agent. */
export function createShutdown(fields: {
  core: Core;
  members: Members;
  reservations: Reservations;
}): Shutdown {
  const { core, members, reservations } = fields;

  function stopMembers(): void {
    for (const run of [...core.runs.values()]) {
      if (run.phase === "committed") members.stop(run, true);
      else reservations.revoke(run, "leaving");
    }
  }

  function leave(): void {
    if (core.state.leaving) return;
    core.state.leaving = true;
    core.membersChanged = true;
    log(core, "info", "The agent is leaving.", {
      attempts: core.openCalls.size,
      runs: core.runs.size,
    });
    stopMembers();
  }

  return {
    leave,
    stopMembers,
    exit() {
      core.exitRequested = true;
      leave();
    },
    exitIfIdle() {
      if (!core.exitRequested || core.exitEmitted) return;
      if (core.openCalls.size > 0) return;
      for (const run of core.runs.values()) {
        // The worker ends tasks whose lease has lapsed, even if it is mute.
        if (core.now < run.leaseUntil + LEASE_MARGIN) return;
      }
      core.exitEmitted = true;
      core.effects.push({ kind: "exit" });
    },
  };
}
