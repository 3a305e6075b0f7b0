import { test } from "tap";
import { configuration, createHarness, hello } from "../test_support.ts";

const versions = (configuration: number, homes = 0) => ({
  configuration,
  homes,
});
const homes = (version: number) => ({
  version,
  configurationVersion: 1,
  homes: [],
  unplaced: [],
});

// Guards against a configuration that returns to a lower version, or that
// does not reach all agents.
test("higher versions are sent to all agents, lower ones are ignored", (t) => {
  const h = createHarness(["w1", "w2"]);
  h.on({ kind: "configurationSeen", configuration: configuration(3) });
  h.on({ kind: "configurationSeen", configuration: configuration(2) });
  h.deliver("w1", { kind: "configuration", configuration: configuration(3) });
  t.equal(h.state.configuration!.version, 3);
  t.same(h.sent("configuration").map((each) => each.worker), ["w1", "w2"]);
  h.on({ kind: "homesSeen", homes: homes(2) });
  h.deliver("w2", { kind: "homes", homes: homes(1) });
  t.equal(h.state.homes!.version, 2);
  t.equal(h.sent("homes").length, 2);
  t.end();
});

// Guards against an entry that keeps an old version while the store is down,
// and against a fetch from every agent at each heartbeat.
test("a newer version is fetched from one agent at a time", (t) => {
  const h = createHarness(["w1", "w2"]);
  const see = (worker: string, number: number) =>
    h.on({ kind: "peerVersions", worker, versions: versions(number) });
  see("w1", 5);
  see("w2", 5);
  t.equal(h.sent("fetch").length, 1);
  h.setTime(1000);
  see("w2", 5);
  t.equal(h.sent("fetch").length, 2);
  h.deliver("w2", { kind: "configuration", configuration: configuration(5) });
  t.equal(h.state.configuration!.version, 5);
  h.report("w1", { versions: versions(6) });
  t.equal(h.sent("fetch").length, 3);
  t.end();
});

// Guards against an entry that keeps an old version after an agent with a
// newer one has connected.
test("after a hello with a higher version, store and agent are asked", (t) => {
  const h = createHarness();
  const newer = { ...hello("w1"), versions: versions(4) };
  const effects = h.on({ kind: "agentConnected", hello: newer });
  t.ok(effects.some((effect) => effect.kind === "fetchConfiguration"));
  t.equal(h.sent("fetch")[0]?.worker, "w1");
  t.end();
});

// Guards against a fetch that is not answered.
test("a fetch is answered with each document that is newer", (t) => {
  const h = createHarness(["w1"]);
  h.on({ kind: "homesSeen", homes: homes(2) });
  h.deliver("w1", { kind: "fetch", versions: versions(0, 2) });
  t.equal(h.sent("configuration").length, 1);
  t.equal(h.sent("homes").length, 1, "sent before the fetch, and not again");
  t.end();
});
