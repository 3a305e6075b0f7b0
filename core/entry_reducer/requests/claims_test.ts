import { test } from "tap";
import type { Claim, Outcome } from "@dragonflyledge/model";
import { createHarness } from "../test_support.ts";

const keyed = { idempotencyKey: "k" };
const outcome: Outcome = {
  kind: "done",
  answer: { status: 200, contentType: "", body: new Uint8Array([3]) },
};

const claim = (fields: Partial<Claim> = {}): Claim => ({
  team: "a",
  key: "k",
  fingerprint: "f",
  request: "other",
  entry: "e2",
  incarnation: 1,
  created: "",
  ...fields,
});

/** Creates an entry with a request whose key has the given claim already. */
function requestWithClaim(existing: Claim, fields = {}) {
  const h = createHarness(["w1"]);
  const entry = { id: "e2", incarnation: 1, address: "", httpAddress: "" };
  h.on({ kind: "entriesSeen", entries: [entry] });
  h.request("r1", { ...keyed, ...fields });
  h.at(5);
  h.answerClaims([{ kind: "existing", claim: existing }]);
  return h;
}

// Guards against work that runs before its key is claimed, and against a
// stored claim that never gets its outcome.
test("a key is claimed before the attempt and its claim gets the answer", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.request("r2", { idempotencyKey: "l" });
  t.equal(h.claims().length, 0);
  h.at(1);
  t.equal(h.claims().length, 2, "in one call");
  t.notOk(h.attempt("r1"));
  h.answerClaims();
  const kinds = h.answer("r1").map((effect) => effect.kind);
  t.ok(kinds.indexOf("settleClaim") < kinds.indexOf("respond"));
  t.equal(h.settledClaims()[0]!.request, "r1");
  t.equal(h.settledClaims()[0]!.outcome!.kind, "done");
  t.end();
});

// Guards against a claim that exceeds the store's size limit.
test("the claim of an answer too long for the store is unknown", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.at(5);
  h.answerClaims();
  h.answer("r1", 200, { piece: new Uint8Array(800_000) });
  t.equal(h.outcome("r1"), "done: 200");
  t.same(h.settledClaims()[0]!.outcome, {
    kind: "unknown",
    reason: "answer-too-long",
  });
  t.end();
});

// Guards against a second run of the work of a key, and against its answer
// for other work that uses the same key.
test("a repeat gets the stored outcome, and other work is refused", (t) => {
  const h = requestWithClaim(claim({ outcome }));
  t.same(h.outcomes.get("r1"), outcome);
  t.equal(h.settledClaims().length, 0);
  const other = requestWithClaim(claim({ fingerprint: "g" }));
  t.equal(other.outcome("r1"), "not-run: key-reused");
  t.equal(h.sent("attempt").length + other.sent("attempt").length, 0);
  t.end();
});

// Guards against a repeat that runs while the first request runs elsewhere.
test("a claim of a live entry is read until it has an outcome", (t) => {
  const h = requestWithClaim(claim());
  const reads = () => h.effects.filter((each) => each.kind === "readClaim");
  for (let time = 20; time <= 3000; time += 20) h.at(time);
  t.ok(reads().length >= 5 && reads().length < 10, `${reads().length} reads`);
  h.on({ kind: "claimRead", request: "r1" });
  h.on({ kind: "claimRead", request: "r1", claim: claim() });
  t.equal(h.outcome("r1"), undefined);
  h.on({ kind: "claimRead", request: "r1", claim: claim({ outcome }) });
  t.same(h.outcomes.get("r1"), outcome);
  const late = requestWithClaim(claim());
  late.at(5000);
  t.equal(late.outcome("r1"), "unknown: deadline-passed");
  t.end();
});

// Guards against work of a dead entry that runs a second time although it is
// not idempotent, or that is reported as not run.
test("work claimed by a dead entry runs again only if idempotent", (t) => {
  const dead = claim({ entry: "e3" });
  t.equal(requestWithClaim(dead).outcome("r1"), "unknown: ownership-lost");
  const h = requestWithClaim(dead, { idempotent: true });
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  t.equal(h.settledClaims()[0]!.request, "other", "settles the stored claim");
  const before = claim({ entry: "e1", incarnation: 0 });
  t.equal(requestWithClaim(before).outcome("r1"), "unknown: ownership-lost");
  t.end();
});

// Guards against a store outage that delays requests, or that lets a request
// run although its claim was not confirmed.
test("a request whose claim fails is refused and never runs", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.at(5);
  h.answerClaims("down");
  t.equal(h.outcome("r1"), "not-run: store-unavailable");
  h.request("r2", { idempotencyKey: "l" });
  h.at(10);
  h.at(1005);
  t.equal(h.outcome("r2"), "not-run: store-unavailable", "no answer at all");
  h.answerClaims();
  t.notOk(h.attempt("r1") ?? h.attempt("r2"));
  h.request("r3", { idempotencyKey: "m" });
  h.at(1010);
  t.equal(h.claims()[0]!.request, "r1", "settles what may be stored");
  t.end();
});

// Guards against a key that stays blocked because the store's answer to its
// claim was lost.
test("a repeat takes over the claim of a request refused by this entry", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.at(5);
  const lost = h.claims()[0]!;
  h.answerClaims("down");
  h.request("r2", keyed);
  h.at(10);
  h.answerClaims([{ kind: "existing", claim: lost }]);
  h.answer("r2");
  t.equal(h.outcome("r2"), "done: 200");
  t.equal(h.settledClaims()[0]!.request, "r1");
  t.end();
});

// Guards against repeats at other entries that get no outcome because the
// store's answer to the claim was lost.
test("an unconfirmed claim is stored as not run once the store answers", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.at(5);
  const lost = h.claims()[0]!;
  h.answerClaims("down");
  h.request("r2", { idempotencyKey: "l" });
  h.at(10);
  h.answerClaims();
  t.same(h.claims(), [lost]);
  h.answerClaims([{ kind: "existing", claim: lost }]);
  t.equal(h.settledClaims()[0]!.request, "r1");
  t.equal(h.settledClaims()[0]!.outcome!.kind, "not-run");
  t.end();
});

// Guards against two runs of the work of one key through the same entry.
test("a repeat at the same entry follows the first request", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", keyed);
  h.at(5);
  h.answerClaims();
  h.request("r2", keyed);
  h.on({ kind: "callerLeft", request: "r1" });
  h.answer("r1");
  t.equal(h.outcome("r2"), "done: 200");
  t.equal(h.sent("attempt").length, 1);
  t.end();
});

// Guards against a repeat that is refused only because the first request was.
test("a repeat of a request that did not run claims the key again", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("busy");
  h.request("r1", { ...keyed, deadline: 100 });
  h.at(5);
  h.answerClaims();
  h.request("r2", keyed);
  h.at(100);
  t.equal(h.outcome("r1"), "not-run: deadline-passed");
  t.equal(h.outcome("r2"), undefined);
  t.equal(h.claims()[0]!.request, "r2");
  t.end();
});
