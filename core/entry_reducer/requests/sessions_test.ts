import { test } from "tap";
import { createHarness } from "../test_support.ts";

// Guards against idempotent work that is lost with its agent.
test("an idempotent request is retried elsewhere after a loss", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.request("r1", { idempotent: true });
  const { worker } = h.attempt("r1")!;
  h.lose(worker);
  h.at(20);
  t.equal(h.sent("attempt").length, 2);
  t.not(h.attempt("r1")!.worker, worker);
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  h.connect(worker);
  t.same(
    h.sent("cancelAttempt").map((each) => [each.worker, each.message.attempt]),
    [[worker, { request: "r1", number: 1 }]],
    "the first attempt gives its slot back",
  );
  t.end();
});

// Guards against work that waits on a silent agent, and more work sent to it.
test("an agent that does not answer for 1 s gets no work for 1 s", (t) => {
  const h = createHarness(["w1", "w2"], 1);
  h.request("r1", { idempotent: true });
  h.request("r2");
  h.request("r3");
  const { worker } = h.attempt("r1")!;
  const other = h.attempt("r2")!.worker;
  h.reply("r2", { kind: "attemptAccepted" });
  h.at(1000);
  t.equal(h.sent("cancelAttempt")[0]?.worker, worker);
  t.notOk(h.attempt("r3"), "the silent agent has a free slot now");
  h.at(1100);
  h.answer("r2");
  t.equal(h.sent("attempt").filter((each) => each.worker === other).length, 2);
  h.at(2000);
  t.ok(h.attempt("r1")!.message.attempt.number === 2 && h.attempt("r3"));
  t.end();
});

// Guards against retries beyond the budget, and against the outcome
// "not-run" after an attempt that may have run.
test("retries wait for the budget and end at the deadline as unknown", (t) => {
  const h = createHarness(["w1"], 40);
  for (let n = 0; n < 40; n++) {
    h.request(`r${n}`, { idempotent: true, deadline: 900 });
  }
  h.reply("r0", { kind: "attemptAccepted" });
  for (let n = 0; n < 40; n++) {
    h.reply(`r${n}`, { kind: "attemptBroken", cause: "reset" });
  }
  for (let time = 20; time <= 900; time += 20) h.at(time);
  t.equal(h.sent("attempt").length, 40 + 14, "reserve of 10 and 10% of 40");
  h.at(1150);
  t.same([...new Set([...h.outcomes.keys()].map(h.outcome))], [
    "unknown: deadline-passed",
  ]);
  t.end();
});

// Guards against non-idempotent work that runs twice.
test("a non-idempotent request ends as unknown after a broken attempt", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.request("r1");
  h.reply("r1", { kind: "attemptBroken", cause: "reset" });
  t.equal(h.outcome("r1"), "unknown: connection-lost");
  t.end();
});

// Guards against a request that is ended, or sent to another agent, although
// its own agent returns and knows whether the attempt ran.
test("a returning agent is asked, and work it never got is sent again", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.request("r1");
  const { worker } = h.attempt("r1")!;
  h.lose(worker);
  h.at(1000);
  t.equal(h.outcome("r1"), undefined);
  h.connect(worker);
  t.equal(h.sent("queryAttempt").length, 1);
  h.replyState("r1", "absent");
  t.not(h.attempt("r1")!.worker, worker);
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  t.end();
});

// Guards against an unknown outcome although the answer still comes.
test("the answer of work that still runs on a returning agent is awaited", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.lose("w1");
  h.connect("w1");
  h.replyState("r1", "running");
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  h.request("r2");
  h.lose("w1");
  h.at(100);
  h.connect("w1");
  h.replyState("r2", "done");
  h.at(3100);
  t.equal(h.outcome("r2"), "unknown: connection-lost", "answer was lost");
  t.end();
});

// Guards against a restarted agent that is taken as proof that nothing ran.
test("non-idempotent work is unknown after a restart of its agent", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.connect("w1", { incarnation: 2 });
  t.equal(h.outcome("r1"), "unknown: worker-lost");
  h.request("r2", { deadline: 100 });
  h.lose("w1", 2);
  h.at(100);
  t.equal(h.outcome("r2"), "unknown: deadline-passed");
  t.end();
});
