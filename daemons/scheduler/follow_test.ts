import { err, ok } from "neverthrow";
import { test } from "tap";
import { createManualClock } from "@dragonflyledge/fakes";
import type { Change, KeyValue, StoreFailure } from "@dragonflyledge/platform";
import { follow } from "./follow.ts";

const PREFIX = "in/";

/** Calls of a follower that wait for the test's answers. */
function createPendingStore() {
  const lists: ((revision: number) => void)[] = [];
  const watches: {
    after: number;
    wait: number;
    /** Answers with changes of the keys, at this and the next revisions. */
    answer: (revision: number, ...keys: string[]) => void;
    compact: () => void;
    fail: (receivedBytes?: number) => void;
  }[] = [];
  const change = (key: string, revision: number): Change => ({
    kind: "deleted",
    key: `${PREFIX}${key}`,
    revision,
  });
  const store = {
    list: () =>
      new Promise((resolve) =>
        lists.push((revision) => resolve(ok({ items: [], revision })))
      ),
    watch: ({ after, wait }: { after: number; wait: number }) =>
      new Promise((resolve) =>
        watches.push({
          after,
          wait,
          answer: (first, ...keys) => {
            const changes = keys.map((key, index) =>
              change(key, first + index)
            );
            const revision = first + Math.max(0, keys.length - 1);
            resolve(ok({ kind: "changes", changes, revision }));
          },
          compact: () => resolve(ok({ kind: "compacted" })),
          fail: (receivedBytes) => {
            const failure: StoreFailure = { kind: "unknown", reason: "late" };
            const whole = receivedBytes === undefined;
            resolve(err(whole ? failure : { ...failure, receivedBytes }));
          },
        })
      ),
  } as unknown as KeyValue;
  return { store, lists, watches };
}

/** Creates a follower and the lists and changes that it passed on. */
function createFollower({ listsWhenBehind = false } = {}) {
  const clock = createManualClock();
  const { store, lists, watches } = createPendingStore();
  const listed: number[] = [];
  const changed: number[] = [];
  const follower = follow({
    store,
    listPrefix: PREFIX,
    clock,
    timer: clock,
    listsWhenBehind,
    pause: () => 0,
    onList: (_items, revision) => listed.push(revision),
    onChanges: (changes) =>
      changed.push(
        ...changes.map((each) =>
          each.kind === "put" ? each.item.revision : each.revision
        ),
      ),
    onTrouble: () => {},
  });
  const settle = () => clock.run(1);
  return { clock, follower, lists, watches, listed, changed, settle };
}

/** Time in milliseconds after which a failed call has been repeated. */
const RETRY_TIME = 200;

// Guards against a copy of the store that takes over what was read before it
// was listed again, for example before this process was elected.
test("answers to calls from before a restart are ignored", async (t) => {
  const { follower, lists, watches, listed, changed, settle } =
    createFollower();
  follower.restart(PREFIX);
  lists[0]!(5);
  await settle();
  follower.restart(PREFIX);
  follower.restart(PREFIX);
  lists[2]!(9);
  await settle();
  lists[1]!(7);
  watches[0]!.answer(6, "a");
  await settle();
  t.same(listed, [5, 9]);
  t.same(changed, []);
  t.equal(watches.length, 2, "only the latest restart watches");
});

// Guards against changes that are left out, or applied again, by a watch that
// goes on from another revision than the last answer or list.
test("a watch goes on from the last answer, or from a new list", async (t) => {
  const { follower, lists, watches, listed, changed, settle } =
    createFollower();
  follower.restart(PREFIX);
  lists[0]!(5);
  await settle();
  watches[0]!.answer(8, "a");
  await settle();
  watches[1]!.compact();
  await settle();
  lists[1]!(20);
  await settle();
  t.same(watches.map(({ after }) => after), [5, 8, 20]);
  t.same(listed, [5, 20]);
  t.same(changed, [8]);
});

// Guards against a watch that asks for more large values each time it fails.
test("a watch whose answer grows is repeated", async (t) => {
  const { clock, follower, lists, watches, settle } = createFollower({
    listsWhenBehind: true,
  });
  follower.restart(PREFIX);
  lists[0]!(5);
  await settle();
  watches[0]!.fail();
  await clock.run(RETRY_TIME);
  t.equal(lists.length, 2, "a failed watch is followed by a list");
  lists[1]!(9);
  await settle();
  watches[1]!.answer(10, "config", "other", "config");
  await settle();
  t.equal(lists.length, 3, "so is one that brought an overwritten value");
  lists[2]!(14);
  await settle();
  watches[2]!.answer(15, "config", "other");
  await settle();
  t.same(watches.map(({ after }) => after), [5, 9, 14, 16]);
});

// Guards against a follower of many small records that lists all of them after
// each failure, and against one that repeats a watch too long to read.
test("changes that can't be read whole are asked for again", async (t) => {
  const { clock, follower, lists, watches, settle } = createFollower();
  follower.restart(PREFIX);
  lists[0]!(5);
  await settle();
  watches[0]!.fail();
  await clock.run(RETRY_TIME);
  t.same(watches.map(({ after }) => after), [5, 5]);
  watches[1]!.fail(1000);
  await clock.run(RETRY_TIME);
  t.equal(lists.length, 2);
});

// Guards against a state that counts as older or newer than it is known to be.
test("the age of the store's state is not what the answers show", async (t) => {
  const { clock, follower, lists, watches, settle } = createFollower();
  const age = () => Math.round(clock.now() - follower.freshAt());
  follower.restart(PREFIX);
  await clock.run(300);
  lists[0]!(5);
  await settle();
  t.equal(age(), 301, "a list is as old as its call");
  t.equal(watches[0]!.wait, 700, "the watch ends when the state is 1 s old");
  await clock.run(710);
  watches[0]!.answer(5);
  await settle();
  t.equal(age(), 12, "the store has waited until the end of the watch");
  await clock.run(400);
  watches[1]!.answer(6, "a");
  await settle();
  t.equal(age(), 402, "an answer with changes may have been sent at once");
});
