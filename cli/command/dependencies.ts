/**
 * Interfaces through which commands reach files, network and environment, so
 * that tests can replace them.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** One HTTP request to an entry. */
export interface HttpRequest {
  method: "GET" | "PUT" | "POST" | "DELETE";
  url: string;
  headers: Record<string, string>;
  body?: string;
  /** Limit for the request and its whole answer. */
  timeout: Milliseconds;
}

/** Complete answer to an HTTP request. */
export interface HttpAnswer {
  status: number;
  body: string;
}

/** Error of an HTTP request that got no complete answer. */
export class RequestFailure extends Error {
  /** False only if it is certain that no byte of the request was sent. */
  readonly possiblySent: boolean;

  constructor(fields: { message: string; sent: boolean; cause?: unknown }) {
    super(fields.message, { cause: fields.cause });
    this.name = "RequestFailure";
    this.possiblySent = fields.sent;
  }
}

/** Functions and values that the commands get from their environment. */
export interface Dependencies {
  /** Writes to standard output. */
  write: (text: string) => void;
  /** Writes to standard error. */
  writeError: (text: string) => void;
  /** Reads a text file; `-` stands for standard input. */
  readFile: (path: string) => Promise<string>;
  /** Imports a module by path. */
  loadModule: (path: string) => Promise<Record<string, unknown>>;
  /** Sends a request; rejects with `RequestFailure` if no answer comes. */
  send: (request: HttpRequest) => Promise<HttpAnswer>;
  /**
   * Waits between two polls of a command that follows changes. The command ends
   * if the result is false or the function is absent.
   */
  wait?: (delay: Milliseconds) => Promise<boolean>;
  /** Environment variables. */
  environment: Record<string, string | undefined>;
}
