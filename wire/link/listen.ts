/**
 * Accepts links that other processes open.
 *
 * @module
 */

import { createServer } from "node:net";
import type { Server } from "node:net";
import { createLink } from "./link.ts";
import type { Link, LinkMessage } from "./link.ts";

/**
 * Accepts links on `host` and `port`. `onError` is called if the port can't be
 * used. Closing the returned server closes no link.
 */
export function listenLinks(fields: {
  host: string;
  port: number;
  onLink: (link: Link) => void;
  onMessage: (link: Link, message: LinkMessage) => void;
  onClose: (link: Link, reason: string) => void;
  onError: (error: Error) => void;
}): Server {
  const server = createServer((socket) => {
    const link: Link = createLink({
      socket,
      onMessage: (message) => fields.onMessage(link, message),
      onClose: (reason) => fields.onClose(link, reason),
    });
    fields.onLink(link);
  });
  server.on("error", fields.onError);
  server.listen(fields.port, fields.host);
  return server;
}
