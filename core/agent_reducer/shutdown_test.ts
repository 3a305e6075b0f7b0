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
