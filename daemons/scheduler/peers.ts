/**
 * Forwards callers' requests to other entries while the store does not answer
 * this entry, or its configuration may not be the newest.
 *
 * @module
 */

import { dialLink, listenLinks } from "@dragonflyledge/link";
import type { Link, LinkMessage } from "@dragonflyledge/link";
import type { Log } from "@dragonflyledge/log";
import { parseAddress } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type {
  HttpAnswer,
  HttpRequest,
  LinkControl,
} from "@dragonflyledge/program";
import { Status, UNAVAILABLE } from "./caller_answers.ts";
import type { DeploymentHolder } from "./deployment.ts";

const CONNECT_TIMEOUT: Milliseconds = 300;
/** Number of peers to which one request may be sent in turn. */
const MAX_PEERS = 4;
/** Number of peers that may be unreachable before a request counts as not sent. */
const MAX_UNREACHABLE_PEERS = 2;

/** Message that forwards a request to another entry. */
interface PeerRequest {
  kind: "request";
  id: number;
  request: HttpRequest;
  /** Highest version by which callers of the sender may have been answered. */
  version: number;
}

/** Message that answers a forwarded request. */
interface PeerAnswer {
  kind: "answer";
  id: number;
  answer: HttpAnswer;
  /**
   * Version of the configuration that the answer follows. Entries of former
   * releases don't tell it.
   */
  version?: number;
}

/** Outcome of forwarding a request. */
export type ForwardOutcome =
  | { kind: "answer"; answer: HttpAnswer }
  /** The request was sent to no peer. */
  | { kind: "notSent" }
  /** A peer may have carried out the request. */
  | { kind: "unknown" };

/** Forwards requests to other entries, and serves theirs. */
export interface Peers {
  /**
   * Forwards a request to one peer after the other until one carries it out, or
   * leaves open whether it does. Takes at most `timeout`.
   */
  forward(
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<ForwardOutcome>;
  close(): void;
}

/** Listens for requests of other entries; dials them to forward requests. */
export function createPeers(fields: {
  name: string;
  host: string;
  port: number;
  /** Limits of the links that others open, and how they are reported. */
  linkLimits?: LinkControl;
  /** Link addresses of all entries by name. */
  entries: () => ReadonlyMap<string, string>;
  /** Answers a request without forwarding it again. */
  handle: (request: HttpRequest) => Promise<HttpAnswer>;
  configurations: Pick<
    DeploymentHolder,
    "current" | "isConfirmed" | "newestUsed" | "noteUsed"
  >;
  clock: Pick<Clock, "now">;
  timer: Timer;
  log: Log;
}): Peers {
  const { configurations, clock, timer, log } = fields;
  const ownVersion = () => configurations.current()?.version ?? 0;
  let nextId = 1;
  let nextPeer = 0;

  const server = listenLinks({
    host: fields.host,
    port: fields.port,
    ...fields.linkLimits,
    onLink: () => {},
    onMessage: (link, message) => {
      const request = decodePeerRequest(message);
      if (request) {
        serve(link, request).catch((error) => {
          log.error("A passed request failed.", {
            path: request.request.path,
            error: `${error}`,
          });
          link.close();
        });
        return;
      }
      log.warn("A message holds no request.", { kind: message.kind });
      link.close();
    },
    onClose: () => {},
    onError: (error) =>
      log.error("The link server failed.", { error: `${error}` }),
  });

  async function serve(link: Link, message: PeerRequest): Promise<void> {
    const { id, request, version } = message;
    // A caller must not be answered by an older configuration than the one that
    // answered it before, nor by one that may not be the newest.
    const decides = configurations.isConfirmed() && ownVersion() >= version;
    const answer = decides ? await fields.handle(request) : UNAVAILABLE;
    link.send({ kind: "answer", id, answer, version: ownVersion() });
  }

  function askPeer(
    address: string,
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<ForwardOutcome> {
    return new Promise((resolve) => {
      const target = parseAddress(address);
      if (!target) return resolve({ kind: "notSent" });
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
        ...target,
        timeout: CONNECT_TIMEOUT,
        timer,
        onOpen: (opened) => {
          sent = true;
          const version = configurations.newestUsed();
          opened.send({ kind: "request", id, request, version });
        },
        onMessage: (message) => {
          const reply = decodePeerAnswer(message);
          if (!reply) return link.close();
          if (reply.id !== id) return;
          const decided = reply.answer.status !== Status.Unavailable;
          if (decided) configurations.noteUsed(reply.version ?? 0);
          finish({ kind: "answer", answer: reply.answer });
        },
        onClose: fail,
      });
    });
  }

  async function forward(
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<ForwardOutcome> {
    const endsAt = clock.now() + timeout;
    const peers = [...fields.entries()]
      .filter(([name]) => name !== fields.name)
      .map(([, address]) => address);
    let outcome: ForwardOutcome = { kind: "notSent" };
    let unreachable = 0;
    for (let tried = 0; tried < Math.min(MAX_PEERS, peers.length); tried++) {
      const left = endsAt - clock.now();
      if (left <= 0 || unreachable === MAX_UNREACHABLE_PEERS) break;
      const address = peers[nextPeer++ % peers.length]!;
      const asked = await askPeer(address, request, left);
      if (!isNotCarriedOut(asked)) return asked;
      if (asked.kind === "notSent") unreachable++;
      else outcome = asked;
    }
    return outcome;
  }

  return {
    forward,
    close: () => server.close(),
  };
}

/** Whether the peer has certainly not carried out the request. */
function isNotCarriedOut(outcome: ForwardOutcome): boolean {
  return outcome.kind === "notSent" ||
    outcome.kind === "answer" && outcome.answer.status === Status.Unavailable;
}

/** Returns the message if it forwards a request, otherwise undefined. */
function decodePeerRequest(message: LinkMessage): PeerRequest | undefined {
  const { kind, id, version } = message;
  const request = message.request as Partial<HttpRequest> | null | undefined;
  const whole = kind === "request" && typeof id === "number" &&
    typeof version === "number" && typeof request?.method === "string" &&
    typeof request.path === "string" && isObject(request.headers) &&
    request.body instanceof Uint8Array;
  return whole ? message as unknown as PeerRequest : undefined;
}

/** Returns the message if it answers a request, otherwise undefined. */
function decodePeerAnswer(message: LinkMessage): PeerAnswer | undefined {
  const { kind, id, version } = message;
  const answer = message.answer as Partial<HttpAnswer> | null | undefined;
  const whole = kind === "answer" && typeof id === "number" &&
    Number.isInteger(answer?.status) &&
    (version === undefined || typeof version === "number");
  return whole ? message as unknown as PeerAnswer : undefined;
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}
