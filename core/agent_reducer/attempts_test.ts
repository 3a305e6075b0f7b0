import { test } from "tap";
import { attempt, connected, kinds, only, sentTo } from "./setup_for_tests.ts";
import type { Agent } from "./setup_for_tests.ts";

const id = (request: string, number = 1) => ({ request, number });

function answer(agent: Agent, request: string, text: string, last = true) {
  return agent.event({
    kind: "endpointAnswer",
    attempt: id(request),
    status: 200,
    contentType: "text/plain",
    piece: new TextEncoder().encode(text),
    last,
  });
}

function fail(agent: Agent, request: string, sent: boolean) {
  const attempt = id(request);
  return agent.event({ kind: "endpointFailed", attempt, sent, cause: "x" });
}

const query = (agent: Agent, request: string, entry = "e1") =>
  agent.send({ kind: "queryAttempt", attempt: id(request) }, entry);
const cancel = (agent: Agent, request: string) =>
  agent.event({
    kind: "message",
    entry: "e1",
    message: { kind: "cancelAttempt", attempt: id(request) },
  });
const reason = (agent: Agent, message: ReturnType<typeof attempt>) =>
  only(agent.send(message), "attemptRefused")[0]?.reason;
const stateOf = (agent: Agent, request: string) =>
  only(query(agent, request), "attemptState")[0]?.state;

// Guards against an agent that overbooks its endpoint or accepts void work.
test("an attempt is refused with the reason", (t) => {
  const agent = connected();
  t.equal(reason(agent, attempt("r", { incarnation: 2 })), "stale-incarnation");
  t.equal(reason(agent, attempt("s", { remaining: 0 })), "expired");
  t.equal(reason(agent, attempt("o", { service: "x" })), "unreachable");
  t.strictSame(
    kinds(agent.event({
      kind: "message",
      entry: "e1",
      message: attempt("a"),
    })),
    ["attemptAccepted", "callEndpoint"],
  );
  agent.send(attempt("b"));
  t.equal(reason(agent, attempt("c")), "class-limit");
  t.equal(reason(agent, attempt("d", { urgent: true })), undefined);
  t.equal(reason(agent, attempt("e", { urgent: true })), "busy");
  agent.send({ kind: "drain" });
  t.equal(reason(agent, attempt("f")), "leaving");
  t.equal(reason(agent, attempt("c")), "tombstoned");
  t.end();
});

// Guards against more calls than the endpoint takes connections.
test("connections bound the attempts in flight", (t) => {
  const agent = connected();
  Object.assign(agent.core.state.inventory, { connections: 1 });
  agent.send(attempt("a"));
  t.equal(reason(agent, attempt("b")), "busy");
  Object.assign(agent.core.state.inventory, { connections: 64 });
  t.end();
});

// Guards against a second run, or a false "not run", of a repeated delivery.
test("a duplicate delivery is answered with the state", (t) => {
  const agent = connected();
  agent.send(attempt("a"));
  const again = agent.event({
    kind: "message",
    entry: "e1",
    message: attempt("a"),
  });
  t.strictSame(kinds(again), ["attemptState"]);
  answer(agent, "a", "plan");
  t.equal(only(agent.send(attempt("a")), "attemptState")[0]?.state, "done");
  t.end();
});

// Guards against a retry that repeats work which may have run here.
test("a second number of non-idempotent work is refused truthfully", (t) => {
  const agent = connected();
  agent.send(attempt("a"));
  fail(agent, "a", true);
  const told = agent.send(attempt("a", { number: 2 }));
  t.match(only(told, "attemptRefused"), [{ attempt: id("a", 2) }]);
  t.match(only(told, "attemptState"), [{
    attempt: id("a"),
    state: "broken",
  }]);
  t.equal(
    reason(agent, attempt("a", { number: 3, idempotent: true })),
    undefined,
  );
  agent.send(attempt("b"));
  fail(agent, "b", false);
  t.equal(reason(agent, attempt("b", { number: 2 })), undefined);
  t.end();
});

// Guards against an attempt that runs after it was declared absent.
test("a cancel or query before its attempt leaves a tombstone", (t) => {
  const agent = connected();
  t.match(sentTo(cancel(agent, "a")), [{ state: "absent" }]);
  t.equal(stateOf(agent, "b"), "absent");
  t.equal(reason(agent, attempt("a")), "tombstoned");
  t.equal(reason(agent, attempt("b")), "tombstoned");
  agent.pass(599_000);
  t.equal(reason(agent, attempt("a")), "tombstoned");
  t.end();
});

// Guards against a cancel that claims more than is known.
test("a cancelled call is cancelled, broken or done as it ended", (t) => {
  const agent = connected();
  for (const request of ["a", "b", "c"]) {
    agent.send(attempt(request, { urgent: true }));
    const effects = cancel(agent, request);
    t.strictSame(kinds(effects), ["abortCall", "attemptState"]);
    t.match(only(sentTo(effects), "attemptState"), [{ state: "running" }]);
  }
  t.strictSame(kinds(cancel(agent, "a")), ["attemptState"], "aborted once");
  t.match(sentTo(fail(agent, "a", false)), [{ state: "cancelled" }]);
  t.match(sentTo(fail(agent, "b", true)), [{ kind: "attemptBroken" }]);
  t.match(sentTo(answer(agent, "c", "late")), [{ last: true }]);
  t.strictSame(["a", "b", "c"].map((one) => stateOf(agent, one)), [
    "absent",
    "broken",
    "done",
  ]);
  t.end();
});

// Guards against an unreached endpoint reported as work that may have run.
test("a failed call is refused only if nothing was sent", (t) => {
  const agent = connected();
  agent.send(attempt("a"));
  t.match(sentTo(fail(agent, "a", false)), [{ reason: "unreachable" }]);
  agent.send(attempt("b"));
  answer(agent, "b", "part", false);
  t.match(sentTo(fail(agent, "b", false)), [{ kind: "attemptBroken" }]);
  t.end();
});

// Guards against a slot that is given away while the endpoint still works.
test("an attempt past its time is broken and keeps its slot", (t) => {
  const agent = connected();
  agent.send(attempt("a", { remaining: 100 }));
  t.strictSame(kinds(agent.pass(100)), ["abortCall", "attemptBroken"]);
  t.strictSame(kinds(agent.pass(100)), []);
  t.equal(agent.core.calling.size, 1);
  t.strictSame(kinds(answer(agent, "a", "late")), []);
  t.equal(agent.core.calling.size, 0);
  t.equal(stateOf(agent, "a"), "broken");
  t.end();
});

// Guards against an answer with a gap after its entry lost the session.
test("a reconnected entry gets the whole answer when it queries", (t) => {
  const agent = connected();
  agent.send(attempt("a"));
  answer(agent, "a", "one", false);
  agent.event({ kind: "entryLost", entry: "e1" });
  answer(agent, "a", "two");
  agent.connect("e2");
  t.match(query(agent, "a", "e2"), [{ state: "done" }]);
  agent.connect();
  const told = query(agent, "a");
  t.strictSame(told.map((one) => one.kind), [
    "attemptAnswer",
    "attemptAnswer",
    "attemptState",
  ]);
  t.strictSame(
    only(told, "attemptAnswer").map((one) => [
      one.sequence,
      one.last,
      new TextDecoder().decode(one.piece),
    ]),
    [[0, false, "one"], [1, true, "two"]],
  );
  t.end();
});

// Guards against answers of dead entries that fill the memory.
test("kept answers are bounded in time and size", (t) => {
  const agent = connected();
  const big = "x".repeat(5 * 1024 * 1024);
  agent.send(attempt("a", { urgent: true }));
  agent.send(attempt("b", { urgent: true }));
  agent.send(attempt("c", { urgent: true, remaining: 100_000 }));
  answer(agent, "c", "part", false);
  agent.event({ kind: "entryLost", entry: "e1" });
  answer(agent, "a", big);
  const dropped = { kind: "count", metric: "answers.dropped" };
  t.match(answer(agent, "b", big), [{ ...dropped, tags: { cause: "budget" } }]);
  answer(agent, "c", big, false);
  t.match(agent.pass(60_000).filter((one) => one.kind === "count"), [
    { ...dropped, tags: { cause: "entry-absent" } },
  ]);
  agent.connect();
  t.match(query(agent, "a"), [{ kind: "attemptState", state: "done" }]);
  // A running answer with lost pieces must not keep its entry waiting.
  query(agent, "c");
  t.match(sentTo(answer(agent, "c", "end")), [{ kind: "attemptBroken" }]);
  t.equal(stateOf(agent, "c"), "done");
  t.end();
});

// Guards against a frame over the limit.
test("a long piece is cut to the size of a frame", (t) => {
  const agent = connected();
  agent.send(attempt("a"));
  const pieces = only(
    sentTo(answer(agent, "a", "x".repeat(150_000))),
    "attemptAnswer",
  );
  t.strictSame(
    pieces.map((one) => [one.sequence, one.last, one.piece.length]),
    [
      [0, false, 65536],
      [1, false, 65536],
      [2, true, 150_000 - 131072],
    ],
  );
  t.end();
});
