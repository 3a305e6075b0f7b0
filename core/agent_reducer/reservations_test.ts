import { test } from "tap";
import { EPOCH_LIMIT } from "./runs.ts";
import {
  commit,
  connectedAgent,
  homesTable,
  kinds,
  messagesOfKind,
  release,
  renew,
  reserve,
  sentTo,
  states,
} from "./setup_for_tests.ts";

// Guards against two gangs on one accelerator, and against reservations beyond
// the cores and memory of the worker.
test("a reservation is refused if it exceeds the free capacity", (t) => {
  const agent = connectedAgent();
  t.equal(agent.kinds(reserve("j", [[0, 1], [2, 3]])), "reserved");
  t.equal(agent.reason(reserve("k", [[3]])), "no-capacity");
  const needs = { accelerators: 1, cores: 2, memoryMiB: 64 };
  const refused = (more: Partial<typeof needs>) =>
    agent.reason(reserve("k", [[4]], { perMember: { ...needs, ...more } }));
  t.equal(refused({ cores: 29 }), "no-capacity", "cores");
  t.equal(refused({ memoryMiB: 897 }), "no-capacity", "memory");
  t.equal(refused({ accelerators: 2 }), "no-capacity", "too few accelerators");
  t.equal(agent.reason(reserve("k", [[8]])), "no-capacity", "unknown");
  t.equal(agent.reason(reserve("k", [[4], [4]])), "no-capacity", "twice");
  t.equal(agent.reason(reserve("k", [])), "no-capacity", "empty");
  t.equal(refused({ cores: 28, memoryMiB: 896 }), undefined, "just fits");
  t.end();
});

// Guards against an owner that was paused and starts a gang that its successor
// has already started.
test("a lower epoch is refused, an equal one answered, a higher one fences", (t) => {
  const agent = connectedAgent();
  agent.send(reserve("j", [[0]], { epoch: 2 }));
  t.equal(agent.reason(reserve("j", [[1]], { epoch: 1 })), "stale-epoch");
  t.equal(agent.kinds(reserve("j", [[0]], { epoch: 2 })), "reserved");
  t.equal(
    agent.kinds(reserve("j", [[0]], { epoch: 3 })),
    "runState reserved",
  );
  t.equal(states(agent, commit("j", 2)), "");
  t.equal(states(agent, commit("j", 3)), "running");
  t.equal(states(agent, commit("j", 3)), "running");
  t.equal(agent.kinds(reserve("j", [[0]], { epoch: 3 })), "runState");
  agent.end({ job: "j", epoch: 3 }, "finished");
  t.equal(states(agent, commit("j", 3)), "finished");
  agent.advance(3_600_000);
  t.equal(agent.kinds(reserve("j", [[0]], { epoch: 3 })), "runState");
  t.end();
});

// Guards against a start of a gang while its members of an older epoch run.
test("a start under a higher epoch waits until older members end", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("j", [[0]]));
  const effects = agent.deliver(reserve("j", [[5]], { epoch: 2 }));
  t.equal(kinds(effects), "checkpointTask reserving");
  t.equal(
    states(agent, commit("j", 2)),
    "",
    "no start before the capacity is held",
  );
  const freed = sentTo(agent.end({ job: "j", epoch: 1 }));
  t.match(messagesOfKind(freed, "reserved"), [{ run: { epoch: 2 } }]);
  t.end();
});

// Guards against a gang that starts on capacity it no longer holds.
test("a commit after the lapse or release starts nothing", (t) => {
  const agent = connectedAgent();
  agent.send(reserve("j", [[0]], { remaining: 100 }));
  const lapse = agent.advance(100);
  t.match(messagesOfKind(sentTo(lapse), "runState"), [{ members: [] }]);
  t.equal(states(agent, commit("j")), "");
  agent.send(reserve("k", [[0]]));
  agent.send(release("k"));
  t.equal(states(agent, commit("k")), "");
  t.equal(agent.kinds(reserve("k", [[0]])), "reserved", "anew");
  t.equal(kinds(agent.deliver(commit("k"))), "startTask runState");
  agent.send(release("k"));
  t.equal(agent.core.state.members.length, 1, "a running gang stays");
  t.end();
});

// Guards against a guarantee that is blocked by work that cannot be stopped.
test("non-revocable work runs on its own home or outside all homes", (t) => {
  const agent = connectedAgent({ a: [0, 1], b: [2, 3] });
  const pinned = { revocable: false };
  t.equal(agent.reason(reserve("j", [[2]], pinned)), "not-revocable");
  t.equal(agent.reason(reserve("j", [[0], [3]], pinned)), "not-revocable");
  t.equal(agent.kinds(reserve("j", [[0], [4]], pinned)), "reserved");
  const moved = agent.deliver(homesTable(2, { b: [4] }));
  t.match(
    messagesOfKind(sentTo(moved), "runState"),
    [{ members: [] }],
    "home moved",
  );
  agent.run(reserve("k", [[0]], pinned));
  agent.send(homesTable(3, { b: [0] }));
  t.equal(agent.core.state.members.length, 1, "running work is not stopped");
  agent.core.state.homes = undefined;
  agent.core.runs.clear();
  t.equal(agent.reason(reserve("l", [[7]], pinned)), "not-revocable");
  t.end();
});

// Guards against remembered epochs that fill the memory, and against the loss
// of an epoch whose members still run.
test("epochs are limited in number, but kept for jobs with members", (t) => {
  const agent = connectedAgent();
  agent.run(reserve("live", [[0]], { epoch: 5 }));
  for (let job = 0; job <= EPOCH_LIMIT; job++) {
    agent.event({ kind: "message", entry: "e1", message: renew(`j${job}`) });
  }
  t.equal(agent.core.epochs.size, EPOCH_LIMIT);
  t.equal(agent.reason(reserve("live", [[1]], { epoch: 4 })), "stale-epoch");
  t.notOk(agent.core.epochs.has("j1"), "the oldest are forgotten");
  t.end();
});
