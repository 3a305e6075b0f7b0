import { Buffer } from "node:buffer";
import { test } from "tap";
import type { CommitOutcome, Item, KeyValue } from "@dragonflyledge/platform";
import { registerAddress } from "./register.ts";

const KEY = "in/agent/agent-1";

// Guards against a process that is sought at the address of a former one: a late
// write of the former must not replace a later registration.
test("a registration replaces only the record that was read", async (t) => {
  let stored: Item = {
    key: KEY,
    value: Buffer.from("10.0.0.1:1"),
    revision: 5,
  };
  const expected: number[] = [];
  const store = {
    read: () => Promise.resolve({ isErr: () => false, value: stored }),
    commit: ({ conditions, puts }: Parameters<KeyValue["commit"]>[0]) => {
      expected.push(conditions[0]!.revision);
      // Another process registers between the read and the first write.
      if (expected.length === 1) stored = { ...stored, revision: 6 };
      const held = conditions[0]!.revision === stored.revision;
      if (held) stored = { ...stored, value: puts[0]!.value, revision: 7 };
      const outcome: CommitOutcome = held
        ? { kind: "committed", revision: 7 }
        : { kind: "conflict", items: new Map([[KEY, stored]]) };
      return Promise.resolve(outcome);
    },
  } as unknown as KeyValue;
  await registerAddress({
    key: KEY,
    address: "10.0.0.2:1",
    store,
    timer: {
      after: (_delay, task) => {
        queueMicrotask(task);
        return () => {};
      },
    },
    onFirstFailure: () => {},
  });
  t.same(expected, [5, 6]);
  t.equal(Buffer.from(stored.value).toString(), "10.0.0.2:1");
});
