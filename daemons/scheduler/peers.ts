/**
 * Passes callers' requests to other entries while the store does not answer
 * this one.
 *
 * @module
 */

import { dialLink, listenLinks } from "@dragonflyledge/link";
import type { Link } from "@dragonflyledge/link";
import type { Log } from "@dragonflyledge/log";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";

const CONNECT_TIMEOUT: Milliseconds = 300;
/** Peers that are asked for one request. */
const MAX_PEERS = 2;
/** Answer of an entry whose configuration is behind the sender's. */
const OUTDATED: HttpAnswer = { status: 503, headers: { "retry-after": "1" } };

interface PeerRequest {
  kind: "request";
  id: number;
  request: HttpRequest;
  /** Version of the configuration in force at the sender, or 0. */
  version: number;
}

interface PeerAnswer {
  kind: "answer";
  id: number;
  answer: HttpAnswer;
  /** The stored configuration, if it is newer than the sender's. */
  configuration?: Uint8Array;
}

/** A configuration as it is stored. */
export interface StoredConfiguration {
  version: number;
  bytes: Uint8Array;
}

/** What came of passing a request on. */
export type ForwardOutcome =
  | { kind: "answer"; answer: HttpAnswer }
  /** No peer has seen the request. */
  | { kind: "notSent" }
  /** A peer may have carried it out. */
  | { kind: "unknown" };

/** Links to other entries. */
export interface Peers {
  /** Passes a request on and waits for its answer until `timeout`. */
  forward(
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<ForwardOutcome>;
  close(): void;
}

/** Serves requests of other entries, and passes on own ones. */
export function createPeers(fields: {
  name: string;
  host: string;
  port: number;
  /** Link addresses of all entries by name. */
  entries: () => ReadonlyMap<string, string>;
  /** Answers a request without passing it on again. */
  handle: (request: HttpRequest) => Promise<HttpAnswer>;
  configuration: () => StoredConfiguration | undefined;
  /** Takes a newer configuration, so that no later answer goes back. */
  onConfiguration: (bytes: Uint8Array) => void;
  timer: Timer;
  log: Log;
}): Peers {
  const { timer, log } = fields;
  let nextId = 1;
  let nextPeer = 0;

  const server = listenLinks({
    host: fields.host,
    port: fields.port,
    onLink: () => {},
    onMessage: (link, message) => void serve(link, message as PeerRequest),
    onClose: () => {},
    onError: (error) => log.error("Links fail.", { error: `${error}` }),
  });

  async function serve(link: Link, message: PeerRequest): Promise<void> {
    if (message.kind !== "request") return;
    const { id, request, version } = message;
    const own = fields.configuration()?.version ?? 0;
    // Callers must not be answered by an older configuration than before.
    const answer = own < version ? OUTDATED : await fields.handle(request);
    const known = fields.configuration();
    const configuration = known && known.version > version
      ? known.bytes
      : undefined;
    link.send({ kind: "answer", id, answer, configuration });
  }

  function ask(
    address: string,
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<ForwardOutcome> {
    return new Promise((resolve) => {
      const [host, port] = address.split(":");
      const id = nextId++;
      let sent = false;
      let done = false;
      const finish = (outcome: ForwardOutcome) => {
        if (done) return;
        done = true;
        cancel();
        link.close();
        resolve(outcome);
      };
      const fail = () => finish({ kind: sent ? "unknown" : "notSent" });
      const cancel = timer.after(timeout, fail);
      const link: Link = dialLink({
        host: host!,
        port: Number(port),
        timeout: CONNECT_TIMEOUT,
        timer,
        onOpen: (opened) => {
          sent = true;
          const version = fields.configuration()?.version ?? 0;
          opened.send({ kind: "request", id, request, version });
        },
        onMessage: (message) => {
          const reply = message as PeerAnswer;
          if (reply.kind !== "answer" || reply.id !== id) return;
          if (reply.configuration) fields.onConfiguration(reply.configuration);
          finish({ kind: "answer", answer: reply.answer });
        },
        onClose: fail,
      });
    });
  }

  return {
    forward: async (request, timeout) => {
      const peers = [...fields.entries()]
        .filter(([name]) => name !== fields.name)
        .map(([, address]) => address);
      for (let tried = 0; tried < Math.min(MAX_PEERS, peers.length); tried++) {
        const address = peers[nextPeer++ % peers.length]!;
        const outcome = await ask(address, request, timeout);
        if (outcome.kind !== "notSent") return outcome;
      }
      return { kind: "notSent" };
    },
    close: () => server.close(),
  };
}
