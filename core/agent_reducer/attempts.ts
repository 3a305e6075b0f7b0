/**
 * Attempts on the endpoint and the slots that they occupy. Each attempt runs at
 * most once, and one that may have run is never reported as not run. See
 * docs/decisions/attempts.md.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type {
  AgentEvent,
  Attempt,
  AttemptId,
  AttemptRefused,
  EntryId,
} from "@dragonflyledge/model";
import { ATTEMPT_RETENTION, createAnswers } from "./answers.ts";
import type { Answers } from "./answers.ts";
import { attemptKey, count, send } from "./state.ts";
import type { AttemptRecord, Core } from "./state.ts";

/**
 * Most attempts that are remembered at a time. At this limit new attempts are
 * refused, so that none is forgotten before its retention time. The records
 * take about 40 MB, enough for 218 attempts a second over ten minutes.
 */
export const ATTEMPT_LIMIT = 131_072;

/**
 * Least time between two sweeps. A sweep with each event would be too slow,
 * since iteration of a map first skips the entries deleted at its front.
 */
const SWEEP_INTERVAL = 1 * SECOND;

type FailedEvent = Extract<AgentEvent, { kind: "endpointFailed" }>;

/** Accepts or refuses attempts and follows their endpoint calls. */
export interface Attempts {
  readonly answers: Answers;
  /** Starts an attempt or refuses it; a known one is answered with its state. */
  receive(entry: EntryId, attempt: Attempt): void;
  /**
   * Aborts the call of an attempt and answers with its state. An unknown
   * attempt gets a tombstone.
   */
  cancel(entry: EntryId, id: AttemptId): void;
  /**
   * Answers with the state of an attempt, after the pieces that the entry may
   * lack. An unknown attempt gets a tombstone.
   */
  query(entry: EntryId, id: AttemptId): void;
  /** Ends an attempt whose endpoint call failed. */
  failed(event: FailedEvent): void;
  /** Ends attempts whose deadline has passed, and forgets old ones. */
  expire(): void;
}

/** Creates the attempts part of the reducer. */
export function createAttempts(fields: { core: Core }): Attempts {
  const { core } = fields;
  let sweptAt = -Infinity;
  const answers = createAnswers({ core, endCall });

  /** Records the end of an attempt's call, and frees its slot. */
  function endCall(record: AttemptRecord, phase: AttemptRecord["phase"]): void {
    record.phase = phase;
    record.calling = false;
    record.endedAt = core.now;
    core.openCalls.delete(record);
    core.slotsChanged = true;
    // Moves to the end, since attempts are forgotten in the order of their end.
    core.attempts.delete(record.key);
    core.attempts.set(record.key, record);
    if (phase !== "done") answers.discard(record);
  }

  /** Replaces the record of an attempt that did not run by a tombstone. */
  function recordNotRun(record: AttemptRecord): void {
    endCall(record, "cancelled");
    core.tombstones.add(record.key);
    core.attempts.delete(record.key);
    if (core.requests.get(record.id.request) === record) {
      core.requests.delete(record.id.request);
    }
  }

  function refuse(
    entry: EntryId,
    attempt: AttemptId,
    reason: AttemptRefused["reason"],
  ): void {
    // A stale incarnation never becomes current: the attempt can never start.
    if (reason !== "stale-incarnation") {
      core.tombstones.add(attemptKey(attempt));
    }
    count(core, "attempts.refused", { reason });
    send(core, entry, { kind: "attemptRefused", attempt, reason });
  }

  function sendState(entry: EntryId, record: AttemptRecord): void {
    const { id: attempt, phase: state } = record;
    send(core, entry, { kind: "attemptState", attempt, state });
  }

  function abort(record: AttemptRecord): void {
    if (record.abortSent || !record.calling) return;
    record.abortSent = true;
    core.effects.push({ kind: "abortCall", attempt: record.id });
  }

  function startAttempt(entry: EntryId, attempt: Attempt): void {
    const record = createRecord(entry, attempt, core.now);
    core.attempts.set(record.key, record);
    core.openCalls.add(record);
    if (!attempt.idempotent) core.requests.set(record.id.request, record);
    core.slotsChanged = true;
    send(core, entry, { kind: "attemptAccepted", attempt: record.id });
    core.effects.push({
      kind: "callEndpoint",
      attempt: record.id,
      service: attempt.service,
      path: attempt.path,
      contentType: attempt.contentType,
      body: attempt.body,
      timeout: attempt.remaining,
    });
  }

  function query(entry: EntryId, id: AttemptId): void {
    const record = core.attempts.get(attemptKey(id));
    if (record === undefined) {
      core.tombstones.add(attemptKey(id));
      send(core, entry, { kind: "attemptState", attempt: id, state: "absent" });
      return;
    }
    // The answer is sent first, so that an entry told `done` has it whole.
    if (record.entry === entry && record.outOfSync) answers.replay(record);
    sendState(entry, record);
  }

  return {
    answers,
    query,
    receive(entry, attempt) {
      if (core.attempts.has(attemptKey(attempt.attempt))) {
        query(entry, attempt.attempt);
        return;
      }
      const reason = checkAdmission(core, attempt);
      if (reason === undefined) {
        startAttempt(entry, attempt);
        return;
      }
      refuse(entry, attempt.attempt, reason);
      const earlier = core.requests.get(attempt.attempt.request);
      // The refused attempt did not run, but this one of the request may have.
      if (reason === "duplicate" && earlier) sendState(entry, earlier);
    },
    cancel(entry, id) {
      const record = core.attempts.get(attemptKey(id));
      if (record === undefined) {
        query(entry, id);
        return;
      }
      if (record.calling) {
        record.cancelled = true;
        abort(record);
      } else {
        answers.discard(record);
      }
      sendState(entry, record);
    },
    failed(event) {
      const record = core.attempts.get(attemptKey(event.attempt));
      if (record === undefined || !record.calling) return;
      if (record.phase !== "running") {
        endCall(record, record.phase);
        return;
      }
      if (!event.sent && record.sequence === 0) {
        recordNotRun(record);
        if (record.cancelled) sendState(record.entry, record);
        else refuse(record.entry, record.id, "unreachable");
        return;
      }
      endCall(record, "broken");
      sendBroken(core, record, event.cause);
    },
    expire() {
      for (const record of core.openCalls) {
        if (core.now < record.deadline || record.phase !== "running") continue;
        record.phase = "broken";
        abort(record);
        sendBroken(core, record, "The attempt's time ran out.");
        count(core, "attempts.expired");
      }
      if (core.now - sweptAt < SWEEP_INTERVAL) return;
      sweptAt = core.now;
      answers.sweep();
      core.tombstones.sweep(core.now);
      forgetExpired(core);
    },
  };
}

function createRecord(
  entry: EntryId,
  attempt: Attempt,
  now: number,
): AttemptRecord {
  return {
    id: attempt.attempt,
    key: attemptKey(attempt.attempt),
    entry,
    class: attempt.class,
    phase: "running",
    deadline: now + attempt.remaining,
    calling: true,
    cancelled: false,
    abortSent: false,
    sequence: 0,
    outOfSync: false,
    answer: undefined,
    endedAt: Infinity,
  };
}

function sendBroken(core: Core, record: AttemptRecord, cause: string): void {
  const { id: attempt, entry } = record;
  send(core, entry, { kind: "attemptBroken", attempt, cause });
}

/** Returns why an unknown attempt may not start; `undefined` if it may. */
function checkAdmission(
  core: Core,
  attempt: Attempt,
): AttemptRefused["reason"] | undefined {
  const { inventory, incarnation, leaving } = core.state;
  if (attempt.incarnation !== incarnation) return "stale-incarnation";
  if (core.tombstones.has(attemptKey(attempt.attempt))) return "tombstoned";
  if (!attempt.idempotent && core.requests.has(attempt.attempt.request)) {
    return "duplicate";
  }
  if (leaving) return "leaving";
  if (attempt.remaining <= 0) return "expired";
  if (attempt.service !== inventory.service) return "unreachable";
  if (core.attempts.size >= ATTEMPT_LIMIT) return "busy";
  const limit = Math.min(inventory.slots, inventory.connections);
  if (core.openCalls.size >= limit) return "busy";
  if (attempt.urgent) return undefined;
  const held = countSlots(core, attempt.class);
  return held >= attempt.classSlots ? "class-limit" : undefined;
}

/** Number of slots that a class of work occupies. */
function countSlots(core: Core, className: string): number {
  let held = 0;
  for (const record of core.openCalls) if (record.class === className) held++;
  return held;
}

/** Forgets attempts whose retention time is over. */
function forgetExpired(core: Core): void {
  for (const record of core.attempts.values()) {
    if (record.calling) continue;
    if (core.now - record.endedAt < ATTEMPT_RETENTION) return;
    core.attempts.delete(record.key);
    if (core.requests.get(record.id.request) === record) {
      core.requests.delete(record.id.request);
    }
  }
}
