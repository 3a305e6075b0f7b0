/**
 * Frames that carry one message each: the length of the body in four bytes,
 * big-endian, and the body, which is one CBOR map.
 *
 * @module
 */

import { Encoder } from "cbor-x";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ErrorCode, FRAME_LIMIT, StepError } from "@dragonflyledge/model";
import type { Message } from "@dragonflyledge/model";
import { checkMessage } from "./message_schema.ts";

/** Bytes that hold the length of the body. */
const HEADER_SIZE = 4;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/**
 * Encodes a message as a frame.
 *
 * @param fields.peer name of the receiver, for the error
 * @param fields.limit longest body in bytes, `FRAME_LIMIT` by default
 * @returns the frame, or a `DFL_FRAME` error if the body exceeds the limit
 */
export function encodeFrame(fields: {
  message: Message;
  peer: string;
  limit?: number;
}): Result<Uint8Array, StepError> {
  const body = encoder.encode(fields.message);
  const limit = fields.limit ?? FRAME_LIMIT;
  if (body.length > limit) {
    return err(
      frameError(
        fields.peer,
        "encode",
        `a ${fields.message.kind} message of ${body.length} bytes exceeds ${limit} bytes`,
      ),
    );
  }
  const frame = new Uint8Array(HEADER_SIZE + body.length);
  new DataView(frame.buffer).setUint32(0, body.length);
  frame.set(body, HEADER_SIZE);
  return ok(frame);
}

/** Decodes the frames of a stream of bytes. */
export interface FrameReader {
  /**
   * Adds the next bytes of the stream, which may begin and end anywhere in a
   * frame.
   *
   * @returns the messages that are complete, a `DFL_FRAME` error for a frame
   * that is too large or not CBOR, or a `DFL_MESSAGE` error for one that is not
   * a valid message. After an error the connection must be closed, since the
   * start of the next frame is not known.
   */
  read(chunk: Uint8Array): Result<Message[], StepError>;
}

/**
 * Creates a reader for the bytes received on one connection.
 *
 * @param fields.peer returns the name of the sender, for errors
 * @param fields.limit longest body in bytes, `FRAME_LIMIT` by default
 */
export function createFrameReader(fields: {
  peer: () => string;
  limit?: number;
}): FrameReader {
  const limit = fields.limit ?? FRAME_LIMIT;
  const chunks: Uint8Array[] = [];
  /** Bytes in `chunks`. */
  let buffered = 0;
  /** Length of the body that is being received; -1 while a header is. */
  let expected = -1;

  /** Removes and returns the first `length` of the buffered bytes. */
  function take(length: number): Uint8Array {
    const bytes = chunks.length === 1 ? chunks[0]! : joinChunks(chunks);
    chunks.length = 0;
    if (bytes.length > length) chunks.push(bytes.subarray(length));
    buffered -= length;
    return bytes.subarray(0, length);
  }

  function read(chunk: Uint8Array): Result<Message[], StepError> {
    chunks.push(chunk);
    buffered += chunk.length;
    const messages: Message[] = [];
    while (true) {
      if (expected < 0) {
        if (buffered < HEADER_SIZE) return ok(messages);
        const header = take(HEADER_SIZE);
        expected = new DataView(header.buffer, header.byteOffset).getUint32(0);
        if (expected > limit) {
          const text = `a frame of ${expected} bytes exceeds ${limit} bytes`;
          return err(frameError(fields.peer(), "read", text));
        }
      }
      if (buffered < expected) return ok(messages);
      const decoded = decodeBody(take(expected), fields.peer());
      expected = -1;
      if (decoded.isErr()) return err(decoded.error);
      messages.push(decoded.value);
    }
  }

  return { read };
}

function joinChunks(chunks: Uint8Array[]): Uint8Array {
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const joined = new Uint8Array(length);
  let offset = 0;
  for (const chunk of chunks) {
    joined.set(chunk, offset);
    offset += chunk.length;
  }
  return joined;
}

/** Decodes and validates the body of a frame. */
function decodeBody(
  body: Uint8Array,
  peer: string,
): Result<Message, StepError> {
  let value: unknown;
  try {
    value = encoder.decode(body);
  } catch (cause) {
    return err(frameError(peer, "decode", "a frame is not CBOR", cause));
  }
  const checked = checkMessage({ value });
  if ("message" in checked) return ok(checked.message);
  return err(
    new StepError({
      code: ErrorCode.Message,
      step: "decode",
      peer,
      message: checked.problem,
      hint: "Both ends must run compatible versions.",
    }),
  );
}

function frameError(
  peer: string,
  step: string,
  message: string,
  cause?: unknown,
): StepError {
  return new StepError({
    code: ErrorCode.Frame,
    step,
    peer,
    message,
    hint: "Check that the peer is a process of this system.",
    cause,
  });
}
