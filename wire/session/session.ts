/**
 * One session between an entry and an agent. Each side sends a hello first,
 * then messages and regular heartbeats, and closes the session if it receives
 * nothing for some time.
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

/** The session is closed if the peer leaves more bytes than this unread. */
const SEND_BUFFER_LIMIT = 16 * MEBIBYTE;

/** Interval at which a session checks whether its peer has been silent. */
const CHECK_INTERVAL: Milliseconds = 250;

/** Bytes and frames that a session has sent and received so far. */
export interface Traffic {
  bytesSent: number;
  bytesReceived: number;
  framesSent: number;
  framesReceived: number;
}

/** A connection on which both hellos have been exchanged. */
export interface Session {
  /** Hello of the peer. */
  readonly peer: Hello;
  /** Position of the connection in the order in which it was made; from 1. */
  readonly order: number;
  readonly traffic: Traffic;
  /**
   * Sends a message. Returns false if it was not passed to the connection: the
   * session is closed, or is closed now since the message is too large or the
   * peer reads too slowly.
   */
  send(message: Message): boolean;
  /** Closes the session; `onClose` gets an error with the reason. */
  close(reason: string): void;
}

/** Called on events of a session. */
export interface SessionHandlers {
  /** The hellos have been exchanged. */
  onOpen: (session: Session) => void;
  /** A message other than hello and heartbeat has arrived. */
  onMessage: (session: Session, message: Message) => void;
  /** A heartbeat has arrived, with the versions that the peer has. */
  onHeartbeat: (session: Session, versions: Versions) => void;
  /**
   * The session has ended; called once. `session` is undefined if the hellos
   * were not exchanged.
   */
  onClose: (session: Session | undefined, error: StepError) => void;
}

/** Times of a session; tests shorten them. */
export interface SessionTimes {
  /** Interval of heartbeats. */
  heartbeat: Milliseconds;
  /** Silence of the peer after which the session is closed. */
  timeout: Milliseconds;
}

/** Times of sessions outside tests. */
export const DEFAULT_TIMES: SessionTimes = {
  heartbeat: HEARTBEAT_INTERVAL,
  timeout: SESSION_TIMEOUT,
};

/**
 * Runs a session on a socket, connected or connecting, until it ends. `close`
 * ends it after the peer has got all that was sent.
 */
export function runSession(fields: {
  socket: Socket;
  /** Returns the hello to send, with the present state. */
  hello: () => Hello;
  /** Returns the present versions, which heartbeats carry. */
  versions: () => Versions;
  /**
   * Returns the reason to refuse a peer, or undefined to accept it. `order` is
   * that of the session.
   */
  accept?: (hello: Hello, order: number) => string | undefined;
  /** Position among the connections of the listener; 1 if it is absent. */
  order?: number;
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

  /** Ends the session once and reports why. */
  function finish(error: StepError, disconnect = destroy): void {
    if (closed) return;
    closed = true;
    cancelCheck();
    cancelHeartbeat();
    disconnect();
    handlers.onClose(session, error);
  }

  function destroy(): void {
    socket.destroy();
  }

  /**
   * Closes the connection once the peer has got all that was sent. It has
   * `times.timeout` for that.
   */
  function flush(): void {
    if (socket.connecting) return destroy();
    const cancel = timer.after(times.timeout, destroy);
    socket.once("close", cancel);
    socket.end();
  }

  function createError(
    step: string,
    message: string,
    cause?: unknown,
  ): StepError {
    const code = ErrorCode.Session;
    return new StepError({ code, step, peer: peerName(), message, cause });
  }

  function fail(step: string, message: string, cause?: unknown): void {
    finish(createError(step, message, cause));
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

  /** Checks the peer's hello and opens the session. */
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
    const order = fields.order ?? 1;
    const refusal = fields.accept?.(hello, order);
    if (refusal !== undefined) return fail("hello", refusal);
    session = {
      peer: hello,
      order,
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

  /** Closes the session after a silence of `times.timeout`. */
  function checkSilence(): void {
    if (closed) return;
    if (clock.now() - lastReceived > times.timeout) {
      return fail("heartbeat", `the peer was silent for ${times.timeout} ms`);
    }
    cancelCheck = timer.after(
      Math.min(CHECK_INTERVAL, times.timeout),
      checkSilence,
    );
  }

  /** Sends a heartbeat in every interval while the session is open. */
  function sendHeartbeats(): void {
    if (closed) return;
    if (session) send({ kind: "heartbeat", versions: fields.versions() });
    cancelHeartbeat = timer.after(times.heartbeat, sendHeartbeats);
  }

  socket.setNoDelay(true);
  socket.on("data", read);
  socket.on("error", (cause) => fail("connection", cause.message, cause));
  socket.on(
    "close",
    () => fail("connection", "the peer closed the connection"),
  );
  send(fields.hello());
  checkSilence();
  sendHeartbeats();
  return { close: (reason) => finish(createError("close", reason), flush) };
}
