import { test } from "tap";
import { setImmediate } from "node:timers";
import { err } from "neverthrow";
import { ErrorCode, StepError } from "@dragonflyledge/model";
import type { EntryEvent, JobRecord } from "@dragonflyledge/model";
import { NOT_SENT } from "@dragonflyledge/store";
import type { Records } from "./records.ts";
import { createStoreEffects } from "./store_effects.ts";

const NOW = "2026-01-01T00:00:00.000Z";

function start(records: Partial<Records>) {
  const clock = { now: () => 5, date: () => new Date(NOW) };
  const events: EntryEvent[] = [];
  const effects = createStoreEffects({
    records: records as Records,
    clock,
    timer: { after: () => () => {} },
    observer: { log() {}, count() {} } as never,
    dispatch: (event) => events.push(event),
  });
  const settled = () => new Promise((done) => setImmediate(done));
  return { events, effects, settled };
}

function failure(code: ErrorCode, step: string): StepError {
  return new StepError({ code, step, peer: "store", message: "no answer" });
}

const record: JobRecord = {
  id: "j",
  spec: {} as JobRecord["spec"],
  submitted: "",
  state: "queued",
  epoch: 1,
  owner: "e1",
  ownerIncarnation: 1,
  failedOn: [],
  started: false,
};

// Guards against `not-run` for a write that the store may have taken.
test("a write that was not sent is told from one without answer", async (t) => {
  const cases = [
    [ErrorCode.StoreUnavailable, NOT_SENT, "not-sent"],
    [ErrorCode.StoreBudget, NOT_SENT, "not-sent"],
    [ErrorCode.StoreUnavailable, "write", "unavailable"],
    [ErrorCode.StoreAnswer, "/v3/kv/txn", "unavailable"],
  ] as const;
  for (const [code, step, result] of cases) {
    const { effects, events, settled } = start({
      writeJob: () => Promise.resolve(err(failure(code, step))),
    });
    effects.perform({ kind: "writeJob", write: 1, record, revision: 0 });
    await settled();
    t.match(events, [{ kind: "jobWritten", write: 1, result }]);
  }
});
