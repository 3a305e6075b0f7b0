import { test } from "tap";
import { setImmediate } from "node:timers";
import { err, ok } from "neverthrow";
import { ErrorCode, StepError } from "@dragonflyledge/model";
import type {
  Claim,
  EntryEvent,
  JobRecord,
  Timer,
} from "@dragonflyledge/model";
import { NOT_SENT } from "@dragonflyledge/store";
import type { Records } from "./records.ts";
import { createStoreEffects } from "./store_effects.ts";

const NOW = "2026-01-01T00:00:00.000Z";

function start(
  records: Partial<Records>,
  after: Timer["after"] = () => () => {},
) {
  let date = NOW;
  const clock = { now: () => 5, date: () => new Date(date) };
  const events: EntryEvent[] = [];
  const effects = createStoreEffects({
    records: records as Records,
    clock,
    timer: { after },
    observer: { log() {}, count() {} } as never,
    dispatch: (event) => events.push(event),
  });
  const settled = () => new Promise((done) => setImmediate(done));
  const setDate = (text: string) => date = text;
  return { events, setDate, effects, settled };
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

// Guards against the outcome `not-run` for a write that may have taken effect.
test("a write that was not sent is told from one without an answer", async (t) => {
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

const claim: Claim = {
  team: "lab",
  key: "k",
  fingerprint: "f",
  request: "r1",
  entry: "e1",
  incarnation: 1,
  created: "",
};

// Guards against claims without a creation time.
test("claims carry the wall-clock time of their creation", async (t) => {
  const stored: Claim[] = [];
  const { effects, setDate, settled } = start({
    createClaims: (claims) => {
      stored.push(...claims);
      return Promise.resolve(ok([{ kind: "created" }]));
    },
    settleClaim: (one) => {
      stored.push(one);
      return Promise.resolve(ok("settled"));
    },
  });
  effects.perform({ kind: "claim", claims: [claim] });
  await settled();
  setDate("2026-01-01T00:01:00.000Z");
  const outcome = { kind: "not-run", reason: "queue-full" } as const;
  effects.perform({ kind: "settleClaim", claim: { ...claim, outcome } });
  await settled();
  t.same(stored.map((one) => one.created), [NOW, NOW]);
});

// Guards against repeated requests that wait until the claim expires because
// the answer of the first request is too large for the store.
test("an answer too long for its claim is settled as unknown", async (t) => {
  const stored: Claim[] = [];
  const { effects, settled } = start({
    settleClaim: (one) => {
      stored.push(one);
      const large = one.outcome?.kind === "done";
      return Promise.resolve(ok(large ? "too-large" : "settled"));
    },
  });
  const body = new Uint8Array(2);
  const answer = { status: 200, contentType: "text/plain", body };
  const outcome = { kind: "done", answer } as const;
  effects.perform({ kind: "settleClaim", claim: { ...claim, outcome } });
  effects.perform({
    kind: "settleClaim",
    claim: { ...claim, key: "next", outcome: { ...outcome, kind: "failed" } },
  });
  await settled();
  t.match(stored.map((one) => [one.key, one.outcome]), [
    ["k", { kind: "done" }],
    ["k", { kind: "unknown", reason: "answer-too-long" }],
    ["next", { kind: "failed" }],
  ]);
});

// Guards against an entry that has stopped but does not end while the store is
// down, because the retry of a write that was under way keeps it alive.
test("a write that fails after the close is not tried again", async (t) => {
  let answer = () => {};
  let retries = 0;
  const { effects, settled } = start({
    settleClaim: () =>
      new Promise((resolve) => {
        const failed = failure(ErrorCode.StoreUnavailable, NOT_SENT);
        answer = () => resolve(err(failed));
      }),
  }, () => {
    retries++;
    return () => {};
  });
  const outcome = { kind: "not-run", reason: "queue-full" } as const;
  effects.perform({ kind: "settleClaim", claim: { ...claim, outcome } });
  effects.close();
  answer();
  await settled();
  t.equal(retries, 0);
});
