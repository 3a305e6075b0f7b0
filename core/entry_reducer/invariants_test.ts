import { type Test, test } from "tap";
import { ANSWER_LIMIT, joinPieces } from "./requests/answer_pieces.ts";
import { finishRequest } from "./requests/finish.ts";
import { configuration, createHarness } from "./test_support.ts";

// Guards against invariant checks that never fail. Each test puts the state
// into a condition that the invariant of its title forbids.
const throwsInvariant = (t: Test, name: string, action: () => unknown) =>
  t.throws(action, { message: new RegExp(`invariant ${name} violated`) });

test("one-outcome", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  const request = h.state.requests.open.get("r1")!;
  h.answer("r1");
  const outcome = { kind: "unknown", reason: "worker-lost" } as const;
  throwsInvariant(t, "one-outcome", () => {
    finishRequest(h.state, request, outcome, 0, () => {});
  });
  t.end();
});

test("at-most-once", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.request("r2");
  h.state.requests.open.get("r2")!.mayHaveRun = true;
  throwsInvariant(t, "at-most-once", () => h.answer("r1"));
  t.end();
});

test("not-run-true", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  const outcome = { kind: "not-run", reason: "cancelled" } as const;
  const request = h.state.requests.open.get("r1")!;
  throwsInvariant(t, "not-run-true", () => {
    finishRequest(h.state, request, outcome, 0, () => {});
  });
  t.end();
});

test("answer-whole", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.answer("r1", 200, { sequence: 1, last: false });
  const { answer } = h.state.requests.open.get("r1")!.running!;
  t.ok(answer.size < ANSWER_LIMIT);
  throwsInvariant(t, "answer-whole", () => joinPieces(answer, "r1"));
  answer.pieces.set(7, new Uint8Array(1));
  answer.highest = 2;
  answer.last = 2;
  const next = { sequence: 0, last: false };
  throwsInvariant(t, "answer-whole", () => h.answer("r1", 200, next));
  t.end();
});

test("version-forward", (t) => {
  const h = createHarness(["w1"]);
  h.state.configuration = configuration(0);
  throwsInvariant(t, "version-forward", () => h.at(1));
  t.end();
});

test("no-work-after-leaving", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.answer("r1");
  h.state.agents.get("w1")!.leaving = true;
  throwsInvariant(t, "no-work-after-leaving", () => h.request("r2"));
  t.end();
});

test("no-endless-wait", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.request("r2");
  h.state.requests.queue.remove(h.state.requests.open.get("r2")!);
  h.at(5250);
  throwsInvariant(t, "no-endless-wait", () => h.at(6300));
  t.end();
});
