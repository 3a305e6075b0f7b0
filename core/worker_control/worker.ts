/**
 * Decides which worker incarnation an agent controls.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import {
  capacityOf,
  isEqualCapacity,
  largestOf,
  runKey,
} from "@dragonflyledge/scheduler";
import { recordCrash } from "./crash.ts";
import { latestUnfencedLeaseEnd } from "./lease.ts";
import { log } from "./log.ts";
import { createMisdirected, listOpenStarts } from "./open_starts.ts";
import { ControlPhase } from "./state.ts";
import type {
  Announcement,
  ControlledWorker,
  ControlState,
  RunControl,
} from "./state.ts";

/** Capacity of an incarnation that has sent no heartbeat yet. */
const UNKNOWN_CAPACITY = { millicores: 0, megabytes: 0, accelerators: 0 };

/**
 * Applies a worker's heartbeat. Heartbeats that arrive out of order or come
 * from an earlier incarnation are ignored.
 */
export function applyAnnouncement(
  state: ControlState,
  announcement: Announcement,
  now: Milliseconds,
): void {
  const { worker } = state;
  const { id, clock, sequence, ...described } = announcement;
  const key = workerKey(id, announcement.born);
  if (worker && worker.state.key === key) {
    if (sequence <= worker.sequence) {
      return noteLateHeartbeat(state, announcement, "sequence");
    }
    worker.sequence = sequence;
    const drainingChanged = worker.state.draining !== announcement.draining;
    noteCapacity(state, worker, announcement);
    worker.state = {
      ...worker.state,
      ...described,
      full: largestOf(worker.state.full ?? announcement, announcement),
      draining: described.draining || worker.state.draining,
    };
    if (drainingChanged) {
      state.reportDue = true;
      log(state, "Worker is draining.", { worker: key });
    }
    return;
  }
  if (worker && worker.state.born >= announcement.born) {
    return noteLateHeartbeat(state, announcement, "incarnation");
  }
  switchWorker(state, {
    id,
    state: {
      ...described,
      key,
      reachable: true,
      full: capacityOf(announcement),
    },
    sequence,
    clock: { value: clock, at: now },
    latestLeaseEnd: latestUnfencedLeaseEnd(state, id, now),
    running: [],
    listedAt: new Map(),
    answeredAt: now,
    ended: [],
    allEnds: false,
    listed: false,
    acknowledged: 0,
  }, now);
}

function noteLateHeartbeat(
  state: ControlState,
  { id, born, sequence }: Announcement,
  reason: "sequence" | "incarnation",
): void {
  const worker = workerKey(id, born);
  log(state, "Heartbeat ignored.", { reason, worker, sequence });
}

/**
 * Reports a changed capacity at once, and drops starts that were ordered for
 * the former one and not sent yet.
 */
function noteCapacity(
  state: ControlState,
  worker: ControlledWorker,
  announcement: Announcement,
): void {
  const known = worker.state;
  if (isEqualCapacity(known, announcement)) return;
  state.reportDue = true;
  // The leader may not know yet; it repeats the orders that still fit.
  for (const [key, control] of state.runs) {
    if (isUnsentStart(control)) state.runs.delete(key);
  }
  log(state, "Worker capacity changed.", {
    worker: known.key,
    millicores: announcement.millicores,
    megabytes: announcement.megabytes,
    accelerators: announcement.accelerators,
  });
}

function isUnsentStart(control: RunControl): boolean {
  return control.phase === ControlPhase.Starting && !control.callPending &&
    control.startSentAt === undefined && !control.stopRequested;
}

/**
 * Switches to a new incarnation of the worker, started at `born`. It may be of
 * another kind than the former one, so that it can hold nothing until its first
 * heartbeat.
 */
export function replaceIncarnation(
  state: ControlState,
  born: Milliseconds,
  now: Milliseconds,
): void {
  const worker = state.worker!;
  switchWorker(state, {
    ...worker,
    state: {
      ...worker.state,
      ...UNKNOWN_CAPACITY,
      born,
      key: workerKey(worker.id, born),
      draining: false,
      reachable: true,
      full: UNKNOWN_CAPACITY,
    },
    sequence: -1,
    clock: undefined,
    latestLeaseEnd: latestUnfencedLeaseEnd(state, worker.id, now),
    leftAt: undefined,
    running: [],
    listedAt: new Map(),
    answeredAt: now,
    ended: [],
    allEnds: false,
    listed: false,
    acknowledged: 0,
  }, now);
}

/**
 * Records that somebody announced the worker's shutdown. The announcement of a
 * former incarnation may arrive late, so that the worker counts as gone only
 * once no process with its id is there.
 */
export function markLeaving(
  state: ControlState,
  id: string,
  now: Milliseconds,
): void {
  const { worker } = state;
  if (!worker || worker.id !== id || worker.leftAt !== undefined) return;
  worker.leftAt = now;
  state.hold.refused = false;
  state.hold.nextCallAt = now;
  log(state, "Worker is shutting down.", { worker: worker.state.key });
}

/** Controls another incarnation, and forgets everything about the former. */
function switchWorker(
  state: ControlState,
  worker: ControlledWorker,
  now: Milliseconds,
): void {
  const former = state.worker;
  // The lists of a former worker that was emptied are gone.
  if (former && !state.emptied.includes(former.state.key)) {
    recordCrash(state, former, now);
  }
  const misdirected = listOpenStarts(state, worker.id, now);
  const openHold = state.hold.callPending && former?.id === worker.id;
  if (former && misdirected.length > 0) {
    state.withheldCrashes.add(former.state.key);
  }
  state.worker = worker;
  state.runs.clear();
  for (const name of misdirected) {
    state.runs.set(runKey(name), createMisdirected(name, now));
  }
  state.emptied = [];
  state.hold = {
    callPending: false,
    nextCallAt: now,
    failures: 0,
    refused: false,
  };
  state.reportDue = true;
  log(state, "New worker incarnation.", {
    worker: worker.state.key,
    misdirected: misdirected.map(runKey).join(),
    sameId: former?.id === worker.id,
    openHold,
    leaseLeft: Math.round(worker.latestLeaseEnd - now),
    grantLeft: Math.round(state.grantEnd - now),
  });
}

/** Returns the key of a worker incarnation. */
function workerKey(id: string, born: Milliseconds): string {
  return `${id}@${born}`;
}
