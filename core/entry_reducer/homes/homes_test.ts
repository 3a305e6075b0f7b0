import { test } from "tap";
import { configuration, World } from "../jobs/testing.ts";

// Guards against two entries that both write the table, and against entries
// with different tables.
test("one entry writes the table and all adopt it", (t) => {
  const world = new World(23, 6);
  const first = world.addEntry("e1");
  const second = world.addEntry("e2");
  world.run(3000);
  const writes = world.effects.filter((one) => one.kind === "writeHomes");
  t.equal(writes.length, 1);
  t.equal(world.homes?.homes.length, 1);
  t.same(first.state.homes, second.state.homes);
  t.end();
});

// Guards against homes that stay on lost workers, against moves after a short
// loss, and against a return to an older table.
test("a lost worker's home moves after the delay, versions go forward", (t) => {
  const world = new World(23, 6);
  const { state } = world.addEntry("e1");
  world.run(3000);
  const worker = state.homes?.homes[0]?.parts[0]?.worker ?? "";
  const agent = world.agents.get(worker);
  if (agent) world.failAgent(agent);
  world.run(9000);
  t.equal(state.homes?.version, 1);
  world.run(2000);
  t.equal(state.homes?.version, 2);
  t.not(state.homes?.homes[0]?.parts[0]?.worker, worker);
  const older = { ...world.homes, version: 1 } as typeof world.homes;
  if (older) world.reduce("e1", { kind: "homesSeen", homes: older });
  t.equal(state.homes?.version, 2);
  t.end();
});

// Guards against homes that stay on a worker that is about to stop.
test("the home of a leaving worker moves at once", (t) => {
  const world = new World(23, 6);
  const { state } = world.addEntry("e1");
  world.run(3000);
  const worker = state.homes?.homes[0]?.parts[0]?.worker ?? "";
  const agent = world.agents.get(worker);
  if (agent) agent.leaving = true;
  agent?.report();
  world.run(500);
  t.not(state.homes?.homes[0]?.parts[0]?.worker, worker);
  t.end();
});

// Guards against an entry that has just started and empties the table, and
// against a table that is adopted although the store refused it.
test("a restarted entry keeps the table until workers have connected", (t) => {
  const world = new World(23, 6);
  world.addEntry("e1");
  world.run(3000);
  const before = world.homes;
  world.entries.clear();
  const agents = world.agents;
  world.agents = new Map();
  const { state } = world.addEntry("e1", 2);
  world.run(5000);
  t.same(world.homes, before);
  for (const agent of agents.values()) world.connect("e1", agent);
  world.homes = { ...before, version: 9 } as typeof before;
  state.configuration = { ...configuration, version: 2 };
  world.reduce("e1", {
    kind: "configurationSeen",
    configuration: state.configuration,
  });
  world.run(400);
  t.equal(
    state.homes?.version,
    9,
    "a conflict leads to the winner's table",
  );
  world.run(3000);
  t.match(state.homes, { version: 10, configurationVersion: 2 });
  t.end();
});
