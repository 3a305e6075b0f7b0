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
  /**
   * Holds capacity for a run, or refuses. Capacity that may be reclaimed from
   * others is held once their members have ended. A repeated message is
   * answered with the present state.
   */
  reserve(entry: EntryId, message: Reserve): void;
  /**
   * Starts the members of a reserved run. Answers with the states of the
   * members in any case.
   */
  commit(entry: EntryId, message: Commit): void;
  /** Drops a reservation that was not committed. */
  release(entry: EntryId, id: RunId): void;
  /**
   * Records the epoch of a run and returns whether it is current, which a lower
   * one than before is not. A higher one drops older reservations of the job,
   * and stops its older committed runs unless `keepCommitted` is set.
   */
  fence(id: RunId, keepCommitted: boolean): boolean;
  /** Holds the capacity of waiting reservations if it is free, and says so. */
  grantPending(): void;
  /** Drops reservations that have lapsed. */
  expire(): void;
  /** Drops a reservation and tells its entry. `cause` is a metric tag. */
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
    grantPending();
    return true;
  }

  function grantPending(): void {
    for (const run of core.runs.values()) {
      if (run.phase !== "reserving" || !isCapacityFree(core, run)) continue;
      run.phase = "reserved";
      core.membersChanged = true;
      send(core, run.entry, { kind: "reserved", run: run.id });
    }
  }

  /**
   * Answers a reservation of a known run with its state. Returns false if the
   * run is not known.
   */
  function answerRepeated(entry: EntryId, id: RunId): boolean {
    const run = core.runs.get(runKey(id));
    if (run === undefined && !runs.epochOf(id.job)?.started) return false;
    if (run !== undefined) run.entry = entry;
    if (run === undefined || run.phase === "committed") {
      runs.sendState(entry, id);
      return true;
    }
    if (run.phase === "reserved") {
      send(core, entry, { kind: "reserved", run: id });
    } else sendReserving(run);
    return true;
  }

  /** Tells the entry how long the capacity takes to become free, at most. */
  function sendReserving(run: Run): void {
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

  /** Drops the victim's reservation, or stops its members after a checkpoint. */
  function reclaimFrom(victim: Run, by: string): void {
    if (victim.phase === "reserving" || victim.phase === "reserved") {
      sendReclaimNotice(victim, by, 0);
      revoke(victim, "reclaimed");
      return;
    }
    if (isEnding(victim)) return;
    sendReclaimNotice(victim, by, RECLAIM_GRACE);
    members().stop(victim, true);
  }

  function sendReclaimNotice(victim: Run, by: string, remaining: number): void {
    count(core, "reclaims", { by });
    log(core, "info", "Capacity of a gang is reclaimed.", {
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

  /** Adds a reservation, and reclaims what it needs; or refuses it. */
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
    grantPending();
    if (run.phase === "reserving") sendReserving(run);
  }

  return {
    fence,
    grantPending,
    revoke,
    reserve(entry, message) {
      if (!fence(message.run, false)) {
        return refuse(entry, message.run, "stale-epoch");
      }
      if (answerRepeated(entry, message.run)) return;
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
        grantPending();
      }
      runs.sendState(entry, id);
    },
    expire() {
      for (const run of [...core.runs.values()]) {
        if (run.phase === "committed" || core.now < run.reservedUntil) continue;
        revoke(run, "lapsed");
        grantPending();
      }
    },
  };
}

/** Whether no other run holds the capacity that a run awaits. */
function isCapacityFree(core: Core, run: Run): boolean {
  const wanted = new Set(
    run.members.flatMap((member) => member.report.accelerators),
  );
  const holders = [...core.runs.values()].filter((other) =>
    other !== run && other.phase !== "reserving"
  );
  const olderRunHolds = holders.some((other) => other.id.job === run.id.job);
  if (
    olderRunHolds ||
    holders.some((other) => sharedAccelerators(other, wanted).length > 0)
  ) {
    return false;
  }
  return fits(sumNeeds([...holders, run]), core.state.inventory.capacity);
}

/**
 * Whether the message names members and accelerators of this worker, each once
 * and enough for each member, and has time left.
 */
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

/**
 * Limits a lease to the stated length: a longer one would delay a restart of
 * the gang elsewhere.
 */
export function boundedLease(lease: Milliseconds): Milliseconds {
  return Math.min(lease, GANG_LEASE);
}
