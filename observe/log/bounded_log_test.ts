import { PassThrough } from "node:stream";
import { test } from "tap";
import { createBoundedLog } from "./bounded_log.ts";
import { createDroppingStream } from "./dropping_stream.ts";
import { createLog, Part } from "./log.ts";

// Guards against frequent log lines that use up processor time under load.
test("lines of a text are limited, and those left out are counted", (t) => {
  const stream = new PassThrough();
  let now = 0;
  const log = createBoundedLog({
    log: createLog({ part: Part.Entry, level: "info", stream }),
    clock: { now: () => now, date: () => new Date(now) },
    linesPerSecond: 3,
  });
  for (let line = 0; line < 10; line++) log.info("Often.");
  log.info("Once.");
  now = 1500;
  log.info("Often.");
  const lines = stream.read().toString().trim().split("\n")
    .map((line: string) => JSON.parse(line));
  t.same(lines.map((line: { msg: string }) => line.msg), [
    "entry: Often.",
    "entry: Often.",
    "entry: Often.",
    "entry: Once.",
    "entry: Lines left out.",
    "entry: Often.",
  ]);
  t.equal(lines[4].count, 7);
  t.end();
});

// Guards against a process that waits because nobody reads its log.
test("lines are dropped while nobody reads", (t) => {
  const target = new PassThrough();
  const { stream, dropped } = createDroppingStream({ target });
  const line = "x".repeat(1000);
  for (let count = 0; count < 1000; count++) stream.write(line);
  t.ok(dropped() > 500, `${dropped()} lines`);
  t.ok(target.writableLength < 400_000);
  t.end();
});
