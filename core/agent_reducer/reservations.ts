/**
 * Reservations of capacity for gangs: reserve, commit, release, lapse.
 *
 * @module
 */

import { GANG_LEASE, RECLAIM_GRACE } from "@dragonflyledge/model";
import type {
  Commit,
  EntryId,
  Milliseconds,
  Reserve,
  ReserveRefused,
  RunId,
} from "@dragonflyledge/model";
import type { Members } from "./members.ts";
import { acceleratorsOf } from "./reclaim.ts";
import type { Reclaim } from "./reclaim.ts";
import { fits, isEnding, sharedAccelerators, sumNeeds } from "./runs.ts";
import type { Runs } from "./runs.ts";
import { count, log, runKey, send } from "./state.ts";
import type { Core, Run } from "./state.ts";

/** Operations on reservations. */
export interface Reservations {
  reserve(entry: EntryId, message: Reserve): void;
  commit(entry: EntryId, message: Commit): void;
  release(entry: EntryId, id: RunId): void;
  /** Notes an epoch and ends what it fences off; false if it is stale. */
  fence(id: RunId, keepCommitted: boolean): boolean;
  /** Holds reservations whose capacity has become free. */
  grantPending(): void;
  /** Drops reservations whose time is over. */
  expire(): void;
  /** Drops a reservation and tells its entry. */
  revoke(run: Run, cause: string): void;
}

/** Creates the operations on reservations. */
export function createReservations(fields: {
  core: Core;
  runs: Runs;
  reclaim: Reclaim;
  members: () => Members;
}): Reservations {
  const { core, runs, reclaim, members } = fields;

  function revoke(run: Run, cause: string): void {
    count(core, "reservations.dropped", { cause });
    runs.drop(run);
    runs.sendState(run.entry, run.id);
  }

  function fence(id: RunId, keepCommitted: boolean): boolean {
    const known = runs.epochOf(id.job);
    if (known !== undefined && id.epoch < known.epoch) return false;
    if (!runs.recordEpoch(id)) return true;
    for (const run of [...core.runs.values()]) {
      if (run.id.job !== id.job || run.id.epoch >= id.epoch) continue;
      if (run.phase !== "committed") revoke(run, "fenced");
      else if (!keepCommitted) members().stop(run, run.revocable);
    }
    settle();
    return true;
  }

  function settle(): void {
    for (const run of core.runs.values()) {
      if (run.phase !== "reserving" || !isCapacityFree(core, run)) continue;
      run.phase = "reserved";
      core.membersChanged = true;
      send(core, run.entry, { kind: "reserved", run: run.id });
    }
  }

  /** Answers a reservation that is known already with its present state. */
  function answerKnown(entry: EntryId, id: RunId): boolean {
    const run = core.runs.get(runKey(id));
    if (run === undefined && !runs.epochOf(id.job)?.started) return false;
    if (run !== undefined) run.entry = entry;
    if (run === undefined || run.phase === "committed") {
      runs.sendState(entry, id);
      return true;
    }
    if (run.phase === "reserved") {
      send(core, entry, { kind: "reserved", run: id });
    } else tellReserving(run);
    return true;
  }

  function tellReserving(run: Run): void {
    let until = core.now;
    for (const other of core.runs.values()) {
      if (isEnding(other)) until = Math.max(until, other.stopAt);
    }
    send(core, run.entry, {
      kind: "reserving",
      run: run.id,
      remaining: until - core.now,
    });
  }

  function reclaimFrom(victim: Run, by: string): void {
    if (victim.phase === "reserving" || victim.phase === "reserved") {
      notify(victim, by, 0);
      revoke(victim, "reclaimed");
      return;
    }
    if (isEnding(victim)) return;
    notify(victim, by, RECLAIM_GRACE);
    members().stop(victim, true);
  }

  function notify(victim: Run, by: string, remaining: number): void {
    count(core, "reclaims", { by });
    log(core, "info", "Capacity is reclaimed.", {
      job: victim.id.job,
      team: victim.team,
      by,
    });
    send(core, victim.entry, {
      kind: "reclaimNotice",
      run: victim.id,
      remaining,
      by,
    });
  }

  function refuse(
    entry: EntryId,
    run: RunId,
    reason: ReserveRefused["reason"],
  ): void {
    count(core, "reservations.refused", { reason });
    send(core, entry, { kind: "reserveRefused", run, reason });
  }

  function hold(entry: EntryId, message: Reserve): void {
    if (!isValidReserve(core, message)) {
      return refuse(entry, message.run, "no-capacity");
    }
    if (!message.revocable && !reclaim.mayRunNonRevocable(message)) {
      return refuse(entry, message.run, "not-revocable");
    }
    const victims = reclaim.victims(message);
    if (victims === undefined) return refuse(entry, message.run, "no-capacity");
    const run = runs.add(entry, message);
    for (const victim of victims) reclaimFrom(victim, message.team);
    settle();
    if (run.phase === "reserving") tellReserving(run);
  }

  return {
    fence,
    grantPending: settle,
    revoke,
    reserve(entry, message) {
      if (!fence(message.run, false)) {
        return refuse(entry, message.run, "stale-epoch");
      }
      if (answerKnown(entry, message.run)) return;
      if (core.state.leaving) return refuse(entry, message.run, "leaving");
      hold(entry, message);
    },
    commit(entry, message) {
      const run = core.runs.get(runKey(message.run));
      if (run?.phase === "reserved") {
        run.entry = entry;
        members().start(run, boundedLease(message.lease));
      }
      runs.sendState(entry, message.run);
    },
    release(entry, id) {
      const run = core.runs.get(runKey(id));
      if (run !== undefined && run.phase !== "committed") {
        runs.drop(run);
        settle();
      }
      runs.sendState(entry, id);
    },
    expire() {
      for (const run of [...core.runs.values()]) {
        if (run.phase === "committed" || core.now < run.reservedUntil) continue;
        revoke(run, "lapsed");
        settle();
      }
    },
  };
}

/** Whether the capacity that a run awaits is held by no other run. */
function isCapacityFree(core: Core, run: Run): boolean {
  const wanted = new Set(
    run.members.flatMap((member) => member.report.accelerators),
  );
  const holders = [...core.runs.values()].filter((other) =>
    other !== run && other.phase !== "reserving"
  );
  const older = holders.some((other) => other.id.job === run.id.job);
  if (
    older ||
    holders.some((other) => sharedAccelerators(other, wanted).length > 0)
  ) {
    return false;
  }
  return fits(sumNeeds([...holders, run]), core.state.inventory.capacity);
}

/** Whether the message names existing accelerators, each once. */
function isValidReserve(core: Core, message: Reserve): boolean {
  const { capacity } = core.state.inventory;
  const all = acceleratorsOf(message);
  const numbers = new Set(message.members.map((one) => one.member));
  return message.members.length > 0 && message.remaining > 0 &&
    numbers.size === message.members.length &&
    new Set(all).size === all.length &&
    all.every((one) =>
      Number.isInteger(one) && one >= 0 && one < capacity.accelerators
    ) &&
    message.members.every((one) =>
      one.accelerators.length >= message.perMember.accelerators
    );
}

/** A longer lease than the stated one would delay a restart of the gang. */
export function boundedLease(lease: Milliseconds): Milliseconds {
  return Math.min(lease, GANG_LEASE);
}
