import { test } from "tap";
import { answer, configuration, createHarness } from "../test_support.ts";

const bytes = (...values: number[]) => new Uint8Array(values);

// Guards against a request that is sent but whose answer is not passed on.
test("a request runs on an agent and gets its answer", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  t.equal(h.attempt("r1")?.worker, "w1");
  t.equal(h.attempt("r1")?.message.path, "/run");
  h.reply("r1", { kind: "attemptAccepted" });
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  h.request("r2");
  h.answer("r2", 404);
  t.equal(h.outcome("r2"), "failed: 404");
  t.equal(h.state.requests.open.size, 0);
  t.end();
});

// Guards against work that is accepted although it can never run.
test("requests that cannot run are refused with the reason", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", { service: "none" });
  h.request("r2", { class: "none" });
  h.request("r3", { deadline: 0 });
  h.on({ kind: "stopRequested" });
  h.request("r4");
  t.same(["r1", "r2", "r3", "r4"].map(h.outcome), [
    "not-run: unknown-service",
    "not-run: unknown-class",
    "not-run: deadline-passed",
    "not-run: shutting-down",
  ]);
  t.equal(h.sent("attempt").length, 0);
  t.end();
});

// Guards against a request that is assigned to an agent without a free slot.
test("requests wait for a free slot, urgent ones first", (t) => {
  const h = createHarness(["w1"], 2);
  ["r1", "r2"].forEach((id) => h.request(id));
  h.request("later", { class: "later" });
  h.request("r3");
  t.equal(h.sent("attempt").length, 2);
  h.answer("r1");
  t.ok(h.attempt("r3"));
  t.notOk(h.attempt("later"));
  t.end();
});

// Guards against deferrable work that holds every slot of an endpoint, and
// against a peak that ends at once or never.
test("deferrable work keeps to its share, and a peak ends after 5 s", (t) => {
  const h = createHarness(["w1"], 4);
  for (let n = 0; n < 4; n++) h.request(`l${n}`, { class: "later" });
  t.equal(h.sent("attempt").length, 2);
  t.equal(h.sent("attempt")[0]!.message.classSlots, 2);
  for (let n = 0; n < 3; n++) h.request(`u${n}`);
  t.equal(h.sent("attempt").length, 4);
  t.ok(h.state.members.services.get("kits")!.peak);
  h.answer("l0");
  t.ok(h.attempt("u2"));
  h.answer("u0");
  h.answer("u1");
  h.request("l4", { class: "later" });
  h.at(4999);
  t.ok(h.state.members.services.get("kits")!.peak);
  h.at(5000);
  t.notOk(h.state.members.services.get("kits")!.peak);
  t.end();
});

// Guards against a queue that grows without limit.
test("requests of a team whose queue is full are refused at once", (t) => {
  const h = createHarness(["w1"], 1);
  h.on({ kind: "configurationSeen", configuration: configuration(2, 3) });
  for (let n = 0; n < 5; n++) h.request(`r${n}`);
  h.request("other", { team: "b" });
  t.equal(h.outcome("r4"), "not-run: queue-full");
  t.equal(h.outcome("other"), undefined);
  t.end();
});

// Guards against a request that is queued although it can't meet its
// deadline, and against refusals that go on after the queue has emptied.
test("a request that cannot meet its deadline is refused early", (t) => {
  const h = createHarness(["w1"], 1);
  for (let n = 0; n < 10; n++) {
    h.request(`s${n}`);
    h.setTime(100 * (n + 1));
    h.answer(`s${n}`);
  }
  for (let n = 0; n < 10; n++) h.request(`q${n}`, { deadline: 2000 });
  h.request("r1", { deadline: 2001 });
  t.equal(h.outcome("r1"), "not-run: deadline-unreachable");
  h.request("r2", { team: "b", deadline: 1400 });
  t.equal(h.outcome("r2"), undefined, "the burst is another team's");
  const { open } = h.state.requests;
  while (open.size > 0) {
    for (const [id, each] of [...open]) if (each.running) h.answer(id);
  }
  h.request("r3", { deadline: 1300 });
  t.equal(h.outcome("r3"), undefined);
  t.end();
});

// Guards against deferrable work that is accepted although urgent work ahead
// of it takes all slots until its deadline.
test("the wait of deferrable work includes the urgent work ahead of it", (t) => {
  const refused = (urgentAhead: number) => {
    const h = createHarness(["w1"], 2);
    for (const [n, name] of ["now", "later"].entries()) {
      h.request(`s${n}`, { class: name });
      h.setTime(100 * (n + 1));
      h.answer(`s${n}`);
    }
    h.request("running", { class: "later" });
    for (let n = 0; n < 1 + urgentAhead; n++) h.request(`u${n}`);
    h.request("r1", { class: "later", deadline: 200 + 700 });
    return h.outcome("r1");
  };
  t.equal(refused(2), undefined);
  t.equal(refused(20), "not-run: deadline-unreachable");
  t.end();
});

// Guards against an agent's refusal that counts as a run or as a failure.
test("a refused attempt is sent to another agent under a new number", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.request("r1");
  const first = h.attempt("r1")!;
  h.refuse("r1", "busy");
  const second = h.attempt("r1")!;
  t.not(second.worker, first.worker);
  t.equal(second.message.attempt.number, 2);
  t.equal(h.state.agents.get(first.worker)!.failures, 0);
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  t.end();
});

// Guards against requests that starve because full agents often refuse them.
test("a request stays queued after any number of busy refusals", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  for (let n = 0; n < 8; n++) {
    h.refuse("r1", "busy");
    t.equal(h.sent("attempt").length, n + 1, "not before a report");
    h.report("w1");
    t.equal(h.sent("attempt").length, n + 2, "at once after a report");
  }
  t.end();
});

// Guards against new work for an agent that has reported that it is leaving.
test("a leaving agent receives no more work", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.refuse("r1", "leaving");
  t.equal(h.sent("attempt").length, 1);
  h.connect("w2");
  t.equal(h.attempt("r1")?.worker, "w2");
  h.report("w2", { leaving: true });
  h.request("r2");
  t.notOk(h.attempt("r2"));
  t.end();
});

// Guards against answers with pieces in the wrong order, twice or missing.
test("pieces of an answer are put in order, and repeats are ignored", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  const piece = (sequence: number, last: boolean) =>
    h.answer("r1", 200, { sequence, last, piece: bytes(sequence) });
  piece(2, true);
  piece(0, false);
  piece(0, false);
  t.equal(h.outcome("r1"), undefined);
  piece(1, false);
  const outcome = h.outcomes.get("r1")!;
  t.same(outcome.kind === "done" && [...outcome.answer.body], [0, 1, 2]);
  t.end();
});

// Guards against an incomplete answer that is passed on as a whole one.
test("an answer with a missing piece is unknown after 3 s", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", { deadline: 60_000 });
  h.answer("r1", 200, { sequence: 1, last: true });
  h.at(2999);
  t.equal(h.outcome("r1"), undefined);
  h.at(3000);
  t.equal(h.outcome("r1"), "unknown: connection-lost");
  t.end();
});

// Guards against an answer that exhausts the entry's memory.
test("an answer over the limit is unknown and its attempt cancelled", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  const piece = new Uint8Array(5 * 1024 * 1024);
  h.answer("r1", 200, { sequence: 0, last: false, piece });
  h.answer("r1", 200, { sequence: 1, last: true, piece });
  t.equal(h.outcome("r1"), "unknown: answer-too-long");
  t.equal(h.sent("cancelAttempt").length, 1);
  t.end();
});

// Guards against an answer that is taken for that of a later attempt, or that
// arrives after the request has ended.
test("late answers are dropped and counted", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.request("r1");
  const { worker, message } = h.attempt("r1")!;
  h.refuse("r1", "busy");
  h.deliver(worker, answer(message.attempt, {}));
  t.equal(h.outcome("r1"), undefined);
  h.answer("r1");
  h.answer("r1");
  const counts = h.effects.filter((effect) =>
    effect.kind === "count" && effect.metric === "requests.late_answers_dropped"
  );
  t.equal(counts.length, 2);
  t.end();
});

// Guards against a deadline that passes without an outcome.
test("a queued request ends as not run at its deadline", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.request("r2", { deadline: 50 });
  h.at(50);
  t.equal(h.outcome("r2"), "not-run: deadline-passed");
  t.end();
});

// Guards against the outcome "not-run" for work that has started.
test("a running request is cancelled at its deadline and is unknown", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1", { deadline: 100 });
  h.reply("r1", { kind: "attemptAccepted" });
  h.at(100);
  t.equal(h.sent("cancelAttempt").length, 1);
  t.equal(h.outcome("r1"), undefined);
  h.at(350);
  t.equal(h.outcome("r1"), "unknown: deadline-passed");
  h.request("r2", { deadline: 400 });
  h.at(400);
  h.replyState("r2", "absent");
  t.equal(h.outcome("r2"), "not-run: deadline-passed");
  t.end();
});

// Guards against work that is lost because its attempt was not delivered.
test("an unanswered attempt is queried and sent again if absent", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.at(1000);
  t.equal(h.sent("queryAttempt").length, 1);
  h.replyState("r1", "absent");
  t.equal(h.attempt("r1")!.message.attempt.number, 2);
  t.end();
});

// Guards against "absent" as proof that work did not run, from an agent that
// has accepted the attempt and forgotten it.
test("an accepted attempt that is absent may have run", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  h.reply("r1", { kind: "attemptAccepted" });
  h.replyState("r1", "absent");
  t.equal(h.outcome("r1"), "unknown: worker-lost");
  t.end();
});

// Guards against work of callers who have left that holds slots or places in
// the queue, and against losing an outcome that a repeat may ask for.
test("work of callers who left is ended only if nobody needs its outcome", (t) => {
  const h = createHarness(["w1"], 3);
  const leave = (request: string) => h.on({ kind: "callerLeft", request });
  h.request("idempotent", { idempotent: true });
  h.request("once");
  h.request("keyed", { idempotent: true, idempotencyKey: "k" });
  h.at(5);
  h.answerClaims();
  h.request("queued");
  t.notOk(h.attempt("queued"));
  ["queued", "idempotent", "once", "keyed"].forEach(leave);
  t.equal(h.outcome("queued"), "not-run: cancelled");
  t.equal(h.outcome("idempotent"), "unknown: cancelled");
  t.equal(h.sent("cancelAttempt").length, 1);
  h.answer("once");
  h.answer("keyed");
  t.equal(h.outcome("once"), "done: 200");
  t.equal(h.settledClaims()[0]!.outcome!.kind, "done");
  t.end();
});

// Guards against requests that wait for endpoints that do not exist.
test("without any endpoint for 3 s, requests are refused", (t) => {
  const h = createHarness([]);
  h.request("r1");
  h.at(2900);
  t.equal(h.outcome("r1"), undefined);
  h.at(4000);
  t.equal(h.outcome("r1"), "not-run: no-endpoint");
  h.request("r2");
  t.equal(h.outcome("r2"), "not-run: no-endpoint");
  h.connect("w1");
  h.request("r3");
  t.ok(h.attempt("r3"));
  t.end();
});

// Guards against queued requests that wait for ever after an operator has
// removed their class.
test("queued requests of a removed class are refused", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.request("r2", { class: "later" });
  const next = configuration(2);
  next.classes.pop();
  h.on({ kind: "configurationSeen", configuration: next });
  t.equal(h.outcome("r2"), "not-run: unknown-class");
  t.end();
});

// Guards against a stop that loses accepted requests or never ends.
test("a stopping entry finishes what it accepted and exits once", (t) => {
  const h = createHarness(["w1"], 1);
  h.request("r1");
  h.request("r2");
  h.on({ kind: "stopRequested" });
  const exits = () => h.effects.filter((each) => each.kind === "exit").length;
  h.answer("r1");
  t.equal(exits(), 0);
  h.answer("r2");
  t.equal(h.outcome("r2"), "done: 200");
  h.on({ kind: "stopRequested" });
  t.equal(exits(), 1);
  t.end();
});
