import { Buffer } from "node:buffer";
import { test } from "tap";
import { createRandom, ErrorCode } from "@dragonflyledge/model";
import type { Message } from "@dragonflyledge/model";
import { createFrameReader, encodeFrame } from "./frame.ts";

const peer = () => "peer";
const versions = { configuration: 3, homes: 2 };

/** Creates a piece of an answer, with `size` bytes. */
function answer(sequence: number, size: number): Message {
  return {
    kind: "attemptAnswer",
    attempt: { request: "r1", number: 1 },
    status: 200,
    contentType: "text/plain",
    sequence,
    last: false,
    piece: new Uint8Array(size).fill(sequence),
  };
}

function encode(message: Message): Uint8Array {
  return encodeFrame({ message, peer: "peer" })._unsafeUnwrap();
}

// Guards against a reader that depends on how TCP splits the stream.
test("messages survive any split of the stream", (t) => {
  const random = createRandom(11);
  const sent = Array.from({ length: 40 }, (_, index) => answer(index, 3000));
  const stream = Buffer.concat(sent.map(encode));
  const reader = createFrameReader({ peer });
  const received: Message[] = [];
  let offset = 0;
  while (offset < stream.length) {
    const size = 1 + Math.floor(random() * 5000);
    const chunk = stream.subarray(offset, offset + size);
    received.push(...reader.read(chunk)._unsafeUnwrap());
    offset += size;
  }
  t.equal(received.length, sent.length);
  t.ok(received.every((message, index) => sameAnswer(message, sent[index]!)));
  t.end();
});

function sameAnswer(left: Message, right: Message): boolean {
  if (left.kind !== "attemptAnswer") return false;
  if (right.kind !== "attemptAnswer") return false;
  const sameBytes = Buffer.from(left.piece).equals(right.piece);
  return sameBytes && left.sequence === right.sequence;
}

// Guards against a peer that makes the process buffer without limit.
test("a frame over the limit is refused when its header arrives", (t) => {
  const reader = createFrameReader({ peer, limit: 100 });
  const error = reader.read(encode(answer(0, 200)).subarray(0, 4))
    ._unsafeUnwrapErr();
  t.equal(error.code, ErrorCode.Frame);
  t.equal(error.peer, "peer");
  t.match(error.message, /exceeds 100 bytes/);
  t.end();
});

// Guards against a frame that is sent although the peer must refuse it.
test("a message over the limit is not encoded", (t) => {
  const result = encodeFrame({
    message: answer(0, 200),
    peer: "peer",
    limit: 100,
  });
  t.equal(result._unsafeUnwrapErr().code, ErrorCode.Frame);
  t.end();
});

// Guards against a frame that is processed although it holds no message.
test("frames without CBOR or without a valid message are refused", (t) => {
  const garbled = new Uint8Array([0, 0, 0, 2, 0xff, 0xff]);
  const first = createFrameReader({ peer }).read(garbled);
  t.equal(first._unsafeUnwrapErr().code, ErrorCode.Frame);
  const foreign = { kind: "heartbeat", versions: { homes: -1 } };
  const frame = encode(foreign as unknown as Message);
  const second = createFrameReader({ peer }).read(frame);
  t.equal(second._unsafeUnwrapErr().code, ErrorCode.Message);
  t.match(second._unsafeUnwrapErr().message, /versions/);
  t.ok(
    createFrameReader({ peer }).read(encode({ kind: "heartbeat", versions }))
      .isOk(),
  );
  t.end();
});
