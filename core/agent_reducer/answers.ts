/**
 * Delivery of endpoint answers to the entries that wait for them.
 *
 * @module
 */

import {
  ANSWER_PIECE_SIZE,
  MAX_REQUEST_DEADLINE,
  MEBIBYTE,
  MINUTE,
  SECOND,
} from "@dragonflyledge/model";
import type { AgentEvent, EntryId } from "@dragonflyledge/model";
import { attemptKey, count, send } from "./state.ts";
import type { AttemptRecord, Core } from "./state.ts";

/** How long an answer is kept for an entry that lost its session. */
export const ANSWER_RETENTION = 60 * SECOND;
/** Largest size of all kept answers together, in bytes. */
export const ANSWER_BUDGET = 8 * MEBIBYTE;
/**
 * How long the outcome of an attempt is remembered after its call has ended.
 * It is longer than any deadline, so that a late duplicate does not run again.
 */
export const ATTEMPT_RETENTION = MAX_REQUEST_DEADLINE + MINUTE;

/** An entry that lost its session, and lives, opens another one in this time. */
const SESSION_RETURN_TIME = 5 * SECOND;

type AnswerEvent = Extract<AgentEvent, { kind: "endpointAnswer" }>;

/**
 * Sends the pieces of answers to entries, and keeps them for a while in case
 * an entry loses its session and with it some of the pieces.
 */
export interface Answers {
  /** Keeps and sends a piece that the endpoint answered. */
  receive(event: AnswerEvent): void;
  /**
   * Sends a kept answer again, from its first piece. Does nothing if the
   * answer is no longer kept.
   */
  replay(record: AttemptRecord): void;
  /** Drops a kept answer, if there is one. */
  discard(record: AttemptRecord): void;
  /** Marks the answers of an entry whose session was lost: pieces may be lost. */
  handleEntryLost(entry: EntryId): void;
  /**
   * Whether a whole answer waits for its entry to open a session again. An
   * entry that stays away for `SESSION_RETURN_TIME`, or whose caller waits no
   * longer, is not waited for.
   */
  hasUndelivered(): boolean;
  /** Drops answers that were kept for `ANSWER_RETENTION` after their end. */
  sweep(): void;
}

/** Creates the delivery; `endCall` is called when the last piece has come. */
export function createAnswers(fields: {
  core: Core;
  endCall: (record: AttemptRecord, phase: AttemptRecord["phase"]) => void;
}): Answers {
  const { core, endCall } = fields;
  const kept = new Set<AttemptRecord>();
  let bytes = 0;

  function discard(record: AttemptRecord): void {
    if (!kept.delete(record)) return;
    bytes -= record.answer?.bytes ?? 0;
    record.answer = undefined;
  }

  /**
   * Drops complete answers that were sent, oldest first, until a piece of this
   * size may be kept. Returns whether it may.
   */
  function evictSent(size: number): boolean {
    if (bytes + size <= ANSWER_BUDGET) return true;
    for (const record of kept) {
      // Frees an eighth at once, since each search starts at the oldest answer.
      if (bytes + size <= ANSWER_BUDGET * 7 / 8) break;
      if (record.answer?.complete && !record.outOfSync) discard(record);
    }
    return bytes + size <= ANSWER_BUDGET;
  }

  function keepPiece(record: AttemptRecord, event: AnswerEvent): void {
    if (record.sequence === 0) {
      const { status, contentType } = event;
      record.answer = {
        status,
        contentType,
        pieces: [],
        bytes: 0,
        complete: false,
      };
      kept.add(record);
    }
    if (record.answer === undefined) return;
    if (!evictSent(event.piece.length)) {
      discard(record);
      count(core, "answers.dropped", { cause: "budget" });
      return;
    }
    record.answer.pieces.push(...split(event.piece));
    record.answer.bytes += event.piece.length;
    record.answer.complete = event.last;
    bytes += event.piece.length;
  }

  function sendPieces(
    record: AttemptRecord,
    from: { status: number; contentType: string; last: boolean },
    pieces: Uint8Array[],
    firstSequence: number,
  ): void {
    pieces.forEach((piece, index) =>
      send(core, record.entry, {
        kind: "attemptAnswer",
        attempt: record.id,
        status: from.status,
        contentType: from.contentType,
        sequence: firstSequence + index,
        last: from.last && index === pieces.length - 1,
        piece,
      })
    );
  }

  function finishAnswer(record: AttemptRecord): void {
    const lacksPieces = record.outOfSync && record.answer === undefined;
    endCall(record, "done");
    // Moves to the end, since answers are dropped in the order of completion.
    if (kept.delete(record)) kept.add(record);
    if (!lacksPieces) return;
    // The entry lacks pieces that were dropped, and must not wait for them.
    send(core, record.entry, {
      kind: "attemptBroken",
      attempt: record.id,
      cause: "The answer was too large to be kept for a lost session.",
    });
  }

  return {
    receive(event) {
      const record = core.attempts.get(attemptKey(event.attempt));
      if (record === undefined || !record.calling) return;
      if (record.phase !== "running") {
        // The entry was told at the deadline that the attempt is broken.
        if (event.last) endCall(record, record.phase);
        return;
      }
      keepPiece(record, event);
      const pieces = split(event.piece);
      if (!record.outOfSync) sendPieces(record, event, pieces, record.sequence);
      record.sequence += pieces.length;
      if (event.last) finishAnswer(record);
    },
    replay(record) {
      record.outOfSync = record.sequence > 0 && record.answer === undefined;
      const answer = record.answer;
      if (answer === undefined) return;
      const { status, contentType, complete, pieces } = answer;
      sendPieces(record, { status, contentType, last: complete }, pieces, 0);
    },
    discard,
    handleEntryLost(entry) {
      for (const record of core.openCalls) {
        if (record.entry === entry) record.outOfSync = true;
      }
      for (const record of kept) {
        if (record.entry === entry) record.outOfSync = true;
      }
    },
    hasUndelivered() {
      for (const record of kept) {
        if (record.calling || !record.outOfSync) continue;
        const until = record.endedAt + SESSION_RETURN_TIME;
        if (core.now < Math.min(until, record.deadline)) return true;
      }
      return false;
    },
    sweep() {
      for (const record of kept) {
        if (record.calling) continue;
        if (core.now - record.endedAt < ANSWER_RETENTION) return;
        if (record.outOfSync) {
          count(core, "answers.dropped", { cause: "entry-absent" });
        }
        discard(record);
      }
    },
  };
}

/** Splits a piece into pieces that each fit a frame. */
function split(piece: Uint8Array): Uint8Array[] {
  if (piece.length <= ANSWER_PIECE_SIZE) return [piece];
  const pieces: Uint8Array[] = [];
  for (let from = 0; from < piece.length; from += ANSWER_PIECE_SIZE) {
    pieces.push(piece.subarray(from, from + ANSWER_PIECE_SIZE));
  }
  return pieces;
}
