/**
 * Kinds of tasks, of which the interference is estimated.
 *
 * Load pattern: a few images, or a few steps of a few queues, make up most of
 * the tasks. Kinds beyond the table's size are not tracked; a table that is
 * full gives the place of the kind that was not seen for longest to a new one.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "../job.ts";

/** Most kinds that are tracked; the estimates take its square in numbers. */
export const MAX_KINDS = 48;

/** A kind that was not seen for this long may be replaced. */
const REPLACE_AFTER: Milliseconds = 60_000;

/** Longest text of an image that tells kinds apart. */
const MAX_IMAGE_LENGTH = 200;

/** Names the kind of the tasks of one step of a job of the queue. */
export function kindName(
  fields: { step: Step; queue: string; stepIndex: number },
): string {
  const { image } = fields.step;
  return image === ""
    ? `${fields.queue}#${fields.stepIndex}`
    : image.slice(0, MAX_IMAGE_LENGTH);
}

/** Numbers of the kinds that are tracked. */
export interface KindTable {
  /** Number of a kind, from 0; undefined if it is not tracked. */
  find(name: string): number | undefined;
  /**
   * Returns the number of a kind and notes that it was seen. Returns undefined
   * if the table is full of kinds in use.
   */
  see(name: string, now: Milliseconds): number | undefined;
  /** Name of the kind with this number. */
  nameOf(kind: number): string;
  readonly size: number;
}

/** Creates an empty table; `onReplaced` is told of each number given anew. */
export function createKindTable(
  onReplaced: (kind: number) => void,
): KindTable {
  const numbers = new Map<string, number>();
  const names: string[] = [];
  const seenAt: Milliseconds[] = [];

  function takePlace(now: Milliseconds): number | undefined {
    if (names.length < MAX_KINDS) return names.length;
    const oldest = seenAt.indexOf(Math.min(...seenAt));
    if (now - seenAt[oldest]! < REPLACE_AFTER) return undefined;
    numbers.delete(names[oldest]!);
    onReplaced(oldest);
    return oldest;
  }

  return {
    find: (name) => numbers.get(name),
    see: (name, now) => {
      const kind = numbers.get(name) ?? takePlace(now);
      if (kind === undefined) return undefined;
      numbers.set(name, kind);
      names[kind] = name;
      seenAt[kind] = now;
      return kind;
    },
    nameOf: (kind) => names[kind] ?? "",
    get size() {
      return names.length;
    },
  };
}
