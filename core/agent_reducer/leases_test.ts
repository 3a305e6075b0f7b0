import { test } from "tap";
import { ENDED_RUN_LIMIT } from "./runs.ts";
import {
  Agent,
  checkpoint,
  commit,
  connectedAgent,
  foundMember,
  kinds,
  messagesOfKind,
  renew,
  reserve,
  sentTo,
  states,
  stop,
} from "./setup_for_tests.ts";

// Guards against a gang that runs on after the loss of its owner.
test("members are stopped at once when the lease lapses", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0], [1]]));
  agent.send(reserve("k", [[2]]));
  agent.send({ ...commit("k"), lease: 60_000 });
  agent.advance(9000);
  t.equal(agent.kinds(renew("j")), "renewTask renewTask runState");
  t.equal(
    kinds(agent.advance(1000)),
    "stopTask",
    "a lease is at most 10 s long",
  );
  agent.end({ job: "k", epoch: 1 });
  t.equal(kinds(agent.advance(8999)), "");
  agent.now += 1;
  const late = agent.deliver(renew("j"));
  t.equal(kinds(late), "stopTask stopTask runState");
  t.equal(states(agent, renew("j")), "stopping stopping");
  t.end();
});

// Guards against two owners of one gang after a takeover.
test("a higher epoch takes a run over and fences off the old owner", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  const effects = agent.deliver(renew("j", 2));
  t.match(effects.find((one) => one.kind === "renewTask"), {
    task: { run: { epoch: 1 } },
  });
  t.match(messagesOfKind(sentTo(effects), "runState"), [
    { run: { epoch: 2 }, members: [{ run: { epoch: 2 }, state: "running" }] },
  ]);
  // Empty states would prove to the old owner that the members are gone, and
  // it would start the gang again. It has to learn that it was fenced off.
  for (const message of [renew("j", 1), stop("j")]) {
    const stale = agent.deliver(message);
    t.equal(kinds(stale), "runState");
    t.match(messagesOfKind(sentTo(stale), "runState"), [
      { run: { epoch: 2 }, members: [{ run: { epoch: 2 }, state: "running" }] },
    ]);
  }
  t.equal(states(agent, renew("j", 2)), "running");
  const task = { run: { job: "j", epoch: 1 }, member: 0 };
  agent.event({ kind: "taskEnded", task, ending: "failed", cause: "x" });
  t.equal(states(agent, renew("j", 3)), "failed", "a late renewal");
  t.match(agent.send(reserve("j", [[0]], { epoch: 3 })), [{
    kind: "reserved",
  }]);
  t.end();
});

// Guards against an owner that never learns how its members ended.
test("the end of a member is reported at once and remembered", (t) => {
  const agent = connectedAgent();
  agent.connect("e2");
  agent.run(reserve("j", [[0], [1]]));
  agent.send(renew("j"), "e2");
  const ended = agent.event({
    kind: "taskEnded",
    task: { run: { job: "j", epoch: 1 }, member: 1 },
    ending: "failed",
    cause: "",
  });
  t.match(messagesOfKind(sentTo(ended, "e2"), "runState")[0]?.members, [
    { state: "running" },
    { state: "failed" },
  ]);
  agent.end({ job: "j", epoch: 1 }, "finished");
  agent.send(reserve("c", [[2]]));
  agent.send(commit("c"), "e2");
  const told = sentTo(agent.end({ job: "c", epoch: 1 }), "e2");
  t.equal(
    messagesOfKind(told, "runState").length,
    1,
    "to the entry that committed",
  );
  agent.advance(60_000);
  t.equal(states(agent, renew("j")), "finished failed");
  agent.advance(600_000);
  t.equal(states(agent, renew("j")), "");
  for (let job = 0; job <= ENDED_RUN_LIMIT; job++) {
    agent.run(reserve(`k${job}`, [[0]]));
    agent.end({ job: `k${job}`, epoch: 1 }, "finished");
  }
  t.equal(states(agent, renew("k0")), "", "the oldest is forgotten");
  t.equal(states(agent, renew("k1")), "finished");
  t.end();
});

// Guards against a stop that loses the work since the last checkpoint, and
// against one that waits for a checkpoint without end.
test("a stop waits for a checkpoint at most for the grace period", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  agent.run(reserve("k", [[1]]));
  t.equal(agent.kinds(checkpoint("j")), "checkpointTask runState");
  t.equal(agent.kinds(stop("k")), "stopTask runState");
  t.equal(kinds(agent.advance(2000)), "stopTask stopTask");
  t.equal(states(agent, renew("j")), "stopping");
  t.end();
});

// Guards against tasks that run on with nobody in charge after a restart of the
// agent.
test("found tasks are adopted, and stopped unless renewed", (t) => {
  const agent = new Agent();
  agent.connect();
  agent.send(reserve("early", [[0]]));
  agent.event({
    kind: "tasksFound",
    members: [
      foundMember("j"),
      foundMember("k", { accelerators: [2], state: "checkpointing" }),
      foundMember("l", { accelerators: [2] }),
      foundMember("m", { accelerators: [3], epoch: 1 }),
      foundMember("m", { accelerators: [4], epoch: 2 }),
    ],
  });
  t.strictSame(
    agent.core.state.members.map((one) =>
      `${one.run.job}${one.run.epoch} ${one.state}`
    ),
    ["j1 running", "k1 running", "l1 stopping", "m1 stopping", "m2 running"],
    "tasks beyond the capacity and fenced ones are stopped",
  );
  const later = foundMember("k", { accelerators: [6], epoch: 2 });
  agent.event({ kind: "tasksFound", members: [foundMember("j"), later] });
  t.strictSame(
    agent.core.state.members.filter((one) => one.run.job === "k")
      .map((one) => one.state),
    ["checkpointing", "running"],
    "found later under a higher epoch",
  );
  t.match(agent.send(reserve("n", [[0]])), [{ reason: "no-capacity" }]);
  t.match(agent.send(reserve("j", [[0]])), [{ kind: "runState" }]);
  agent.now += 5000;
  t.equal(states(agent, renew("j", 2)), "running");
  agent.advance(5000);
  t.strictSame(
    agent.core.state.members.filter((one) => one.state === "running")
      .map((one) => one.run.job),
    ["j"],
  );
  t.end();
});

// Guards against a task that uses capacity and is unknown to the state.
test("a started task of no known run is stopped", (t) => {
  const agent = connectedAgent();
  const task = { run: { job: "x", epoch: 1 }, member: 0 };
  t.equal(kinds(agent.event({ kind: "taskStarted", task })), "stopTask");
  agent.run(reserve("j", [[0]]));
  const known = { run: { job: "j", epoch: 1 }, member: 0 };
  for (const kind of ["taskStarted", "taskCheckpointed"] as const) {
    t.equal(kinds(agent.event({ kind, task: known })), "", kind);
  }
  t.end();
});

// Guards against a task that runs although entries were told that it ended.
test("a task that starts after its member has ended is stopped", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  const task = { run: { job: "j", epoch: 1 }, member: 0 };
  agent.event({ kind: "taskEnded", task, ending: "stopped", cause: "" });
  t.equal(kinds(agent.event({ kind: "taskStarted", task })), "stopTask");
  t.end();
});

// Guards against a gang that is throttled for a single or outdated reading.
test("deferrable members are throttled after three readings in a row", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  agent.run(reserve("u", [[1]], { urgent: true }));
  const read = (cores: number, age = 0) => {
    agent.now += 100;
    return agent.event({ kind: "usage", cores, memoryMiB: 10, age })
      .filter((one) => one.kind === "throttleTask" || one.kind === "log");
  };
  for (const cores of [8, 8, 3, 8]) t.strictSame(read(cores), []);
  t.strictSame(read(8, 150), [], "the reading is older than the last one");
  t.strictSame(read(8), []);
  const throttled = read(8);
  t.match(throttled[1], { share: 0.5, task: { run: { job: "j" } } });
  t.equal(throttled.length, 2, "urgent members are not throttled");
  t.strictSame(read(8, 100), [], "the reading was taken before the throttle");
  for (const cores of [3, 3]) t.strictSame(read(cores), []);
  t.match(read(3), [{ kind: "log" }, { share: 1 }]);
  const run = { job: "u", epoch: 1 };
  const slowed = agent.deliver({ kind: "throttle", run, share: 0.3 });
  t.match(slowed, [{ kind: "throttleTask", share: 0.3 }]);
  t.end();
});
