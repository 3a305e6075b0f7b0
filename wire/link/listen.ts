/**
 * Accepts links that other processes open.
 *
 * Load pattern: unknown peers that open many links, or leave frames incomplete.
 *
 * @module
 */

import { createServer } from "node:net";
import type { Server } from "node:net";
import { FRAME_LIMIT } from "@dragonflyledge/model";
import { createLink } from "./link.ts";
import type { Link, LinkMessage } from "./link.ts";

const DEFAULT_LINKS = 512;
const DEFAULT_BUFFERED = 16 * FRAME_LIMIT;

/** Bounds of what peers can make a process hold. */
export interface LinkLimits {
  /** Links at a time. */
  links: number;
  /** Bytes of incomplete frames of all links. */
  bufferedBytes: number;
}

/** What a peer makes this process hold. */
interface Peer {
  buffered: number;
  /** Whether the peer has sent a message, as processes of the system do. */
  known: boolean;
}

/**
 * Accepts links on `host` and `port`. `onError` is called if the port can't be
 * used. Closing the returned server closes no link.
 *
 * Beyond the limits the link of a peer that has sent no message is closed
 * first: the oldest if there are too many, the one that holds most if too many
 * bytes are held. If all peers have sent messages, a new link is refused, or
 * the one that holds most is closed.
 *
 * @param fields.onLimit is called with the reason, the address whose link met
 * the limit, and the bytes that the closed link held
 */
export function listenLinks(fields: {
  host: string;
  port: number;
  limits?: LinkLimits;
  onLink: (link: Link) => void;
  onMessage: (link: Link, message: LinkMessage) => void;
  onClose: (link: Link, reason: string) => void;
  onError: (error: Error) => void;
  onLimit?: (
    reason: keyof LinkLimits,
    address: string,
    freedBytes: number,
  ) => void;
}): Server {
  const { links: maxLinks, bufferedBytes } = fields.limits ??
    { links: DEFAULT_LINKS, bufferedBytes: DEFAULT_BUFFERED };
  /** In the order in which they were made. */
  const peers = new Map<Link, Peer>();
  let buffered = 0;

  function hold(link: Link, bytes: number): void {
    const peer = peers.get(link);
    if (!peer) return;
    buffered += bytes - peer.buffered;
    peer.buffered = bytes;
  }

  function findOldestUnknown(): Link | undefined {
    for (const [link, peer] of peers) if (!peer.known) return link;
    return undefined;
  }

  function findLargest(): Link | undefined {
    let largest: [Link, Peer] | undefined;
    for (const each of peers) {
      const [, peer] = each;
      const [, most] = largest ?? [];
      const isLarger = !most ||
        (peer.known === most.known
          ? peer.buffered > most.buffered
          : !peer.known && peer.buffered > 0);
      if (isLarger) largest = each;
    }
    return largest?.[0];
  }

  const server = createServer((socket) => {
    const address = socket.remoteAddress ?? "";
    if (peers.size >= maxLinks) {
      fields.onLimit?.("links", address, 0);
      const closed = findOldestUnknown();
      if (!closed) return void socket.destroy();
      closed.close();
    }
    const link: Link = createLink({
      socket,
      onMessage: (message) => {
        const peer = peers.get(link);
        if (peer) peer.known = true;
        fields.onMessage(link, message);
      },
      onClose: (reason) => {
        hold(link, 0);
        peers.delete(link);
        fields.onClose(link, reason);
      },
      onBuffered: (bytes) => {
        hold(link, bytes);
        while (buffered > bufferedBytes) {
          const largest = findLargest();
          const freed = (largest && peers.get(largest)?.buffered) ?? 0;
          largest?.close();
          fields.onLimit?.("bufferedBytes", address, freed);
        }
      },
    });
    peers.set(link, { buffered: 0, known: false });
    fields.onLink(link);
  });
  server.on("error", fields.onError);
  server.listen(fields.port, fields.host);
  return server;
}
