/**
 * TCP relay whose connections can be silenced, reset, delayed or slowed down.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import { createPacer } from "./pacer.ts";
import type { Pacer } from "./pacer.ts";
import { createSystemTime } from "./system_timer.ts";

/** Direction in which bytes flow: to the target, to the caller, or both. */
export type Direction = "to-target" | "to-caller" | "both";

/**
 * A running relay. Faults apply to the connections that are open at the time.
 */
export interface Relay {
  readonly host: string;
  readonly port: number;
  /** Number of connections open now, and of those accepted so far. */
  readonly connections: { open: number; accepted: number };
  /** Number of bytes forwarded in each direction. */
  readonly bytes: { toTarget: number; toCaller: number };
  /** Discards all further bytes and keeps the connections open. */
  silence(direction?: Direction): void;
  /** Forwards further bytes, and the close of a connection, after `time`. */
  delay(time: Milliseconds, direction?: Direction): void;
  /**
   * Keeps further bytes, and the close of a connection, until `release`, as a
   * network does that repeats lost packets.
   */
  hold(direction?: Direction): void;
  /** Forwards what was held, in order. */
  release(): void;
  /**
   * Limits the speed in bytes per second that all connections share, also later
   * ones, in each direction; Infinity sets no limit.
   */
  limitSpeed(speed: number): void;
  /** Resets the connections. */
  cut(): void;
  /** While `refused` is set, new connections are reset at once. */
  refuse(refused: boolean): void;
  /**
   * While `muted` is set, new connections are accepted and silenced in both
   * directions. They stay silent when it is cleared.
   */
  mute(muted: boolean): void;
  /** Resets all connections and closes the relay. */
  stop(): Promise<void>;
}

interface DirectionState {
  silent: boolean;
  delay: Milliseconds;
  /** Tasks that wait for `release`; undefined unless the flow is held. */
  held?: (() => void)[];
}
interface RelayedConnection {
  toTarget: DirectionState;
  toCaller: DirectionState;
  cut(): void;
}

/** Starts a relay to `target`. Port 0 selects a free port. */
export async function createRelay(
  { target, host = "127.0.0.1", port = 0, timer = createSystemTime() }: {
    target: { host?: string; port: number };
    host?: string;
    port?: number;
    timer?: Timer & Clock;
  },
): Promise<Relay> {
  const links = new Set<RelayedConnection>();
  const bytes = { toTarget: 0, toCaller: 0 };
  const pacers = {
    toTarget: createPacer(timer),
    toCaller: createPacer(timer),
  };
  let accepted = 0;
  let refused = false;
  let muted = false;

  const server = createServer({ allowHalfOpen: false }, (caller) => {
    caller.on("error", () => {});
    if (refused) return void caller.resetAndDestroy();
    accepted++;
    const onward = connect(target.port, target.host ?? "127.0.0.1");
    const link = createLink(caller, onward);
    links.add(link);
    const removeIfClosed = () => {
      if (caller.closed && onward.closed) links.delete(link);
    };
    caller.once("close", removeIfClosed);
    onward.once("close", removeIfClosed);
  });

  function createLink(caller: Socket, onward: Socket): RelayedConnection {
    const toTarget: DirectionState = { silent: muted, delay: 0 };
    const toCaller: DirectionState = { silent: muted, delay: 0 };
    const countToTarget = (size: number) => bytes.toTarget += size;
    const countToCaller = (size: number) => bytes.toCaller += size;
    pass(caller, onward, toTarget, pacers.toTarget, countToTarget);
    pass(onward, caller, toCaller, pacers.toCaller, countToCaller);
    const cut = () => {
      reset(caller);
      reset(onward);
    };
    return { toTarget, toCaller, cut };
  }

  /**
   * Forwards bytes and the close of `from`, in order: while a chunk is delayed,
   * later ones are delayed too.
   */
  function pass(
    from: Socket,
    to: Socket,
    flow: DirectionState,
    pacer: Pacer,
    count: (size: number) => void,
  ): void {
    let waiting = 0;
    const forward = (task: () => void) => {
      if (flow.held) return void flow.held.push(task);
      if (flow.delay === 0 && waiting === 0) return task();
      waiting++;
      timer.after(flow.delay, () => {
        waiting--;
        if (flow.held) flow.held.push(task);
        else task();
      });
    };
    const deliver = (chunk: Uint8Array) =>
      forward(() => {
        if (flow.silent || to.destroyed) return;
        count(chunk.length);
        to.write(chunk);
      });
    const send = ([segment, ...rest]: Uint8Array[]): void => {
      if (!segment) return void from.resume();
      const delay = pacer.reserve(segment.length);
      if (delay === 0) {
        deliver(segment);
        return send(rest);
      }
      from.pause();
      timer.after(delay, () => {
        deliver(segment);
        send(rest);
      });
    };
    from.on("error", () => {});
    from.on("data", (chunk) => send(pacer.split(chunk)));
    from.on("close", () =>
      forward(() => {
        // The close of a silenced connection is not forwarded.
        if (!flow.silent) to.destroy();
      }));
  }

  /** Returns the open flows in a direction, oldest connection first. */
  const flowsOf = (direction: Direction) =>
    [...links].flatMap((link) => [
      ...(direction === "to-caller" ? [] : [link.toTarget]),
      ...(direction === "to-target" ? [] : [link.toCaller]),
    ]);

  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });

  return {
    host,
    port: (server.address() as AddressInfo).port,
    connections: {
      get open() {
        return links.size;
      },
      get accepted() {
        return accepted;
      },
    },
    bytes,
    silence(direction = "both") {
      for (const flow of flowsOf(direction)) flow.silent = true;
    },
    delay(time, direction = "both") {
      for (const flow of flowsOf(direction)) flow.delay = time;
    },
    hold(direction = "both") {
      for (const flow of flowsOf(direction)) flow.held ??= [];
    },
    release() {
      for (const flow of flowsOf("both")) {
        const tasks = flow.held ?? [];
        flow.held = undefined;
        for (const task of tasks) task();
      }
    },
    limitSpeed(speed) {
      pacers.toTarget.speed = speed;
      pacers.toCaller.speed = speed;
    },
    cut: () => links.forEach((link) => link.cut()),
    refuse: (value) => void (refused = value),
    mute: (value) => void (muted = value),
    stop() {
      links.forEach((link) => link.cut());
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

/**
 * Resets a socket. One whose end has been sent is destroyed instead, because
 * Node never closes it on a reset.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
