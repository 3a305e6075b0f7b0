/**
 * Leases of gangs: renewal, takeover by a higher epoch, lapse.
 *
 * @module
 */

import { MemberState, MINUTE } from "@dragonflyledge/model";
import type {
  EntryId,
  Milliseconds,
  Renew,
  StopRun,
  ThrottleRun,
} from "@dragonflyledge/model";
import type { Members } from "./members.ts";
import { boundedLease } from "./reservations.ts";
import type { Reservations } from "./reservations.ts";
import { isHolding } from "./runs.ts";
import type { Runs } from "./runs.ts";
import { count, log, runKey } from "./state.ts";
import type { Core, Run } from "./state.ts";

/** How long ended runs are remembered, to answer late renewals. */
export const ENDED_RUN_RETENTION = 10 * MINUTE;

/** Operations on running gangs. */
export interface Leases {
  /**
   * Extends the lease of a run, which may have an older epoch than the message
   * names, and answers with the states of the members.
   */
  renew(entry: EntryId, message: Renew): void;
  /**
   * Stops a run, after a checkpoint if asked, or drops its reservation.
   * Answers with the states of the members.
   */
  stop(entry: EntryId, message: StopRun): void;
  /** Limits the processor time of the members of a run. */
  throttle(message: ThrottleRun): void;
  /** Stops gangs whose lease has lapsed, and forgets old ended runs. */
  expire(): void;
}

/** Creates the operations on running gangs. */
export function createLeases(fields: {
  core: Core;
  runs: Runs;
  members: Members;
  reservations: Reservations;
}): Leases {
  const { core, runs, members, reservations } = fields;

  /** Moves the run of a job to a higher epoch. Returns false for a stale one. */
  function takeOver(message: Renew | StopRun): boolean {
    const { run: id } = message;
    if (!reservations.fence(id, true)) return false;
    const run = runs.findLatest(id.job);
    if (run === undefined || run.id.epoch >= id.epoch) return true;
    count(core, "runs.taken-over");
    runs.raiseEpoch(run, id);
    // An ended run has not run under this epoch, so a start may still use it.
    if (core.runs.has(runKey(id))) runs.epochOf(id.job)!.started = true;
    return true;
  }

  function extend(run: Run, lease: Milliseconds): void {
    // If the stop was lost, the lapse of the worker's lease ends the tasks.
    if (run.phase !== "committed" || run.stopSentAt !== -Infinity) return;
    run.leaseUntil = core.now + lease;
    for (const member of run.members) {
      const { state } = member.report;
      if (!isHolding(member.report) || state === MemberState.Stopping) continue;
      core.effects.push({ kind: "renewTask", task: member.task, lease });
    }
  }

  return {
    renew(entry, message) {
      if (takeOver(message)) {
        const run = core.runs.get(runKey(message.run));
        if (run !== undefined) {
          run.entry = entry;
          extend(run, boundedLease(message.lease));
        }
      }
      runs.sendCurrentState(entry, message.run);
    },
    stop(entry, message) {
      const run = takeOver(message)
        ? core.runs.get(runKey(message.run))
        : undefined;
      if (run !== undefined) {
        run.entry = entry;
        if (run.phase === "committed") members.stop(run, message.checkpoint);
        else {
          runs.drop(run);
          reservations.grantPending();
        }
      }
      runs.sendCurrentState(entry, message.run);
    },
    throttle(message) {
      const run = core.runs.get(runKey(message.run));
      if (run?.phase !== "committed") return;
      for (const member of run.members) {
        if (!isHolding(member.report)) continue;
        const { share } = message;
        core.effects.push({ kind: "throttleTask", task: member.task, share });
      }
    },
    expire() {
      for (const run of core.runs.values()) {
        if (run.phase !== "committed" || core.now < run.leaseUntil) continue;
        if (run.stopSentAt !== -Infinity) continue;
        count(core, "leases.lapsed");
        log(core, "warn", "The lease of a gang has lapsed.", {
          job: run.id.job,
          epoch: run.id.epoch,
        });
        members.stop(run, false);
      }
      for (const [key, run] of core.ended) {
        if (core.now - run.endedAt < ENDED_RUN_RETENTION) break;
        core.ended.delete(key);
      }
    },
  };
}
