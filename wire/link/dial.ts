/**
 * Opens a link to a listening process.
 *
 * @module
 */

import { connect } from "node:net";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import { createLink } from "./link.ts";
import type { Link } from "./link.ts";

/**
 * Connects to `host` and `port`. `onClose` is called once, also if the
 * connection can't be made within `timeout`.
 */
export function dialLink(fields: {
  host: string;
  port: number;
  timeout: Milliseconds;
  timer: Timer;
  onOpen: (link: Link) => void;
  onMessage: (message: unknown) => void;
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
