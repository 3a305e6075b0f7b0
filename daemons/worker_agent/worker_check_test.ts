import { test } from "tap";
import { createInstruments } from "@dragonflyledge/exposition";
import { createLevels } from "@dragonflyledge/log";
import type { IdentifyOutcome } from "@dragonflyledge/platform";
import { createWorkerCheck } from "./worker_check.ts";

const ADDRESS = "10.0.0.1:8080";

const heartbeat = (fields = {}) =>
  new TextEncoder().encode(JSON.stringify({
    service: "planning",
    address: ADDRESS,
    zone: "zone-a",
    version: "v1",
    slots: 8,
    state: "ready",
    warmupLeftMs: 0,
    capacity: { cpu: 32_000, memMb: 131_072, gpu: 8 },
    labels: ["a", "r1-1"],
    clockMs: 50,
    born: 1000,
    sequence: 1,
    ...fields,
  }));

/** Creates a check whose worker gives these answers in turn. */
function createCheck(answers: (IdentifyOutcome | Promise<IdentifyOutcome>)[]) {
  let now = 0;
  const lines: string[] = [];
  const asked: string[] = [];
  const instruments = createInstruments();
  const check = createWorkerCheck({
    worker: {
      identify: ({ id, token }) => {
        asked.push(`${id} ${token}`);
        return Promise.resolve(answers.shift() ?? { kind: "denied" });
      },
    },
    address: ADDRESS,
    service: "planning",
    token: () => 7,
    clock: { now: () => now, date: () => new Date(now) },
    timer: {
      after: (delay, task) => {
        now += delay;
        queueMicrotask(task);
        return () => {};
      },
    },
    log: createLevels({
      write: (_level, text) => lines.push(text),
      part: () => {
        throw new Error("no other part");
      },
    }),
    instruments,
  });
  return { check, lines, asked, instruments };
}

const CONFIRMED: IdentifyOutcome = { kind: "confirmed", born: 1000 };
const SILENT: IdentifyOutcome = { kind: "undecided", reason: "no answer" };

// Guards against a call to the worker for each of its heartbeats.
test("a worker is asked once who it is", async (t) => {
  const { check, asked } = createCheck([CONFIRMED]);
  for (const sequence of [1, 2, 3]) {
    const decision = await check.heartbeat("i-1", heartbeat({ sequence }));
    t.match(decision, { kind: "accepted", announcement: { sequence } });
  }
  t.same(asked, ["i-1 7"]);
  t.ok(check.deregistration("i-1"));
});

// Guards against a worker that is replaced by whoever names its id or its
// address, but not both together with the time of its start.
test("the worker itself contradicts other senders", async (t) => {
  const { check, instruments, lines } = createCheck([
    CONFIRMED,
    { kind: "denied" },
    CONFIRMED,
  ]);
  await check.heartbeat("i-1", heartbeat());
  const refused = [
    await check.heartbeat("i-2", heartbeat()),
    await check.heartbeat("i-1", heartbeat({ born: 2000 })),
    await check.heartbeat("i-1", heartbeat({ service: "other" })),
    await check.heartbeat("i-1", heartbeat({ address: "10.0.0.2:8080" })),
    await check.heartbeat("log–shipper", heartbeat()),
    await check.heartbeat("i-1", heartbeat({ sequence: -1 })),
  ];
  t.same(
    refused.map((each) => each.kind === "refused" ? each.reason : each.kind),
    ["identity", "identity", "service", "address", "id", "body"],
  );
  t.notOk(check.deregistration("i-2"));
  const count = lines.length;
  await check.heartbeat("i-1", heartbeat({ sequence: -1 }));
  t.equal(lines.length, count, "the same refusal is logged once");
  const text = await instruments.text();
  t.match(text, /refused_total\{message="heartbeat",reason="body"\} 2/);
  t.match(
    text,
    /refused_total\{message="deregistration",reason="identity"\} 1/,
  );
});

// Guards against a worker that is lost since it was slow to answer at first.
test("a silent worker is asked again, but not for long", async (t) => {
  const { check, asked } = createCheck([SILENT, SILENT, CONFIRMED]);
  const late = await check.heartbeat("i-1", heartbeat());
  t.equal(late.kind, "accepted");
  t.equal(asked.length, 3);
  const other = createCheck(Array<IdentifyOutcome>(9).fill(SILENT));
  t.match(await other.check.heartbeat("i-1", heartbeat()), {
    kind: "refused",
    reason: "unconfirmed",
  });
});

// Guards against a process that ended and takes the place of its successor: the
// worker's answer about it arrives late.
test("an answer about a former process does not replace its successor", async (t) => {
  let answerLate = (_outcome: IdentifyOutcome) => {};
  const late = new Promise<IdentifyOutcome>((resolve) => answerLate = resolve);
  const { check } = createCheck([late, { kind: "confirmed", born: 2000 }]);
  const former = check.heartbeat("i-1", heartbeat());
  const successor = await check.heartbeat("i-2", heartbeat({ born: 2000 }));
  t.equal(successor.kind, "accepted");
  answerLate(CONFIRMED);
  t.match(await former, { kind: "refused", reason: "overtaken" });
  t.ok(check.deregistration("i-2"));
  t.notOk(check.deregistration("i-1"));
});
