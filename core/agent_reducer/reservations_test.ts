import { test } from "tap";
import {
  connected,
  homesTable,
  kinds,
  only,
  reserve,
  sentTo,
} from "./setup_for_tests.ts";
import type { Agent } from "./setup_for_tests.ts";

const commit = (job: string, epoch = 1) => ({
  kind: "commit" as const,
  run: { job, epoch },
  lease: 10_000,
});
const release = (job: string) => ({
  kind: "release" as const,
  run: { job, epoch: 1 },
});
const kindsOf = (agent: Agent, message: ReturnType<typeof reserve>) =>
  agent.send(message).map((one) => one.kind).filter((one) => one !== "report");
const reason = (agent: Agent, message: ReturnType<typeof reserve>) =>
  only(agent.send(message), "reserveRefused")[0]?.reason;
const states = (agent: Agent, message: ReturnType<typeof commit>) =>
  only(agent.send(message), "runState")[0]?.members.map((one) => one.state);

// Guards against two gangs on one accelerator and against overbooked memory.
test("a reservation fits beside everything that is held", (t) => {
  const agent = connected();
  t.strictSame(kindsOf(agent, reserve("j", [[0, 1], [2, 3]])), ["reserved"]);
  t.equal(reason(agent, reserve("k", [[3]])), "no-capacity");
  const needs = { accelerators: 1, cores: 2, memoryMiB: 64 };
  const tooMuch: [string, Partial<typeof needs>][] = [
    ["cores", { cores: 29 }],
    ["memory", { memoryMiB: 897 }],
    ["fewer accelerators than needed", { accelerators: 2 }],
  ];
  for (const [name, more] of tooMuch) {
    const perMember = { ...needs, ...more };
    t.equal(
      reason(agent, reserve("k", [[4]], { perMember })),
      "no-capacity",
      name,
    );
  }
  t.equal(reason(agent, reserve("k", [[8]])), "no-capacity", "unknown");
  t.equal(reason(agent, reserve("k", [[4], [4]])), "no-capacity", "twice");
  t.equal(reason(agent, reserve("k", [])), "no-capacity", "empty");
  t.strictSame(
    kindsOf(
      agent,
      reserve("k", [[4]], {
        perMember: { ...needs, cores: 28, memoryMiB: 896 },
      }),
    ),
    ["reserved"],
  );
  t.end();
});

// Guards against a paused owner that starts a gang beside its successor's.
test("a lower epoch is stale, the same is answered, a higher one fences", (t) => {
  const agent = connected();
  agent.send(reserve("j", [[0]], { epoch: 2 }));
  t.equal(reason(agent, reserve("j", [[1]], { epoch: 1 })), "stale-epoch");
  t.strictSame(kindsOf(agent, reserve("j", [[0]], { epoch: 2 })), ["reserved"]);
  t.strictSame(kindsOf(agent, reserve("j", [[0]], { epoch: 3 })), [
    "runState",
    "reserved",
  ]);
  t.strictSame(states(agent, commit("j", 2)), []);
  t.strictSame(states(agent, commit("j", 3)), ["running"]);
  t.strictSame(states(agent, commit("j", 3)), ["running"]);
  t.strictSame(kindsOf(agent, reserve("j", [[0]], { epoch: 3 })), ["runState"]);
  agent.end({ job: "j", epoch: 3 }, "finished");
  t.strictSame(states(agent, commit("j", 3)), ["finished"]);
  agent.pass(3_600_000);
  t.strictSame(kindsOf(agent, reserve("j", [[0]], { epoch: 3 })), ["runState"]);
  t.end();
});

// Guards against a restart beside members of the same job that still run.
test("a start under a higher epoch waits until the old one ended", (t) => {
  const agent = connected();
  agent.run(reserve("j", [[0]]));
  const effects = agent.event({
    kind: "message",
    entry: "e1",
    message: reserve("j", [[5]], { epoch: 2 }),
  });
  t.strictSame(kinds(effects), ["checkpointTask", "reserving"]);
  t.strictSame(states(agent, commit("j", 2)), [], "not before it is held");
  t.match(
    agent.end({ job: "j", epoch: 1 }).filter((one) =>
      one.kind === "send" && one.message.kind === "reserved"
    ),
    [{ message: { run: { epoch: 2 } } }],
  );
  t.end();
});

// Guards against a gang that starts on capacity it no longer holds.
test("a reservation lapses, and its commit starts nothing", (t) => {
  const agent = connected();
  agent.send(reserve("j", [[0]], { remaining: 100 }));
  const lapse = agent.pass(100);
  t.match(only(sentTo(lapse), "runState"), [{ members: [] }]);
  t.strictSame(states(agent, commit("j")), []);
  agent.send(reserve("k", [[0]]));
  agent.send(release("k"));
  t.strictSame(states(agent, commit("k")), []);
  t.strictSame(kindsOf(agent, reserve("k", [[0]])), ["reserved"], "anew");
  t.strictSame(
    kinds(agent.event({
      kind: "message",
      entry: "e1",
      message: commit("k"),
    })),
    ["startTask", "runState"],
  );
  agent.send(release("k"));
  t.equal(agent.core.state.members.length, 1, "a running gang stays");
  t.end();
});

// Guards against a guarantee that is blocked by work that cannot be stopped.
test("non-revocable work runs on its own home or on nobody's", (t) => {
  const agent = connected({ a: [0, 1], b: [2, 3] });
  const pinned = { revocable: false };
  t.equal(reason(agent, reserve("j", [[2]], pinned)), "not-revocable");
  t.equal(reason(agent, reserve("j", [[0], [3]], pinned)), "not-revocable");
  t.strictSame(kindsOf(agent, reserve("j", [[0], [4]], pinned)), ["reserved"]);
  const moved = agent.event({
    kind: "message",
    entry: "e1",
    message: { kind: "homes", homes: homesTable(2, { b: [4] }) },
  });
  t.match(only(sentTo(moved), "runState"), [{ members: [] }], "home moved");
  agent.run(reserve("k", [[0]], pinned));
  agent.send({ kind: "homes", homes: homesTable(3, { b: [0] }) });
  t.equal(agent.core.state.members.length, 1, "running work is not stopped");
  agent.core.state.homes = undefined;
  agent.core.runs.clear();
  t.equal(reason(agent, reserve("l", [[7]], pinned)), "not-revocable");
  t.end();
});
