import { test } from "tap";
import {
  attempt,
  connectedAgent,
  kinds,
  reserve,
  sentTo,
} from "./setup_for_tests.ts";
import type { Agent } from "./setup_for_tests.ts";

const finishAttempt = (agent: Agent) =>
  agent.event({
    kind: "endpointAnswer",
    attempt: { request: "a", number: 1 },
    status: 200,
    contentType: "",
    piece: new Uint8Array(),
    last: true,
  });

// Guards against a planned stop that breaks attempts or accepts new work.
test("a leaving agent finishes its attempts and stops its members", (t) => {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  agent.run(reserve("j", [[0]]));
  agent.send(reserve("k", [[1]]));
  const leaving = agent.event({ kind: "stopRequested" });
  t.equal(kinds(leaving), "checkpointTask runState");
  t.match(sentTo(leaving).at(-1), { kind: "report", leaving: true });
  t.equal(kinds(agent.event({ kind: "stopRequested" })), "", "again");
  t.match(agent.send(attempt("b")), [{ reason: "leaving" }]);
  t.match(agent.send(reserve("l", [[2]])), [{ reason: "leaving" }]);
  const commit = { kind: "commit" as const, run: { job: "k", epoch: 1 } };
  t.match(agent.send({ ...commit, lease: 1 }), [{ members: [] }]);
  t.notOk(agent.end({ job: "j", epoch: 1 }).some((one) => one.kind === "exit"));
  t.ok(kinds(finishAttempt(agent)).includes("exit"));
  t.notOk(kinds(agent.advance(100)).includes("exit"), "once");
  t.end();
});

// Guards against a drain that ends the agent's process, and against a stop that
// waits without end for a worker that reports nothing.
test("a drain does not exit; a stop waits no longer than the leases", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  agent.send({ kind: "drain" });
  t.equal(agent.reducer.state.leaving, true);
  agent.advance(2000);
  t.notOk(kinds(agent.event({ kind: "stopRequested" })).includes("exit"));
  const run = { job: "j", epoch: 1 };
  agent.send({ kind: "renew", run, lease: 10_000 });
  t.notOk(kinds(agent.advance(8999)).includes("exit"));
  t.ok(kinds(agent.advance(1)).includes("exit"));
  t.end();
});

/** A leaving agent whose entry lost its session before the answer came. */
function createUndelivered(): Agent {
  const agent = connectedAgent();
  agent.send(attempt("a"));
  agent.event({ kind: "stopRequested" });
  agent.event({ kind: "entryLost", entry: "e1" });
  return agent;
}

// Guards against a request that is told as unknown, since its agent ended while
// its session with the entry was down for a moment.
test("a leaving agent keeps its answers for an entry that returns", (t) => {
  const agent = createUndelivered();
  t.notOk(kinds(finishAttempt(agent)).includes("exit"));
  agent.advance(1000);
  agent.connect();
  const id = { request: "a", number: 1 };
  const effects = agent.deliver({ kind: "queryAttempt", attempt: id });
  t.match(sentTo(effects), [
    { kind: "attemptAnswer", last: true },
    { kind: "attemptState", state: "done" },
  ]);
  t.ok(kinds(effects).includes("exit"));
  t.end();
});

// Guards against an agent that waits without end for an entry that is gone.
test("a leaving agent does not wait long for an entry", (t) => {
  const agent = createUndelivered();
  finishAttempt(agent);
  t.notOk(kinds(agent.advance(4900)).includes("exit"));
  t.ok(kinds(agent.advance(200)).includes("exit"));
  t.end();
});
