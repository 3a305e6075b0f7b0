/**
 * Accepts sessions on a TCP port.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ErrorCode, StepError } from "@dragonflyledge/model";
import type { Clock, Hello, Timer, Versions } from "@dragonflyledge/model";
import { runSession } from "./session.ts";
import type { SessionHandlers, SessionTimes } from "./session.ts";

/** Most connections at a time; further ones are closed at once. */
const CONNECTION_LIMIT = 2048;

/** A port on which sessions are accepted. */
export interface Listener {
  readonly port: number;
  /** Stops accepting, closes all sessions and waits until they are closed. */
  close(): Promise<void>;
}

/**
 * Starts to accept sessions on `host` and `port`; port 0 picks a free one. The
 * other fields are those of `runSession`.
 *
 * @returns the listener, or a `DFL_SESSION` error if the port can't be used
 */
export async function listen(fields: {
  host: string;
  port: number;
  hello: () => Hello;
  versions: () => Versions;
  accept?: (hello: Hello, order: number) => string | undefined;
  handlers: SessionHandlers;
  clock: Clock;
  timer: Timer;
  times?: SessionTimes;
}): Promise<Result<Listener, StepError>> {
  const open = new Set<{ close: (reason: string) => void }>();
  let accepted = 0;
  const server = createServer((socket) => {
    accepted++;
    const session = runSession({ ...fields, socket, order: accepted });
    open.add(session);
    socket.once("close", () => open.delete(session));
  });
  server.maxConnections = CONNECTION_LIMIT;
  const failure = await bind(server, fields.host, fields.port);
  if (failure) return err(failure);
  return ok({
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const session of open) session.close("this process stops");
      }),
  });
}

/** Binds the server, and returns the error if that fails. */
function bind(
  server: Server,
  host: string,
  port: number,
): Promise<StepError | undefined> {
  return new Promise((resolve) => {
    server.once("error", (cause) => {
      resolve(
        new StepError({
          code: ErrorCode.Session,
          step: "listen",
          peer: `${host}:${port}`,
          message: cause.message,
          hint:
            "Check that the address is this machine's and the port is free.",
          cause,
        }),
      );
    });
    server.listen(port, host, () => resolve(undefined));
  });
}
