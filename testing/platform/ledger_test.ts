import { test } from "tap";
import { createLedger } from "./soak/ledger.ts";
import type { SoakStep } from "./soak/ledger.ts";

const ID = "00000000000000c1";

function create(steps: Partial<SoakStep>[]) {
  let now = 0;
  let inTouch = true;
  let leased = true;
  let leasedSince = 0;
  const evacuated = new Set<string>();
  const ledger = createLedger({
    now: () => now,
    maxFaultDuration: 1000,
    failsRuns: () => false,
    isInTouch: () => inTouch,
    hasLease: (_worker, since) => leased && leasedSince <= since,
    isEvacuated: (worker) => evacuated.has(worker),
    onDeadlyStart: () => {},
  });
  const record = ledger.sent({
    id: ID,
    steps: steps.map((step) => ({
      count: 1,
      accelerators: 1,
      duration: 100,
      gang: false,
      after: [],
      ...step,
    })),
  });
  const run = (task: string, number = 1) => ({
    task: `${ID}.0.${task}`,
    run: number,
    startedAt: now,
  });
  const { observer } = ledger;
  return {
    ledger,
    record,
    start: (
      worker: string,
      task: string,
      number = 1,
      used = 1,
      capacity = 8,
    ) => observer.started({ worker, run: run(task, number), used, capacity }),
    crash: (worker: string, task: string, number: number, cause?: string) => {
      const lost = run(task, number);
      ledger.crashed([lost], cause);
      observer.ended({ worker, run: lost, ending: "lapsed" });
    },
    evacuate: (worker: string) => evacuated.add(worker),
    lapse: () => {
      leased = false;
    },
    renewLease: () => {
      leased = true;
      leasedSince = now;
    },
    cutOff: () => {
      inTouch = false;
    },
    end: (worker: string, task: string, number = 1) =>
      observer.ended({ worker, run: run(task, number), ending: "done" }),
    note: (task: string, number = 1) =>
      observer.acknowledged({ run: run(task, number), ending: "done" }),
    advance: (time: number) => {
      now += time;
    },
    rules: () => ledger.violations.map((text) => text.split(" ")[0]),
  };
}

// Guards against a soak that misses tasks that run twice, or that reports a
// repeated run although the first end was lost with its worker.
test("the ledger reports a task that runs twice", (t) => {
  const beside = create([{}]);
  beside.start("i-1", "0.0");
  beside.start("i-2", "0.0", 2);
  t.same(beside.rules(), ["TWICE"]);
  const cutOff = create([{}]);
  cutOff.start("i-1", "0.0");
  cutOff.cutOff();
  cutOff.start("i-2", "0.0", 2);
  t.same(cutOff.rules(), ["TWICE"], "a run that is cut off and works on");
  const after = create([{}]);
  after.start("i-1", "0.0");
  after.end("i-1", "0.0");
  after.start("i-2", "0.0", 2);
  t.same(after.rules(), [], "an unacknowledged end may be lost");
  after.note("0.0");
  t.same(after.rules(), ["TWICE"], "an end that is acknowledged later");
  const lapsed = create([{}]);
  lapsed.start("i-1", "0.0");
  lapsed.end("i-1", "0.0");
  lapsed.lapse();
  lapsed.start("i-2", "0.0", 2);
  lapsed.note("0.0");
  t.same(lapsed.rules(), [], "no end was known when the lease was over");
  lapsed.start("i-2", "0.0", 3);
  t.same(lapsed.rules(), ["TWICE", "TWICE"], "a start after it is known");
  const renewed = create([{}]);
  renewed.start("i-1", "0.0");
  renewed.end("i-1", "0.0");
  renewed.advance(100);
  renewed.lapse();
  renewed.renewLease();
  renewed.start("i-1", "0.0", 2);
  renewed.note("0.0");
  t.same(renewed.rules(), [], "the lease had lapsed before the start");
  const gang = create([{ count: 2, gang: true }]);
  gang.start("i-1", "0.0");
  gang.start("i-2", "0.1");
  gang.end("i-1", "0.0");
  gang.note("0.0");
  gang.end("i-2", "0.1");
  gang.start("i-2", "0.1", 2);
  t.same(gang.rules(), ["TWICE"], "one end stands for the gang");
  t.end();
});

// Guards against a soak that misses violations of the other guarantees.
test("the ledger reports other broken guarantees", (t) => {
  const order = create([{}, { after: [0] }]);
  order.start("i-1", "1.0");
  t.same(order.rules(), ["ORDER"]);
  const limit = create([{}]);
  limit.start("i-1", "0.0", 1, 9);
  t.same(limit.rules(), ["LIMIT"]);
  const refused = create([{}]);
  refused.ledger.answered(refused.record, 503);
  refused.start("i-1", "0.0");
  refused.ledger.finish();
  t.same(refused.rules(), ["REFUSED"]);
  const lost = create([{}]);
  lost.ledger.answered(lost.record, 200);
  lost.ledger.shown(ID, 410, "");
  lost.ledger.shown(ID, 200, "completed");
  lost.ledger.shown(ID, 200, "cancelled");
  lost.ledger.shown(ID, 200, "failed");
  t.same(lost.rules(), ["LOST", "MIXED", "LOST", "LOST"]);
  const cancelled = create([{}]);
  cancelled.record.cancelledAt = 0;
  cancelled.advance(4001);
  cancelled.start("i-1", "0.0");
  t.same(cancelled.rules(), ["UNASKED"]);
  t.end();
});

// Guards against a soak that misses a task that crashes worker after worker, or
// that reports starts which the rule permits.
test("the ledger reports a task that starts too often after crashes", (t) => {
  const task = `${ID}.0.0.0`;
  const crashOften = (times: number, cutOff = false) => {
    const scene = create([{}]);
    if (cutOff) scene.cutOff();
    for (let number = 1; number <= times; number++) {
      scene.start("i-1", "0.0", number);
      scene.crash("i-1", "0.0", number, task);
    }
    return scene.rules();
  };
  t.same(crashOften(5), []);
  t.same(crashOften(6), ["BUDGET"]);
  t.same(crashOften(6, true), [], "a machine that a fault affects");
  t.end();
});

// Guards against a soak that misses a job that is given up because of crashes
// that others caused.
test("the ledger reports a job that is given up for crashes of others", (t) => {
  const other = `${ID.replace("c1", "c2")}.0.0.0`;
  const failAfter = (...causes: (string | undefined)[]) => {
    const scene = create([{}]);
    causes.forEach((cause, index) => {
      scene.start("i-1", "0.0", index + 1);
      scene.crash("i-1", "0.0", index + 1, cause);
    });
    scene.ledger.shown(ID, 200, "failed");
    return scene.rules();
  };
  t.same(failAfter(other, other, other), ["LOST"]);
  t.same(failAfter(undefined), ["LOST"]);
  t.same(failAfter(undefined, undefined), []);
  t.end();
});

// Guards against a soak that misses starts beyond a capacity that has shrunk.
test("the ledger reports a start that a shrunk worker has no room for", (t) => {
  const shrunk = create([{}]);
  shrunk.start("i-1", "0.0", 1, 4, 3);
  t.same(shrunk.rules(), ["LIMIT"]);
  const late = create([{}]);
  late.cutOff();
  late.start("i-1", "0.0", 1, 4, 3);
  t.same(late.rules(), [], "a machine that a fault affects");
  t.end();
});

// Guards against a soak that misses starts in an evacuated failure domain.
test("the ledger reports a start on an evacuated worker", (t) => {
  const soak = create([{ count: 3 }]);
  soak.start("i-1", "0.0");
  soak.evacuate("i-1");
  soak.start("i-2", "0.1");
  t.same(soak.rules(), []);
  soak.start("i-1", "0.2");
  t.same(soak.rules(), ["EVACUATED"]);
  t.end();
});
