/**
 * Opens a link to a listening process.
 *
 * @module
 */

import { connect } from "node:net";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import { createLink } from "./link.ts";
import type { Link, LinkMessage } from "./link.ts";

/**
 * Connects to `host` and `port`. `onOpen` is called when the connection is
 * made. `onClose` is called once, when the link ends or if the connection is
 * not made within `timeout` milliseconds.
 */
export function dialLink(fields: {
  host: string;
  port: number;
  timeout: Milliseconds;
  timer: Timer;
  onOpen: (link: Link) => void;
  onMessage: (message: LinkMessage) => void;
  onClose: (reason: string) => void;
}): Link {
  const socket = connect({ host: fields.host, port: fields.port });
  const link = createLink({
    socket,
    onMessage: fields.onMessage,
    onClose: (reason) => {
      cancel();
      fields.onClose(reason);
    },
  });
  const cancel = fields.timer.after(fields.timeout, () => link.close());
  socket.once("connect", () => {
    cancel();
    fields.onOpen(link);
  });
  return link;
}
