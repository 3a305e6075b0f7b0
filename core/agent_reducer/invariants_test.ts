import { test } from "tap";
import { ErrorCode } from "@dragonflyledge/model";
import { createCore } from "./state.ts";
import { createReducerWithState } from "./reducer.ts";
import {
  Agent,
  attempt,
  connectedAgent,
  homesTable,
  inventory,
  reserve,
} from "./setup_for_tests.ts";

const report = { kind: "queryAttempt" as const };

/**
 * Each function damages the state as a defect would; the next event must violate
 * the invariant.
 */
const faults: [string, (agent: Agent) => unknown][] = [
  ["within-capacity", (agent) => {
    Object.assign(agent.core.state.inventory, { slots: 0 });
    agent.advance(1);
  }],
  ["within-capacity", (agent) => {
    agent.run(reserve("k", [[1]]));
    agent.core.state.members.length = 0;
    for (const run of agent.core.runs.values()) {
      run.members[0]!.report.accelerators = [0];
    }
    agent.advance(1);
  }],
  ["within-capacity", (agent) => {
    for (const run of agent.core.runs.values()) run.perMember.cores = 33;
    agent.advance(1);
  }],
  ["at-most-once", (agent) => {
    agent.core.attempts.clear();
    agent.core.openCalls.clear();
    agent.core.requests.clear();
    agent.send(attempt("a"));
  }],
  ["not-run-true", (agent) => {
    let reads = 0;
    agent.core.tombstones.has = () => reads++ > 0;
    agent.send(attempt("b"));
  }],
  ["not-run-true", (agent) => {
    const known = agent.core.attempts.get("1/a")!;
    agent.core.attempts.get = () => undefined;
    agent.core.attempts.has = (key) => key === known.key;
    agent.send({ ...report, attempt: known.id });
  }],
  ["no-work-after-leaving", (agent) => {
    let reads = 0;
    const leaving = () => reads++ === 0;
    Object.defineProperty(agent.core.state, "leaving", { get: leaving });
    agent.send(attempt("b"));
  }],
  ["version-forward", (agent) => {
    const newer = homesTable(2, {});
    agent.send(newer);
    agent.deliver({
      get kind() {
        newer.homes.version = 1;
        return "drain" as const;
      },
    });
  }],
  ["guarantee-reclaimable", (agent) => {
    agent.core.state.homes = homesTable(2, { b: [0] }).homes;
    for (const run of agent.core.runs.values()) run.revocable = false;
    agent.advance(1);
  }],
  ["gang-whole", (agent) => {
    for (const run of agent.core.runs.values()) run.stopSentAt = agent.now;
    agent.advance(10_001);
  }],
];

// Guards against a check of an invariant that never fails.
test("each check fails when its invariant is violated", (t) => {
  for (const [name, breakState] of faults) {
    const agent = connectedAgent({ a: [0] });
    agent.send(attempt("a", { remaining: 60_000 }));
    agent.run(reserve("j", [[0]]));
    t.throws(() => breakState(agent), {
      code: ErrorCode.Invariant,
      message: new RegExp(`invariant ${name} `),
    }, name);
  }
  t.end();
});

// Guards against invariants that are only checked by `checkState` in tests, and
// not by the reducer in production.
test("the reducer checks invariants without the help of the tests", (t) => {
  const core = createCore({ inventory, incarnation: 1 });
  const reducer = createReducerWithState({ core });
  core.openCalls.add({} as never).add(1 as never).add(2 as never).add(
    3 as never,
  );
  t.throws(() => reducer.reduce({ kind: "tick", now: 1 }), {
    message: /within-capacity/,
  });
  t.end();
});
