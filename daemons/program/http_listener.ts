/**
 * HTTP server that bounds what its clients can make the process hold.
 *
 * Requests of one connection are handled one after the other, each once its
 * body has been received.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { KIBIBYTE, SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Holding } from "./byte_budget.ts";
import { Limit } from "./client_control.ts";
import type { ClientControl } from "./client_control.ts";
import { chooseConnection, hasExpired, Phase } from "./connection_table.ts";
import type { TrackedConnection } from "./connection_table.ts";
import { headBytes, reportShortage, serve } from "./http_exchange.ts";
import type { Exchange, ExchangeContext } from "./http_exchange.ts";
import { parseByRequest } from "./request_lines.ts";
import type {
  Admission,
  HttpAnswer,
  HttpRequest,
  HttpRequestHead,
} from "./http_message.ts";

/** A listening server. */
export interface HttpListener {
  /** Returns the number of requests that are being read or answered. */
  activeRequests(): number;
  /** Returns the number of open connections. */
  connections(): Promise<number>;
  /** Makes each further answer close its connection. */
  closeAfterAnswers(): void;
  /** Stops listening and closes idle connections. */
  close(): void;
}

/** Interval at which connections are checked for their time limits. */
const SWEEP_INTERVAL: Milliseconds = 250;
/** Intervals without a check after which the process has stood still. */
const STALL_INTERVALS = 4;
/** Connections of a listener for the platform itself. */
const PLATFORM_CONNECTIONS = 16;
const DEFAULT_HEADER_LIMIT = 16 * KIBIBYTE;
const DEFAULT_HEADER_TIMEOUT: Milliseconds = 3 * SECOND;
/** Node closes idle connections itself; these are for what it leaves open. */
const IDLE_RESERVE: Milliseconds = 1 * SECOND;
const TIMEOUT_LINE = "408 Request Timeout";
const HEADERS_LINE = "431 Request Header Fields Too Large";
const BAD_REQUEST_LINE = "400 Bad Request";

/** What requests of the platform hold, which is not counted. */
const FREE_HOLDING: Holding = {
  take: () => undefined,
  assign: () => {},
  complete: () => {},
  release: () => {},
};

/** A connection with the requests on it that are not answered. */
interface Connection extends TrackedConnection {
  socket: Socket;
  /** Set once a request has begun. */
  context?: ExchangeContext;
  current?: Exchange;
  waiting: Exchange[];
}

/**
 * Listens on `address`, given as `host:port`.
 *
 * @param fields.name name of the listener in reports
 * @param fields.clients limits and budget that the process's listeners share
 * @param fields.forPlatform whether only the platform connects to it; it has a
 * few connections of its own and takes nothing from the budget
 * @param fields.bodyLimit returns the maximum size of a body in bytes; a larger
 * one is answered with status 413
 * @param fields.headerLimit returns the maximum size of the headers in bytes;
 * larger ones are answered with status 431
 * @param fields.headerTimeout returns the time in which headers must be
 * complete; others are answered with status 408
 * @param fields.idleTimeout returns the time after which an idle connection is
 * closed
 * @param fields.admit decides on the headers whether the body is read
 * @param fields.onError receives errors of the server and of `handle`, which
 * are answered with status 500
 */
export function listenHttp(fields: {
  address: string;
  name: string;
  clients: ClientControl;
  forPlatform?: boolean;
  bodyLimit: () => number;
  headerLimit?: () => number;
  headerTimeout?: () => Milliseconds;
  idleTimeout: () => Milliseconds;
  admit?: (head: HttpRequestHead) => Admission;
  handle: (request: HttpRequest) => Promise<HttpAnswer> | HttpAnswer;
  onError: (error: Error) => void;
}): HttpListener {
  const { clients, idleTimeout } = fields;
  const { limits, budget, clock, timer } = clients;
  const headerLimit = fields.headerLimit ?? (() => DEFAULT_HEADER_LIMIT);
  const headerTimeout = fields.headerTimeout ?? (() => DEFAULT_HEADER_TIMEOUT);
  const maxConnections = fields.forPlatform
    ? PLATFORM_CONNECTIONS
    : limits.connections;
  const [host, port] = fields.address.split(":");
  const connections = new Map<Socket, Connection>();
  let active = 0;
  let closing = false;
  let sweptAt = clock.now();

  const report = (limit: Limit, client: string) =>
    clients.report(fields.name, limit, client);

  function enter(connection: Connection, phase: Phase): void {
    connection.phase = phase;
    connection.since = clock.now();
    connection.mark = connection.socket.bytesRead;
  }

  /** Closes a connection; requests on it that have not begun never run. */
  function drop(connection: Connection): void {
    connection.socket.destroy();
    forget(connection);
  }

  function forget(connection: Connection): void {
    if (!connections.delete(connection.socket)) return;
    active -= connection.waiting.length;
    for (const { holding } of connection.waiting) holding.release();
    connection.waiting = [];
  }

  function accept(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const connection: Connection = {
      socket,
      address,
      phase: Phase.Idle,
      since: clock.now(),
      mark: 0,
      waiting: [],
    };
    if (connections.size >= maxConnections) {
      report(Limit.Connections, address);
      const closed = chooseConnection(connections.values());
      if (!closed) return void socket.destroy();
      drop(closed);
    }
    connections.set(socket, connection);
    parseByRequest(socket);
    socket.once("close", () => forget(connection));
  }

  function receive(
    incoming: IncomingMessage,
    response: ServerResponse,
    awaitsContinue = false,
  ): void {
    const connection = connections.get(incoming.socket);
    // Requests that were parsed ahead on a connection that is closed.
    if (!connection) return;
    if (connection.waiting.length + 1 >= limits.pipelined) {
      report(Limit.Pipelined, connection.address);
      return drop(connection);
    }
    const holding = fields.forPlatform ? FREE_HOLDING : budget.open({
      owner: connection.address,
      onShed: (why) => {
        if (exchange.giveUp) return exchange.giveUp({ kind: "shortage", why });
        reportShortage({ report }, why, connection.address);
        drop(connection);
      },
    });
    const exchange: Exchange = { incoming, response, awaitsContinue, holding };
    const why = holding.take(headBytes(incoming));
    exchange.shortage = why;
    if (why && connection.current) {
      holding.release();
      reportShortage({ report }, why, connection.address);
      return drop(connection);
    }
    active++;
    if (connection.current) connection.waiting.push(exchange);
    else begin(connection, exchange);
  }

  /** What serving the requests of a connection needs. */
  function createContext(connection: Connection): ExchangeContext {
    return {
      address: connection.address,
      buffers: clients.buffers,
      garbage: clients.garbage,
      bodyLimit: fields.bodyLimit,
      headerLimit,
      headerFields: limits.headerFields,
      isClosing: () => closing && connection.waiting.length === 0,
      enter: (phase) => enter(connection, phase),
      report,
      admit: fields.admit,
      handle: fields.handle,
      onError: fields.onError,
    };
  }

  async function begin(
    connection: Connection,
    exchange: Exchange,
  ): Promise<void> {
    connection.current = exchange;
    connection.context ??= createContext(connection);
    await serve(exchange, connection.context);
    exchange.holding.release();
    active--;
    connection.current = undefined;
    const next = connection.waiting.shift();
    if (next) begin(connection, next);
    else enter(connection, Phase.Idle);
  }

  /** Closes the connections that have taken too long. */
  function sweep(): void {
    const now = clock.now();
    const stalled = now - sweptAt > STALL_INTERVALS * SWEEP_INTERVAL;
    sweptAt = now;
    // What clients sent while the process stood still has yet to be read.
    if (stalled) return;
    server.keepAliveTimeout = idleTimeout();
    // Node reads this when a connection is made, but declares it for the
    // creation of a server only.
    Object.assign(server, { maxHeaderSize: headerLimit() });
    const phaseLimits = {
      [Phase.Idle]: idleTimeout() + IDLE_RESERVE,
      [Phase.Headers]: headerTimeout(),
      [Phase.Body]: limits.bodyTimeout,
      [Phase.Answering]: limits.responseTimeout,
    };
    for (const connection of [...connections.values()]) {
      const { phase, socket, mark } = connection;
      const begun = phase === Phase.Idle && socket.bytesRead > mark;
      if (begun) enter(connection, Phase.Headers);
      else if (hasExpired(connection, now, phaseLimits)) expire(connection);
    }
  }

  function expire(connection: Connection): void {
    const { phase, address, socket } = connection;
    switch (phase) {
      case Phase.Headers:
        report(Limit.HeaderTimeout, address);
        return endWith(socket, TIMEOUT_LINE);
      case Phase.Body:
        if (connection.current?.giveUp) {
          return connection.current.giveUp({ kind: "late" });
        }
        report(Limit.BodyTimeout, address);
        return drop(connection);
      case Phase.Answering:
        report(Limit.ResponseTimeout, address);
        return drop(connection);
      default:
        return drop(connection);
    }
  }

  function refuseMalformed(error: Error & { code?: string }, socket: Socket) {
    const connection = connections.get(socket);
    if (!connection || connection.current || !socket.writable) {
      return void socket.destroy();
    }
    if (error.code !== "HPE_HEADER_OVERFLOW") {
      return endWith(socket, BAD_REQUEST_LINE);
    }
    report(Limit.Headers, connection.address);
    endWith(socket, HEADERS_LINE);
  }

  const server: Server = createServer(
    // The sweep applies the time limits of the configuration in force.
    {
      keepAliveTimeout: idleTimeout(),
      headersTimeout: 0,
      requestTimeout: 0,
      maxHeaderSize: headerLimit(),
      noDelay: true,
    },
    receive,
  );
  // One more than is allowed shows that there are too many.
  server.maxHeadersCount = limits.headerFields + 1;
  server.on("checkContinue", (incoming, response) => {
    receive(incoming, response, true);
  });
  server.on("connection", accept);
  server.on("clientError", refuseMalformed);
  server.on("error", fields.onError);
  server.listen(Number(port), host);
  let cancelSweep = timer.after(SWEEP_INTERVAL, function repeat() {
    sweep();
    cancelSweep = timer.after(SWEEP_INTERVAL, repeat);
  });
  return {
    activeRequests: () => active,
    connections: () => Promise.resolve(connections.size),
    closeAfterAnswers: () => {
      closing = true;
    },
    close: () => {
      cancelSweep();
      server.close();
      server.closeIdleConnections();
    },
  };
}

/** Sends an answer without a body on a connection without a request. */
function endWith(socket: Socket, line: string): void {
  const text = `HTTP/1.1 ${line}\r\nconnection: close\r\ncontent-length: 0`;
  socket.end(`${text}\r\n\r\n`, () => socket.destroy());
}
