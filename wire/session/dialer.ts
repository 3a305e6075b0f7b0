/**
 * Keeps a session to one address, and replaces it whenever it ends.
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

const FIRST_DELAY: Milliseconds = 100;
const LONGEST_DELAY: Milliseconds = 2000;

/** A session to one address that is dialled again whenever it ends. */
export interface Dialer {
  readonly address: string;
  stop(): void;
}

/** Starts to dial `address`, written as `host:port`. */
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
    current?.close("the process stops");
  }

  dial();
  return { address, stop };
}

/** Full jitter on an exponential delay, so that peers do not dial in step. */
function retryDelay(failures: number, random: Random): Milliseconds {
  const longest = Math.min(LONGEST_DELAY, FIRST_DELAY * 2 ** failures);
  return longest / 2 + random() * longest / 2;
}
