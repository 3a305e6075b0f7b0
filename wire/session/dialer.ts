/**
 * Keeps a session to one address open: dials again whenever it ends.
 *
 * @module
 */

import { connect } from "node:net";

import type {
  Clock,
  Hello,
  Milliseconds,
  Random,
  StepError,
  Timer,
  Versions,
} from "@dragonflyledge/model";
import { runSession } from "./session.ts";
import type { Session, SessionHandlers, SessionTimes } from "./session.ts";

/** Longest delay before the first new dial. */
const FIRST_DELAY: Milliseconds = 100;
/** The delay doubles with each failed dial up to this limit. */
const LONGEST_DELAY: Milliseconds = 2000;

/** A session to one address that is dialled again whenever it ends. */
export interface Dialer {
  readonly address: string;
  /** Closes the session and dials no more. */
  stop(): void;
}

/**
 * Starts to dial `address`, written as `host:port`. `handlers.onClose` is
 * called for each dial that fails and each session that ends.
 */
export function createDialer(fields: {
  address: string;
  hello: () => Hello;
  versions: () => Versions;
  handlers: SessionHandlers;
  clock: Clock;
  timer: Timer;
  random: Random;
  times?: SessionTimes;
}): Dialer {
  const { address, timer, random, handlers } = fields;
  const split = address.lastIndexOf(":");
  const host = address.slice(0, split);
  const port = Number(address.slice(split + 1));
  let stopped = false;
  /** Connections that ended since a session was last opened. */
  let failures = 0;
  let cancelRetry = () => {};
  let current: { close: (reason: string) => void } | undefined;

  function dial(): void {
    if (stopped) return;
    const socket = connect({ host, port });
    current = runSession({
      ...fields,
      socket,
      handlers: { ...handlers, onOpen, onClose },
    });
  }

  function onOpen(session: Session): void {
    failures = 0;
    handlers.onOpen(session);
  }

  function onClose(session: Session | undefined, error: StepError): void {
    current = undefined;
    handlers.onClose(session, error);
    if (stopped) return;
    cancelRetry = timer.after(retryDelay(failures, random), dial);
    failures++;
  }

  function stop(): void {
    stopped = true;
    cancelRetry();
    current?.close("this process stops");
  }

  dial();
  return { address, stop };
}

/**
 * Returns half to the whole of a delay that grows exponentially, at random, so
 * that peers which lost their sessions together don't dial at the same time.
 */
function retryDelay(failures: number, random: Random): Milliseconds {
  const longest = Math.min(LONGEST_DELAY, FIRST_DELAY * 2 ** failures);
  return longest / 2 + random() * longest / 2;
}
