/**
 * One established connection between two processes of the system.
 *
 * @module
 */

import type { Socket } from "node:net";
import { createFrameReader, encodeFrame } from "@dragonflyledge/codec";
import {
  ErrorCode,
  HEARTBEAT_INTERVAL,
  MEBIBYTE,
  PROTOCOL_VERSION,
  SESSION_TIMEOUT,
  StepError,
} from "@dragonflyledge/model";
import type {
  Clock,
  Hello,
  Message,
  Milliseconds,
  Timer,
  Versions,
} from "@dragonflyledge/model";

/** A peer that reads too slowly is closed at this many unsent bytes. */
const SEND_BUFFER_LIMIT = 16 * MEBIBYTE;

/** How often a session looks for silence. */
const CHECK_INTERVAL: Milliseconds = 250;

/** Bytes and frames that a session has carried. */
export interface Traffic {
  bytesSent: number;
  bytesReceived: number;
  framesSent: number;
  framesReceived: number;
}

/** A connection on which both hellos have been exchanged. */
export interface Session {
  readonly peer: Hello;
  readonly traffic: Traffic;
  /** Returns false if the message was not handed to the connection. */
  send(message: Message): boolean;
  close(reason: string): void;
}

/** What the owner of a session wants to know. */
export interface SessionHandlers {
  onOpen: (session: Session) => void;
  onMessage: (session: Session, message: Message) => void;
  onHeartbeat: (session: Session, versions: Versions) => void;
  /** Called once. `session` is absent if the hellos were not exchanged. */
  onClose: (session: Session | undefined, error: StepError) => void;
}

/** Times of a session, in milliseconds; tests shorten them. */
export interface SessionTimes {
  heartbeat: Milliseconds;
  timeout: Milliseconds;
}

export const DEFAULT_TIMES: SessionTimes = {
  heartbeat: HEARTBEAT_INTERVAL,
  timeout: SESSION_TIMEOUT,
};

/** Runs a session on a connected socket until it ends. */
export function runSession(fields: {
  socket: Socket;
  /** Called for every hello, so that it carries the present state. */
  hello: () => Hello;
  versions: () => Versions;
  /** Returns a reason to refuse the peer, or undefined. */
  accept?: (hello: Hello) => string | undefined;
  handlers: SessionHandlers;
  clock: Clock;
  timer: Timer;
  times?: SessionTimes;
}): { close: (reason: string) => void } {
  const { socket, clock, timer, handlers } = fields;
  const times = fields.times ?? DEFAULT_TIMES;
  const address = `${socket.remoteAddress}:${socket.remotePort}`;
  const traffic: Traffic = {
    bytesSent: 0,
    bytesReceived: 0,
    framesSent: 0,
    framesReceived: 0,
  };
  let session: Session | undefined;
  let closed = false;
  let lastReceived = clock.now();
  let cancelCheck = () => {};
  let cancelHeartbeat = () => {};

  const peerName = () => session?.peer.id ?? address;
  const reader = createFrameReader({ peer: peerName });

  function finish(error: StepError): void {
    if (closed) return;
    closed = true;
    cancelCheck();
    cancelHeartbeat();
    socket.destroy();
    handlers.onClose(session, error);
  }

  function fail(step: string, message: string, cause?: unknown): void {
    finish(
      new StepError({
        code: ErrorCode.Session,
        step,
        peer: peerName(),
        message,
        cause,
      }),
    );
  }

  function send(message: Message): boolean {
    if (closed) return false;
    const frame = encodeFrame({ message, peer: peerName() });
    if (frame.isErr()) {
      finish(frame.error);
      return false;
    }
    if (socket.writableLength > SEND_BUFFER_LIMIT) {
      fail("send", "the peer reads too slowly");
      return false;
    }
    socket.write(frame.value);
    traffic.framesSent++;
    traffic.bytesSent += frame.value.length;
    return true;
  }

  function openSession(hello: Hello): void {
    if (hello.protocol !== PROTOCOL_VERSION) {
      const text =
        `the peer speaks protocol version ${hello.protocol}, not ${PROTOCOL_VERSION}`;
      finish(
        new StepError({
          code: ErrorCode.Protocol,
          step: "hello",
          peer: hello.id,
          message: text,
          hint: "Upgrade the older side.",
        }),
      );
      return;
    }
    const refusal = fields.accept?.(hello);
    if (refusal !== undefined) return fail("hello", refusal);
    session = {
      peer: hello,
      traffic,
      send,
      close: (reason) => fail("close", reason),
    };
    handlers.onOpen(session);
  }

  function receive(message: Message): void {
    traffic.framesReceived++;
    if (message.kind === "hello") {
      if (session) return fail("receive", "the peer sent a second hello");
      return openSession(message);
    }
    if (!session) return fail("receive", "the first frame is not a hello");
    if (message.kind === "heartbeat") {
      return handlers.onHeartbeat(session, message.versions);
    }
    handlers.onMessage(session, message);
  }

  function read(chunk: Uint8Array): void {
    if (closed) return;
    lastReceived = clock.now();
    traffic.bytesReceived += chunk.length;
    const messages = reader.read(chunk);
    if (messages.isErr()) return finish(messages.error);
    for (const message of messages.value) {
      if (closed) return;
      receive(message);
    }
  }

  function check(): void {
    if (closed) return;
    if (clock.now() - lastReceived > times.timeout) {
      return fail("heartbeat", `the peer was silent for ${times.timeout} ms`);
    }
    cancelCheck = timer.after(Math.min(CHECK_INTERVAL, times.timeout), check);
  }

  function beat(): void {
    if (closed) return;
    if (session) send({ kind: "heartbeat", versions: fields.versions() });
    cancelHeartbeat = timer.after(times.heartbeat, beat);
  }

  socket.setNoDelay(true);
  socket.on("data", read);
  socket.on("error", (cause) => fail("connection", cause.message, cause));
  socket.on("close", () => fail("connection", "the peer closed"));
  send(fields.hello());
  check();
  beat();
  return { close: (reason) => fail("close", reason) };
}
