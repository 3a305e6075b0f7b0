import { test } from "tap";
import fc from "fast-check";
import { createRandom } from "@dragonflyledge/model";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { createValueWriter } from "./value_writer.ts";

function start() {
  const clock = createManualClock();
  const memory = createMemoryStore({ clock, timer: clock });
  const malformed: string[] = [];
  const create = (identity: string, seed = 1) =>
    createValueWriter({
      store: memory,
      clock,
      timer: clock,
      random: createRandom(seed),
      identity,
      onMalformed: (error) => malformed.push(error.peer),
    });
  return { clock, memory, create, malformed, writer: create("e1.1") };
}

const put = (key: string, value: unknown, revision = 0) => {
  return { key, value, revision };
};

// Guards against a write that took effect and is reported as a conflict with
// itself, or as failed.
test("a lost answer is resolved by the ID of the write", async (t) => {
  const { clock, memory, writer } = start();
  memory.faults.lostAnswers = 1;
  const write = writer.write([put("/a", 1), put("/b", 2)]);
  await clock.run(100);
  const results = (await write)._unsafeUnwrap();
  t.same(results, [
    { kind: "stored", revision: 2 },
    { kind: "stored", revision: 2 },
  ]);
  t.equal(memory.calls.length, 2);
  t.equal((await writer.read("/a"))._unsafeUnwrap()?.write, "e1.1.1");
});

// Guards against a conflict that is not reported because its answer was lost.
test("a conflict whose answer was lost carries the stored value", async (t) => {
  const { clock, memory, writer, create } = start();
  await create("e2.1").write([put("/a", "theirs")]);
  memory.faults.lostAnswers = 1;
  const write = writer.write([put("/a", "ours")]);
  await clock.run(100);
  const [result] = (await write)._unsafeUnwrap();
  t.match(result, {
    kind: "conflict",
    current: { value: "theirs", write: "e2.1.1" },
  });
});

// Guards against a write that is reported as stored or refused although nobody
// knows, while the store is down.
test("a write without any answer is reported as unconfirmed", async (t) => {
  const { clock, memory, writer } = start();
  memory.faults.down = true;
  const write = writer.write([put("/a", 1)], 2000);
  await clock.run(2000);
  const error = (await write)._unsafeUnwrapErr();
  t.equal(error.code, "DFL_STORE_UNAVAILABLE");
  t.match(error.hint, /may have taken effect/);
  t.ok(memory.calls.length < 10);
});

// Guards against a value over the size limit that the store refuses with an
// unclear message.
test("a value over the limit is refused with an error that names its key", async (t) => {
  const { memory, writer } = start();
  const error = (await writer.write([put("/big", "x".repeat(1024 * 1024))]))
    ._unsafeUnwrapErr();
  t.equal(error.code, "DFL_USAGE");
  t.match(error.message, /\/big.*limit of 1048576 bytes/);
  t.equal(memory.calls.length, 0);
});

// Guards against one value of another program that makes the whole list fail.
test("a malformed value is left out of lists and reported", async (t) => {
  const { memory, writer, malformed } = start();
  await memory.write([put("/bad", "text") as never]);
  await writer.write([put("/good", 1)]);
  const listed = (await writer.list("/"))._unsafeUnwrap();
  t.same(listed.map((v) => v.key), ["/good"]);
  t.same(malformed, ["/bad"]);
  const read = await writer.read("/bad");
  t.equal(read._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
});

// Guards against a deletion that is reported as a conflict because its answer
// was lost.
test("a deletion whose answer is lost is resolved", async (t) => {
  const { clock, memory, writer } = start();
  await writer.write([put("/a", 1)]);
  memory.faults.lostAnswers = 1;
  const write = writer.write([put("/a", undefined, 2)]);
  await clock.run(100);
  t.equal((await write)._unsafeUnwrap()[0]?.kind, "stored");
});

// Guards against two writers that both believe they won, or that both believe
// they lost, when answers are lost.
test("racing writers with lost answers agree on who won", async (t) => {
  const seed = 43;
  t.comment(`seed ${seed}`);
  const losses = fc.array(fc.integer({ min: 0, max: 2 }), { maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(losses, async (lost) => {
      const { clock, memory, create } = start();
      const writers = [create("e1.1", 1), create("e2.1", 2)];
      let wins = 0;
      for (const loss of lost) {
        const current = (await writers[0]!.read("/n"))._unsafeUnwrap();
        memory.faults.lostAnswers = loss;
        const next = put(
          "/n",
          Number(current?.value ?? 0) + 1,
          current?.revision,
        );
        const race = writers.map((writer) => writer.write([next]));
        await clock.run(4000);
        const kinds = (await Promise.all(race))
          .map((result) => result._unsafeUnwrap()[0]!.kind);
        if (kinds.filter((kind) => kind === "stored").length !== 1) {
          throw new Error(`winners: ${kinds}`);
        }
        wins++;
      }
      const end = (await writers[0]!.read("/n"))._unsafeUnwrap();
      if (Number(end?.value ?? 0) !== wins) throw new Error("steps");
    }),
    { seed, numRuns: 40 },
  );
});
