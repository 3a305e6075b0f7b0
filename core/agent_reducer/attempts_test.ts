import { test } from "tap";
import { ATTEMPT_RETENTION } from "./answers.ts";
import { ATTEMPT_LIMIT } from "./attempts.ts";
import {
  Agent,
  attempt,
  connectedAgent,
  kinds,
  messagesOfKind,
  sentTo,
} from "./setup_for_tests.ts";

const encode = (text: string) => new TextEncoder().encode(text);
const id = (request: string, number = 1) => ({ request, number });

function answer(agent: Agent, request: string, text: string, last = true) {
  return agent.event({
    kind: "endpointAnswer",
    attempt: id(request),
    status: 200,
    contentType: "text/plain",
    piece: encode(text),
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
  agent.deliver({ kind: "cancelAttempt", attempt: id(request) });
const stateOf = (agent: Agent, request: string) =>
  messagesOfKind(query(agent, request), "attemptState")[0]?.state;

// Guards against attempts beyond the endpoint's slots, and against a start of
// attempts that are no longer valid.
test("an attempt that may not start is refused with the reason", (t) => {
  const agent = connectedAgent();
  t.equal(agent.reason(attempt("r", { incarnation: 2 })), "stale-incarnation");
  t.equal(agent.reason(attempt("s", { remaining: 0 })), "expired");
  t.equal(agent.reason(attempt("o", { service: "x" })), "unreachable");
  t.equal(kinds(agent.deliver(attempt("a"))), "attemptAccepted callEndpoint");
  agent.send(attempt("b"));
  t.equal(agent.reason(attempt("c")), "class-limit");
  t.equal(agent.reason(attempt("d", { urgent: true })), undefined);
  t.equal(agent.reason(attempt("e", { urgent: true })), "busy");
  agent.send({ kind: "drain" });
  t.equal(agent.reason(attempt("f")), "leaving");
  t.equal(agent.reason(attempt("c")), "tombstoned");
  t.end();
});

// Guards against more calls than the endpoint accepts connections.
test("the endpoint's connections limit the attempts at a time", (t) => {
  const agent = new Agent({ connections: 1 });
  agent.connect();
  agent.send(attempt("a"));
  t.equal(agent.reason(attempt("b")), "busy");
  t.end();
});

// Guards against an attempt that runs again, or is reported as not run, when
// its message is delivered twice.
test("an attempt delivered again is answered with its state", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  const again = agent.deliver(attempt("a"));
  t.equal(kinds(again), "attemptState");
  answer(agent, "a", "plan");
  t.equal(
    messagesOfKind(agent.send(attempt("a")), "attemptState")[0]?.state,
    "done",
  );
  t.end();
});

// Guards against a retry that repeats work which may have run here.
test("a second attempt of work that may have run is refused", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  fail(agent, "a", true);
  const told = agent.send(attempt("a", { number: 2 }));
  t.match(messagesOfKind(told, "attemptRefused"), [{ attempt: id("a", 2) }]);
  t.match(messagesOfKind(told, "attemptState"), [{
    attempt: id("a"),
    state: "broken",
  }]);
  const third = attempt("a", { number: 3, idempotent: true });
  t.equal(agent.reason(third), undefined);
  agent.send(attempt("b"));
  fail(agent, "b", false);
  t.equal(agent.reason(attempt("b", { number: 2 })), undefined);
  t.end();
});

// Guards against an attempt that runs after it was reported as absent.
test("an attempt cancelled or queried before it arrives never runs", (t) => {
  const agent = connectedAgent();
  t.match(sentTo(cancel(agent, "a")), [{ state: "absent" }]);
  t.equal(stateOf(agent, "b"), "absent");
  t.equal(agent.reason(attempt("a")), "tombstoned");
  t.equal(agent.reason(attempt("b")), "tombstoned");
  cancel(agent, "c");
  agent.advance(599_000);
  t.equal(agent.reason(attempt("a")), "tombstoned");
  agent.advance(599_000);
  t.equal(agent.reason(attempt("c")), "tombstoned");
  agent.advance(ATTEMPT_RETENTION);
  agent.advance(ATTEMPT_RETENTION);
  t.equal(agent.reason(attempt("b")), undefined, "forgotten");
  t.end();
});

// Guards against a cancelled attempt that is reported as not run although it
// may have run.
test("a cancelled attempt gets the state in which its call ends", (t) => {
  const agent = connectedAgent();
  for (const request of ["a", "b", "c"]) {
    agent.send(attempt(request, { urgent: true }));
    const effects = cancel(agent, request);
    t.equal(kinds(effects), "abortCall attemptState");
    t.match(messagesOfKind(sentTo(effects), "attemptState"), [{
      state: "running",
    }]);
  }
  t.equal(
    kinds(cancel(agent, "a")),
    "attemptState",
    "the call is aborted only once",
  );
  t.match(sentTo(fail(agent, "a", false)), [{ state: "cancelled" }]);
  t.equal(agent.reason(attempt("a")), "tombstoned");
  t.match(sentTo(fail(agent, "b", true)), [{ kind: "attemptBroken" }]);
  t.match(sentTo(answer(agent, "c", "late")), [{ last: true }]);
  const states = ["a", "b", "c"].map((one) => stateOf(agent, one));
  t.equal(states.join(" "), "absent broken done");
  t.end();
});

// Guards against work reported as not run that may have run, and the reverse.
test("a failed call counts as not run only if nothing was sent", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  t.match(sentTo(fail(agent, "a", false)), [{ reason: "unreachable" }]);
  agent.send(attempt("b"));
  answer(agent, "b", "part", false);
  t.match(sentTo(fail(agent, "b", false)), [{ kind: "attemptBroken" }]);
  t.end();
});

// Guards against a slot that is given away while the endpoint still works.
test("an attempt past its deadline is broken but keeps its slot", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a", { remaining: 100 }));
  t.equal(kinds(agent.advance(100)), "abortCall attemptBroken");
  t.equal(kinds(agent.advance(100)), "");
  t.equal(agent.core.openCalls.size, 1);
  t.equal(kinds(answer(agent, "a", "late")), "");
  t.equal(agent.core.openCalls.size, 0);
  t.equal(stateOf(agent, "a"), "broken");
  agent.send(attempt("b", { remaining: 100 }));
  agent.advance(100);
  t.equal(kinds(fail(agent, "b", false)), "", "no second outcome is sent");
  t.end();
});

// Guards against an answer that lacks pieces after its entry lost the session.
test("a reconnected entry gets the whole answer when it queries", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  answer(agent, "a", "one", false);
  agent.event({ kind: "entryLost", entry: "e1" });
  answer(agent, "a", "two");
  agent.connect("e2");
  t.match(query(agent, "a", "e2"), [{ state: "done" }]);
  agent.connect();
  const told = query(agent, "a");
  t.equal(
    told.map((one) => one.kind).join(" "),
    "attemptAnswer attemptAnswer attemptState",
  );
  t.match(messagesOfKind(told, "attemptAnswer"), [
    { sequence: 0, last: false, piece: encode("one") },
    { sequence: 1, last: true, piece: encode("two") },
  ]);
  t.strictSame(query(agent, "a").length, 1, "once");
  agent.connect();
  t.strictSame(
    query(agent, "a").length,
    3,
    "a new session may replace one not yet lost",
  );
  t.end();
});

// Guards against answers for lost entries that fill the memory.
test("kept answers are limited in time and size", (t) => {
  const agent = connectedAgent();
  const big = "x".repeat(5 * 1024 * 1024);
  const replayed = (request: string) =>
    messagesOfKind(query(agent, request), "attemptAnswer").length > 0;
  agent.send(attempt("y"));
  answer(agent, "y", big);
  agent.send(attempt("z"));
  answer(agent, "z", big);
  agent.connect();
  t.ok(replayed("z"), "kept");
  t.notOk(replayed("y"), "the answer completed first is dropped first");
  agent.send(attempt("a", { urgent: true }));
  agent.send(attempt("b", { urgent: true }));
  agent.send(attempt("c", { urgent: true, remaining: 100_000 }));
  answer(agent, "c", "part", false);
  agent.event({ kind: "entryLost", entry: "e1" });
  answer(agent, "a", big);
  const dropped = { kind: "count", metric: "answers.dropped" };
  t.match(answer(agent, "b", big), [{ ...dropped, tags: { cause: "budget" } }]);
  answer(agent, "c", big, false);
  t.match(agent.advance(60_000).filter((one) => one.kind === "count"), [
    { ...dropped, tags: { cause: "entry-absent" } },
  ]);
  agent.connect();
  t.match(query(agent, "a"), [{ kind: "attemptState", state: "done" }]);
  // An entry must not wait for an answer of which pieces were dropped.
  query(agent, "c");
  t.match(sentTo(answer(agent, "c", "end")), [{ kind: "attemptBroken" }]);
  t.equal(stateOf(agent, "c"), "done");
  t.end();
});

// Guards against a message that is longer than a frame may be.
test("a long piece is split into pieces that fit a frame", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  const sent = sentTo(answer(agent, "a", "x".repeat(150_000)));
  t.match(messagesOfKind(sent, "attemptAnswer"), [
    { sequence: 0, last: false, piece: { length: 65536 } },
    { sequence: 1, last: false, piece: { length: 65536 } },
    { sequence: 2, last: true, piece: { length: 18928 } },
  ]);
  t.end();
});

// Guards against attempts that are forgotten early to make room for new ones,
// and might then run twice.
test("at the limit of remembered attempts, new ones are refused", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  answer(agent, "a", "plan");
  const settled = agent.core.attempts.get("1/a")!;
  for (let index = 1; index < ATTEMPT_LIMIT; index++) {
    agent.core.attempts.set(`x${index}`, { ...settled, key: `x${index}` });
  }
  t.equal(agent.reason(attempt("b")), "busy");
  t.equal(stateOf(agent, "a"), "done");
  agent.advance(ATTEMPT_RETENTION);
  t.equal(agent.core.attempts.size, 0);
  t.equal(agent.reason(attempt("c")), undefined);
  t.end();
});
