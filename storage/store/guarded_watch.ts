/**
 * Watch behind the guard. Starting it counts as one call, and it never serves
 * as a probe of the breaker.
 *
 * @module
 */

import type { Err, Result } from "neverthrow";
import type { StepError } from "@dragonflyledge/model";
import type { Store, Watch } from "./store.ts";

/**
 * Starts the watch once it is admitted, unless it was stopped before. If the
 * breaker or the budget refuses it, `onEnd` receives the error.
 *
 * @param fields.admit waits for the call budget
 * @param fields.checkBreaker returns an error unless the breaker is closed
 * @param fields.record told of the revision of each change
 */
export function startGuardedWatch(
  { store, counters, admit, checkBreaker, record, ...fields }:
    & Parameters<Store["watch"]>[0]
    & {
      store: Store;
      counters: { watch: number; watching: number };
      admit: () => Promise<Result<void, StepError>>;
      checkBreaker: () => Err<never, StepError> | undefined;
      record: (key: string, revision: number) => void;
    },
): Watch {
  let ended = false;
  let inner: Watch | undefined;

  function end(error: StepError | undefined): void {
    if (ended) return;
    ended = true;
    if (inner) counters.watching--;
    fields.onEnd(error);
  }

  async function start(): Promise<void> {
    const before = checkBreaker() ?? await admit();
    if (before.isErr()) return end(before.error);
    const after = checkBreaker();
    if (after) return end(after.error);
    if (ended) return;
    counters.watch++;
    counters.watching++;
    inner = store.watch({
      ...fields,
      onChange(changes) {
        for (const change of changes) record(change.key, change.revision);
        fields.onChange(changes);
      },
      onEnd: end,
    });
  }

  // The caller must hold the watch before any of its callbacks is called.
  queueMicrotask(() => void start());
  return {
    stop() {
      if (ended) return;
      ended = true;
      if (!inner) return;
      counters.watching--;
      inner.stop();
    },
  };
}
