/**
 * Counts and times the calls to the store.
 *
 * @module
 */

import type { Instruments } from "@dragonflyledge/exposition";
import type { Clock } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";

/** Outcome of any call to the store. */
type Outcome =
  | { kind: string }
  | { isOk(): boolean; error?: { kind: string; receivedBytes?: number } };

/**
 * Returns a store whose calls are recorded in the metrics `store_calls_total`,
 * by operation and outcome, and `store_call_seconds`, by operation.
 */
export function instrumentStore(fields: {
  store: KeyValue;
  instruments: Instruments;
  clock: Clock;
}): KeyValue {
  const { store, instruments, clock } = fields;

  function observed<Args extends unknown[], T extends Outcome>(
    call: string,
    run: (...args: Args) => Promise<T>,
  ): (...args: Args) => Promise<T> {
    return async (...args) => {
      const startedAt = clock.now();
      const outcome = await run(...args);
      instruments.increment("store_calls_total", {
        call,
        outcome: outcomeName(outcome),
      });
      instruments.time("store_call_seconds", { call }, clock.now() - startedAt);
      return outcome;
    };
  }

  return {
    read: observed("read", store.read),
    list: observed("list", store.list),
    watch: observed("watch", store.watch),
    commit: observed("commit", store.commit),
    grant: observed("grant", store.grant),
    renew: observed("renew", store.renew),
    release: observed("release", store.release),
    close: store.close,
  };
}

function outcomeName(outcome: Outcome): string {
  if ("kind" in outcome) return outcome.kind;
  if (outcome.isOk()) return "done";
  if (outcome.error?.receivedBytes) return "incomplete";
  return outcome.error?.kind ?? "unknown";
}
