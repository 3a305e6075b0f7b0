/**
 * Graceful shutdown: the agent refuses new work, stops its members and lets its
 * attempts end.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Answers } from "./answers.ts";
import type { Members } from "./members.ts";
import type { Reservations } from "./reservations.ts";
import { log } from "./state.ts";
import type { Core } from "./state.ts";

/** Margin for the time that the last renewal took to reach the worker. */
const LEASE_MARGIN = 1 * SECOND;

/** Operations of the shutdown. */
export interface Shutdown {
  /** Refuses new work and ends all members; repeated calls change nothing. */
  leave(): void;
  /** Leaves, and lets `exitIfIdle` exit once everything has ended. */
  exit(): void;
  /** Drops all reservations, and stops all members after a checkpoint. */
  stopMembers(): void;
  /**
   * Emits `exit`, once, if it was asked for, no attempt or task runs any more,
   * and no answer waits for its entry.
   */
  exitIfIdle(): void;
}

/** Creates the shutdown over the state of one agent. */
export function createShutdown(fields: {
  core: Core;
  answers: Answers;
  members: Members;
  reservations: Reservations;
}): Shutdown {
  const { core, answers, members, reservations } = fields;

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
      if (core.openCalls.size > 0 || answers.hasUndelivered()) return;
      for (const run of core.runs.values()) {
        // The worker ends tasks after their lease even if it reports nothing.
        if (core.now < run.leaseUntil + LEASE_MARGIN) return;
      }
      core.exitEmitted = true;
      core.effects.push({ kind: "exit" });
    },
  };
}
