import { test } from "tap";
import {
  Agent,
  attempt,
  configuration,
  connectedAgent,
  homesTable,
  kinds,
  messagesOfKind,
  reserve,
  sentTo,
} from "./setup_for_tests.ts";

const versions = (configuration: number, homes: number) => ({
  configuration,
  homes,
});
const reports = (effects: Parameters<typeof sentTo>[0], entry = "e1") =>
  messagesOfKind(sentTo(effects, entry), "report");

// Guards against a configuration or homes table replaced by an older one.
test("only higher versions are accepted", (t) => {
  const agent = connectedAgent();
  agent.send(configuration(3));
  const old = agent.deliver(configuration(2));
  t.match(old, [{ kind: "count", metric: "versions.ignored" }]);
  agent.send(homesTable(1, { z: [0] }));
  t.equal(agent.core.state.configuration?.version, 3);
  t.strictSame(agent.core.state.homes?.homes, []);
  t.end();
});

// Guards against a worker or an entry that stays on an old version.
test("the side with older versions receives the newer ones", (t) => {
  const agent = new Agent();
  t.match(sentTo(agent.connect("e1", versions(2, 1)))[0], {
    kind: "fetch",
    versions: versions(0, 0),
  });
  agent.connect("e2", versions(2, 1));
  const seen = (entry: string, peer: ReturnType<typeof versions>) =>
    sentTo(agent.event({ kind: "peerVersions", entry, versions: peer }), entry);
  t.strictSame(seen("e2", versions(2, 1)), [], "one fetch at a time");
  agent.now += 500;
  t.match(
    seen("e2", versions(2, 1)),
    [{ kind: "fetch" }],
    "the fetch is repeated after 500 ms",
  );
  agent.send(configuration(2));
  agent.send(homesTable(1, {}));
  t.strictSame(seen("e1", versions(2, 0)), [], "it fetches by itself");
  agent.now += 1000;
  t.match(seen("e1", versions(2, 0)), [{ kind: "homes" }], "it still lags");
  t.match(
    agent.send({ kind: "fetch", versions: versions(0, 1) }),
    [{ kind: "configuration" }],
  );
  t.end();
});

// Guards against sessions with all entries or with none, and against needless
// changes of sessions.
test("an agent connects to at most four entries and keeps to them", (t) => {
  const agent = connectedAgent();
  const all = ["a", "b", "c", "d", "e", "f"].map((id) => ({ id, address: id }));
  const dial = (entries: typeof all) =>
    agent.deliver({ kind: "entries", entries }).flatMap((one) =>
      one.kind === "dialEntries" ? [one.entries] : []
    );
  const chosen = dial(all)[0]!;
  t.equal(chosen.length, 4);
  t.strictSame(dial(all.toReversed()), [], "unchanged");
  const lost = dial(all.filter((one) => one.id !== chosen[0]!.id))[0]!;
  t.strictSame(lost.slice(0, 3), chosen.slice(1), "only the lost one changes");
  t.strictSame(dial([]), []);
  t.end();
});

// Guards against entries that place work by an outdated state of the worker.
test("changes are reported at once, slots at most every 20 ms", (t) => {
  const agent = new Agent();
  t.equal(reports(agent.connect()).length, 1, "on connect");
  agent.now += 20;
  t.match(
    reports(agent.deliver(attempt("a"))),
    [{ slotsUsed: 1, slotsByClass: { batch: 1 } }],
  );
  agent.now += 5;
  t.strictSame(messagesOfKind(agent.send(attempt("b")), "report"), []);
  const member = messagesOfKind(
    agent.send(reserve("j", [[0], [1]], { remaining: 60_000 })),
    "report",
  );
  t.match(member, [{ slotsUsed: 2, members: [{ state: "reserved" }, {}] }]);
  agent.send(attempt("c", { urgent: true }));
  t.match(
    reports(agent.advance(20)),
    [{ slotsUsed: 3 }],
    "the last change of slots",
  );
  t.strictSame(reports(agent.advance(1000)), []);
  agent.event({ kind: "usage", cores: 4, memoryMiB: 5, age: 7 });
  t.strictSame(reports(agent.advance(3999)), []);
  t.match(reports(agent.advance(1)), [{ usage: { cores: 4, age: 4007 } }]);
  t.equal(kinds(agent.event({ kind: "entryLost", entry: "e1" })), "");
  t.end();
});

// Guards against an operator who sees an old version at a worker for seconds
// after a newer one is in force there.
test("a new version is reported at once", (t) => {
  const agent = connectedAgent();
  agent.now += 100;
  const told = messagesOfKind(agent.send(configuration(3)), "report");
  t.match(told, [{ versions: { configuration: 3 } }]);
  t.end();
});
