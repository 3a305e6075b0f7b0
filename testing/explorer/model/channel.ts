/**
 * One direction of a link: delivers in order, and may be held or cut.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Agenda } from "./agenda.ts";

/** One direction of a link. */
export interface Channel<Item> {
  send(item: Item): void;
  /** Keeps what is sent for this long, and delivers it then. */
  hold(duration: Milliseconds): void;
  /** Loses what is under way, and all that is sent later. */
  cut(): void;
}

/** Creates a channel with the given delay of each item. */
export function createChannel<Item>(fields: {
  agenda: Agenda;
  delay: () => Milliseconds;
  deliver: (item: Item) => void;
}): Channel<Item> {
  const { agenda } = fields;
  let lastAt: Milliseconds = 0;
  let holds = 0;
  let held: Item[] = [];
  let isCut = false;

  function schedule(item: Item): void {
    lastAt = Math.max(lastAt, agenda.now() + fields.delay());
    agenda.after(lastAt - agenda.now(), () => {
      if (!isCut) fields.deliver(item);
    });
  }

  function release(): void {
    if (--holds > 0) return;
    const items = held;
    held = [];
    items.forEach(schedule);
  }

  return {
    send: (item) => {
      if (holds > 0) held.push(item);
      else schedule(item);
    },
    hold: (duration) => {
      holds++;
      agenda.after(duration, release);
    },
    cut: () => {
      isCut = true;
    },
  };
}
