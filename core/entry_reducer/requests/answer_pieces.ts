/**
 * Assembly of an answer from the pieces in which an agent sends it.
 *
 * @module
 */

import type { Answer, AttemptAnswer } from "@dragonflyledge/model";
import { assertInvariant, Invariant, MEBIBYTE } from "@dragonflyledge/model";

/** Longest answer that is passed on, in bytes. */
export const ANSWER_LIMIT = 8 * MEBIBYTE;

/** Pieces of one answer that have arrived so far, in any order. */
export interface AnswerPieces {
  /** Pieces by sequence number, from 0. */
  pieces: Map<number, Uint8Array>;
  /** Bytes of all pieces. */
  size: number;
  /** HTTP status and content type, from the first piece. */
  status: number;
  contentType: string;
  /** Sequence number of the last piece, once it has arrived. */
  last: number | undefined;
  /** Highest sequence number that has arrived; -1 before the first. */
  highest: number;
}

/** Creates an answer without pieces. */
export function createAnswerPieces(): AnswerPieces {
  return {
    pieces: new Map(),
    size: 0,
    status: 0,
    contentType: "",
    last: undefined,
    highest: -1,
  };
}

/** Adds a piece, unless one with its sequence number has arrived before. */
export function addPiece(answer: AnswerPieces, message: AttemptAnswer): void {
  if (answer.pieces.has(message.sequence)) return;
  answer.pieces.set(message.sequence, message.piece);
  answer.size += message.piece.length;
  answer.highest = Math.max(answer.highest, message.sequence);
  if (message.sequence === 0) {
    answer.status = message.status;
    answer.contentType = message.contentType;
  }
  if (message.last) answer.last = message.sequence;
}

/** Whether the last piece and all before it have arrived. */
export function isWhole(answer: AnswerPieces): boolean {
  return answer.last !== undefined && answer.highest === answer.last &&
    answer.pieces.size === answer.last + 1;
}

/** Joins the pieces of an answer for which `isWhole` holds. */
export function joinPieces(answer: AnswerPieces, request: string): Answer {
  const body = new Uint8Array(answer.size);
  let offset = 0;
  let sequence = 0;
  for (; answer.last !== undefined && sequence <= answer.last; sequence++) {
    const piece = answer.pieces.get(sequence);
    if (piece === undefined) break;
    body.set(piece, offset);
    offset += piece.length;
  }
  assertInvariant({
    invariant: Invariant.AnswerWhole,
    holds: sequence - 1 === answer.last && offset === answer.size,
    step: "answer",
    peer: request,
    detail: `${offset} of ${answer.size} bytes joined, last piece ` +
      `${answer.last}, ${answer.pieces.size} pieces`,
  });
  return { status: answer.status, contentType: answer.contentType, body };
}
