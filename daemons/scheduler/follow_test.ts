import { ok } from "neverthrow";
import { test } from "tap";
import { createManualClock } from "@dragonflyledge/fakes";
import type { Change, KeyValue } from "@dragonflyledge/platform";
import { follow } from "./follow.ts";

const PREFIX = "in/";

/** Calls of a follower that wait for the test's answers. */
function createPendingStore() {
  const lists: ((revision: number) => void)[] = [];
  const watches: {
    after: number;
    answer: (revision: number) => void;
    compact: () => void;
  }[] = [];
  const change = (revision: number): Change => ({
    kind: "deleted",
    key: `${PREFIX}${revision}`,
    revision,
  });
  const store = {
    list: () =>
      new Promise((resolve) =>
        lists.push((revision) => resolve(ok({ items: [], revision })))
      ),
    watch: ({ after }: { after: number }) =>
      new Promise((resolve) =>
        watches.push({
          after,
          answer: (revision) =>
            resolve(
              ok({ kind: "changes", changes: [change(revision)], revision }),
            ),
          compact: () => resolve(ok({ kind: "compacted" })),
        })
      ),
  } as unknown as KeyValue;
  return { store, lists, watches };
}

/** Creates a follower and the lists and changes that it passed on. */
function createFollower() {
  const clock = createManualClock();
  const { store, lists, watches } = createPendingStore();
  const listed: number[] = [];
  const changed: number[] = [];
  const follower = follow({
    store,
    listPrefix: PREFIX,
    clock,
    timer: clock,
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
  return { follower, lists, watches, listed, changed, settle };
}

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
  watches[0]!.answer(6);
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
  watches[0]!.answer(8);
  await settle();
  watches[1]!.compact();
  await settle();
  lists[1]!(20);
  await settle();
  t.same(watches.map(({ after }) => after), [5, 8, 20]);
  t.same(listed, [5, 20]);
  t.same(changed, [8]);
});
