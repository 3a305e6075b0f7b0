import { test } from "tap";
import { createManualClock } from "@dragonflyledge/fakes";
import { createLevels } from "@dragonflyledge/log";
import type { CommitOutcome, Item, KeyValue } from "@dragonflyledge/platform";
import {
  agentKey,
  createProgress,
  jobKey,
  LEADER_KEY,
  progressKey,
} from "@dragonflyledge/scheduler";
import { createProgressWriter } from "./writer.ts";

const ID = "5c0e7a21d94b36f8";
const EPOCH = 3;
const LEADER_ITEM: Item = {
  key: LEADER_KEY,
  value: new Uint8Array(),
  revision: EPOCH,
};

/** A commit of which the test decides the outcome. */
interface PendingCommit {
  conditions: { key: string; revision: number }[];
  deletes: string[];
  answer: (outcome: CommitOutcome) => void;
}

/** Creates a writer whose commits wait for the test's answers. */
function createWriter() {
  const clock = createManualClock();
  const commits: PendingCommit[] = [];
  const stored: number[] = [];
  const deposed: number[] = [];
  const job = { version: 1, progress: createProgress() };
  const writer = createProgressWriter({
    store: {
      commit: ({ conditions, deletes }: Parameters<KeyValue["commit"]>[0]) =>
        new Promise<CommitOutcome>((answer) =>
          commits.push({ conditions, deletes: deletes ?? [], answer })
        ),
    } as unknown as KeyValue,
    epoch: EPOCH,
    timer: clock,
    log: createLevels({
      write: () => {},
      part: () => {
        throw new Error("no other part");
      },
    }),
    snapshot: () => job,
    revision: () => 0,
    onStored: (_job, version) => stored.push(version),
    onDeposed: () => deposed.push(clock.now()),
  });
  return { clock, commits, stored, deposed, job, writer };
}

const conflict = (...items: Item[]): CommitOutcome => ({
  kind: "conflict",
  items: new Map(items.map((item) => [item.key, item])),
});

/** Revision of the job's record that a commit replaces. */
const replaces = ({ conditions }: PendingCommit) =>
  conditions.find(({ key }) => key === progressKey(ID))?.revision;

// Guards against starts that are ordered for a decision that is not stored yet,
// since the confirmation of an earlier one arrives after it was made.
test("a confirmation is for the version that was written", async (t) => {
  const { clock, commits, stored, job, writer } = createWriter();
  writer.write(ID);
  await clock.run(10);
  job.version = 2;
  writer.write(ID);
  commits[0]!.answer({ kind: "committed", revision: 9 });
  await clock.run(10);
  t.same(stored, [1]);
  t.equal(replaces(commits[1]!), 9);
  commits[1]!.answer({ kind: "committed", revision: 10 });
  await clock.run(10);
  t.same(stored, [1, 2]);
});

// Guards against a term that confirms what it wrote after it has ended.
test("a confirmation after the term's end is ignored", async (t) => {
  const { clock, commits, stored, writer } = createWriter();
  writer.write(ID);
  await clock.run(10);
  writer.stop();
  commits[0]!.answer({ kind: "committed", revision: 9 });
  await clock.run(10);
  t.same(stored, []);
});

// Guards against two leaders that both write: a successor was elected while the
// commit was under way.
test("a commit that finds another leader ends all writes", async (t) => {
  const { clock, commits, deposed, writer } = createWriter();
  writer.write(ID);
  await clock.run(10);
  commits[0]!.answer(conflict({ ...LEADER_ITEM, revision: EPOCH + 1 }));
  await clock.run(1000);
  t.equal(deposed.length, 1);
  t.equal(commits.length, 1);
});

// Guards against progress that is never stored: an earlier commit without an
// answer took effect late, so that the record has another revision.
test("a write whose earlier attempt took effect late replaces it", async (t) => {
  const { clock, commits, stored, writer } = createWriter();
  writer.write(ID);
  await clock.run(10);
  commits[0]!.answer({ kind: "unknown", reason: "no answer" });
  await clock.run(200);
  const item = { key: progressKey(ID), value: new Uint8Array(), revision: 7 };
  commits[1]!.answer(conflict(LEADER_ITEM, item));
  await clock.run(10);
  t.equal(replaces(commits[2]!), 7);
  commits[2]!.answer({ kind: "committed", revision: 8 });
  await clock.run(10);
  t.same(stored, [1]);
});

// Guards against a leader that commits without pause and stores nothing more: a
// job came again after its records had been removed, and the store lists no
// item where there is no record.
test("progress whose record was removed is written anew", async (t) => {
  const { clock, commits, stored, writer } = createWriter();
  writer.write(ID);
  await clock.run(10);
  commits[0]!.answer({ kind: "committed", revision: 9 });
  writer.write(ID);
  await clock.run(10);
  commits[1]!.answer(conflict(LEADER_ITEM));
  await clock.run(10);
  t.equal(replaces(commits[2]!), 0);
  commits[2]!.answer({ kind: "committed", revision: 12 });
  await clock.run(10);
  t.same(stored, [1, 1]);
});

// Guards against the loss of an agent's new registration, or of a job that was
// submitted again: a removal without an answer takes effect after it.
test("a removal spares a record that was written since", async (t) => {
  const { clock, commits, writer } = createWriter();
  writer.removeAgent("agent-1", 5);
  writer.removeJob(ID, 6);
  await clock.run(10);
  t.same(commits[0]!.deletes, [agentKey("agent-1")]);
  t.match(commits[0]!.conditions[1], { key: agentKey("agent-1"), revision: 5 });
  const item = { key: agentKey("agent-1"), value: new Uint8Array() };
  commits[0]!.answer(conflict(LEADER_ITEM, { ...item, revision: 8 }));
  await clock.run(200);
  t.match(commits[1]?.conditions[1], { key: jobKey(ID), revision: 6 });
  commits[1]?.answer({ kind: "unknown", reason: "no answer" });
  await clock.run(200);
  commits[2]?.answer(conflict(LEADER_ITEM));
  await clock.run(200);
  t.equal(commits.length, 3, "the earlier attempt took effect");
});
