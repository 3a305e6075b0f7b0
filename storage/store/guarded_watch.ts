/**
 * Watch behind the guard: it costs one call, and is not a probe.
 *
 * @module
 */

import type { Err, Result } from "neverthrow";
import type { StepError } from "@dragonflyledge/model";
import type { Store, Watch } from "./store.ts";

/** Starts the watch once it is admitted, unless it was stopped before. */
export function startGuardedWatch(
  { store, counters, admit, refused, note, ...fields }:
    & Parameters<Store["watch"]>[0]
    & {
      store: Store;
      counters: { watch: number; watching: number };
      admit: () => Promise<Result<void, StepError>>;
      refused: () => Err<never, StepError> | undefined;
      note: (key: string, revision: number) => void;
    },
): Watch {
  let over = false;
  let inner: Watch | undefined;

  function end(error: StepError | undefined): void {
    if (over) return;
    over = true;
    if (inner) counters.watching--;
    fields.onEnd(error);
  }

  async function start(): Promise<void> {
    const before = refused() ?? await admit();
    if (before.isErr()) return end(before.error);
    const after = refused();
    if (after) return end(after.error);
    if (over) return;
    counters.watch++;
    counters.watching++;
    inner = store.watch({
      ...fields,
      onChange(changes) {
        for (const change of changes) note(change.key, change.revision);
        fields.onChange(changes);
      },
      onEnd: end,
    });
  }

  // The caller gets the watch before any of its callbacks is called.
  queueMicrotask(() => void start());
  return {
    stop() {
      if (over) return;
      over = true;
      if (!inner) return;
      counters.watching--;
      inner.stop();
    },
  };
}
