/**
 * What commands need from their surroundings, as functions.
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
  /** Limit for the whole exchange. */
  timeout: Milliseconds;
}

/** Whole answer to an HTTP request. */
export interface HttpAnswer {
  status: number;
  body: string;
}

/** Exchange that brought no answer. */
export class RequestFailure extends Error {
  /** False only if no byte of the request left. */
  readonly possiblySent: boolean;

  constructor(fields: { message: string; sent: boolean; cause?: unknown }) {
    super(fields.message, { cause: fields.cause });
    this.name = "ExchangeFailure";
    this.possiblySent = fields.sent;
  }
}

/** Surroundings of the commands. */
export interface Dependencies {
  /** Writes to standard output. */
  write: (text: string) => void;
  /** Writes to standard error. */
  writeError: (text: string) => void;
  /** Reads a text file; `-` stands for standard input. */
  readFile: (path: string) => Promise<string>;
  /** Imports a module by path. */
  loadModule: (path: string) => Promise<Record<string, unknown>>;
  /** Fails with `ExchangeFailure` if no answer came. */
  send: (request: HttpRequest) => Promise<HttpAnswer>;
  /** Waits between two polls; false ends a command that follows changes. */
  wait?: (delay: Milliseconds) => Promise<boolean>;
  environment: Record<string, string | undefined>;
}
