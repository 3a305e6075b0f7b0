import { test } from "tap";
import type {
  AgentEvent,
  AgentMessage,
  EntryEvent,
  Hello,
} from "@dragonflyledge/model";
import { createEventHeap } from "../event_heap.ts";
import { createProcess } from "./process.ts";
import { createSessions } from "./sessions.ts";
import type { AgentPeer, EntryPeer, Peer } from "./sessions.ts";

function setUp() {
  const heap = createEventHeap();
  const sessions = createSessions({ heap, delay: () => 2 });
  function createPeer<Event extends EntryEvent | AgentEvent>(
    id: string,
    incarnation: number,
  ) {
    const events: Event[] = [];
    const hello = { id, incarnation } as Hello;
    const created: Peer<Event> & { events: Event[] } = {
      id,
      incarnation,
      domain: "d",
      process: createProcess(heap),
      dispatch: (event) => events.push(event),
      hello: () => hello,
      versions: () => ({ configuration: 1, homes: 1 }),
      events,
    };
    return created;
  }
  const entry = createPeer<EntryEvent>("e1", 1);
  const agent = createPeer<AgentEvent>("w1", 1);
  sessions.dial(agent as AgentPeer, entry as EntryPeer);
  heap.run(10);
  return { heap, sessions, entry, agent, createPeer };
}

function fetch(version: number): AgentMessage {
  return { kind: "fetch", versions: { configuration: version, homes: 0 } };
}

function fetchedVersions(events: EntryEvent[]): number[] {
  return events.flatMap((event) =>
    event.kind === "message" && event.message.kind === "fetch"
      ? [event.message.versions.configuration]
      : []
  );
}

// Guards against messages that overtake each other when the delay shrinks.
test("messages of one session arrive in order", (t) => {
  const { heap, sessions, entry, agent } = setUp();
  const session = sessions.list[0]!;
  session.extraDelay = 100;
  sessions.sendToEntry(agent, "e1", fetch(1));
  session.extraDelay = 0;
  sessions.sendToEntry(agent, "e1", fetch(2));
  heap.run(200);
  t.same(fetchedVersions(entry.events), [1, 2]);
  t.end();
});

// Guards against a peer that never notices that its session drops all messages.
test("a silent session is closed at both ends after its timeout", (t) => {
  const { heap, sessions, entry, agent } = setUp();
  sessions.list[0]!.silent = true;
  sessions.sendToEntry(agent, "e1", fetch(1));
  heap.run(5000);
  t.same(fetchedVersions(entry.events), []);
  t.ok(entry.events.some((event) => event.kind === "agentLost"));
  t.ok(agent.events.some((event) => event.kind === "entryLost"));
  t.equal(sessions.list.length, 0);
  t.end();
});

// Guards against an entry that keeps the session of an old incarnation of an
// agent beside that of the new one.
test("a newer session replaces the older one", (t) => {
  const { heap, sessions, entry, createPeer } = setUp();
  const restarted = createPeer<AgentEvent>("w1", 2);
  sessions.dial(restarted, entry);
  heap.run(20);
  t.same(
    entry.events.map((event) => event.kind).filter((kind) =>
      kind !== "peerVersions"
    ),
    ["agentConnected", "agentLost", "agentConnected"],
  );
  t.end();
});

// Guards against events that reach a paused process before its pause ends.
test("a paused process gets its messages after the pause, in order", (t) => {
  const { heap, sessions, entry, agent } = setUp();
  entry.process.pausedUntil = 500;
  sessions.sendToEntry(agent, "e1", fetch(1));
  sessions.sendToEntry(agent, "e1", fetch(2));
  heap.run(400);
  t.same(fetchedVersions(entry.events), []);
  heap.run(600);
  t.same(fetchedVersions(entry.events), [1, 2]);
  t.end();
});
