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
/** Size of all kept answers together. */
export const ANSWER_BUDGET = 8 * MEBIBYTE;
/** How long the outcome of an attempt is kept: longer than any deadline. */
export const ATTEMPT_RETENTION = MAX_REQUEST_DEADLINE + MINUTE;

type AnswerEvent = Extract<AgentEvent, { kind: "endpointAnswer" }>;

/** Delivers pieces, and keeps them while the entry may have missed some. */
export interface Answers {
  receive(event: AnswerEvent): void;
  /** Sends a kept answer again, from its first piece. */
  replay(record: AttemptRecord): void;
  /** Drops a kept answer. */
  discard(record: AttemptRecord): void;
  /** Notes that pieces sent to this entry may be lost. */
  handleEntryLost(entry: EntryId): void;
  sweep(): void;
}

/** Creates the delivery; `settle` is called when a call has ended. */
export function createAnswers(fields: {
  core: Core;
  settle: (record: AttemptRecord, phase: AttemptRecord["phase"]) => void;
}): Answers {
  const { core, settle } = fields;
  const kept = new Set<AttemptRecord>();
  let bytes = 0;

  function discard(record: AttemptRecord): void {
    if (!kept.delete(record)) return;
    bytes -= record.answer?.bytes ?? 0;
    record.answer = undefined;
  }

  /** Makes room by dropping answers that were sent, oldest first. */
  function makeRoom(size: number): boolean {
    if (bytes + size <= ANSWER_BUDGET) return true;
    for (const record of kept) {
      // Room for many pieces at once, since each search starts at the front.
      if (bytes + size <= ANSWER_BUDGET * 7 / 8) break;
      if (record.answer?.complete && !record.outOfSync) discard(record);
    }
    return bytes + size <= ANSWER_BUDGET;
  }

  function keep(record: AttemptRecord, event: AnswerEvent): void {
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
    if (!makeRoom(event.piece.length)) {
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

  function finish(record: AttemptRecord): void {
    const cannotCatchUp = record.outOfSync && record.answer === undefined;
    settle(record, "done");
    // Complete answers stay in the order in which they are to be dropped.
    if (kept.delete(record)) kept.add(record);
    if (!cannotCatchUp) return;
    // The entry missed pieces that are gone: it must not wait for them.
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
        // The entry was told that the attempt broke.
        if (event.last) settle(record, record.phase);
        return;
      }
      keep(record, event);
      const pieces = split(event.piece);
      if (!record.outOfSync) sendPieces(record, event, pieces, record.sequence);
      record.sequence += pieces.length;
      if (event.last) finish(record);
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

/** Cuts a piece to the size that fits a frame. */
function split(piece: Uint8Array): Uint8Array[] {
  if (piece.length <= ANSWER_PIECE_SIZE) return [piece];
  const pieces: Uint8Array[] = [];
  for (let from = 0; from < piece.length; from += ANSWER_PIECE_SIZE) {
    pieces.push(piece.subarray(from, from + ANSWER_PIECE_SIZE));
  }
  return pieces;
}
