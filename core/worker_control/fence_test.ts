import { test } from "tap";
import { FENCES_PER_EPOCH } from "@dragonflyledge/scheduler";
import type { ControlEffect, ControlEvent } from "./mod.ts";
import {
  announcement,
  createWithWorker,
  holdAnswer,
  orders,
  PROCESS,
  START_ORDER,
  WORKER,
} from "./setup_for_tests.ts";

const EPOCH = 7;
const NEXT = "i-1@2000";
const NAME = { task: START_ORDER.task, run: START_ORDER.run };
/** Time after which no call is carried out any more. */
const CALL_DELAY_LIMIT = 12_000;
/** Longest lease of 10 s by the slowest clock. */
const LONGEST_LEASE_TIME = 10_000 / 0.98;

const fenceOf = (worker: string, number: number) => ({
  holder: `${PROCESS} ${worker}`,
  number,
});
const tokenOf = (number: number) => EPOCH * FENCES_PER_EPOCH + number;

const callsOf = (effects: ControlEffect[]) =>
  effects.filter(({ kind }) =>
    kind === "hold" || kind === "start" || kind === "stop"
  );
const reportsOf = (effects: ControlEffect[]) =>
  effects.flatMap((effect) => effect.kind === "report" ? [effect.report] : []);

const nextHeartbeat = (now: number): ControlEvent => ({
  kind: "announced",
  now,
  announcement: announcement({ born: 2000, clock: 100 }),
});

/** Creates an agent whose worker has listed its runs to the first holder. */
function createFenced() {
  const { reduce } = createWithWorker();
  const fence = fenceOf(WORKER, 1);
  const first = orders({ answersReport: 5, fence });
  const effects = reduce({ kind: "orders", now: 10, orders: first });
  reduce(holdAnswer(20, 10));
  return { reduce, effects };
}

// Guards against a lease of the next incarnation that a call for the former one
// makes longer than the agent and the leader know.
test("a returned worker is called once its calls have a higher number", (t) => {
  const { reduce, effects } = createFenced();
  t.match(callsOf(effects), [{ kind: "hold", token: tokenOf(1) }]);
  const returned = reduce(nextHeartbeat(50));
  t.match(reportsOf(returned), [{ holder: `${PROCESS} ${NEXT}` }]);
  t.same(callsOf(returned), [], "the number is that of the former one");
  const former = orders({ answersReport: 40, fence: fenceOf(WORKER, 1) });
  t.same(callsOf(reduce({ kind: "orders", now: 60, orders: former })), []);
  const numbered = orders({ answersReport: 50, fence: fenceOf(NEXT, 2) });
  const calls = callsOf(reduce({ kind: "orders", now: 70, orders: numbered }));
  t.match(calls, [{ kind: "hold", worker: NEXT, token: tokenOf(2) }]);
  t.end();
});

// Guards against a leader that starts a run elsewhere while the lease still
// holds that the worker may have taken for a call to its former incarnation.
test("a report tells the lease that a returned worker may have", (t) => {
  const { reduce } = createFenced();
  reduce(nextHeartbeat(50));
  const numbered = orders({ answersReport: 50, fence: fenceOf(NEXT, 2) });
  reduce({ kind: "orders", now: 70, orders: numbered });
  const answer = { ...holdAnswer(1070, 70), worker: NEXT, born: 2000 };
  const [report] = reportsOf(reduce(answer as ControlEvent));
  t.match(report, { listed: true, worker: { key: NEXT } });
  t.equal(report!.leaseLeft, LONGEST_LEASE_TIME);
  t.end();
});

// Guards against calls that the worker refuses for good, since a former link
// delivers a lower number after a higher one.
test("a number that is delivered late does not lower the token", (t) => {
  const { reduce } = createFenced();
  reduce(nextHeartbeat(50));
  const numbered = orders({ answersReport: 50, fence: fenceOf(NEXT, 2) });
  reduce({ kind: "orders", now: 70, orders: numbered });
  const late = orders({ answersReport: 40, fence: fenceOf(WORKER, 1) });
  reduce({ kind: "orders", now: 80, orders: late });
  const failed = {
    kind: "holdFailed",
    worker: NEXT,
    reason: "no answer",
    refused: false,
    connectionLost: false,
  } as const;
  reduce({ ...failed, now: 90 });
  const calls = callsOf(reduce({ kind: "tick", now: 1000 }));
  t.match(calls, [{ kind: "hold", token: tokenOf(2) }]);
  t.end();
});

// Guards against an agent whose calls wait for ever, since a new leader numbers
// anew and begins below what the former one has given.
test("a new leader's lower number replaces that of the former one", (t) => {
  const { reduce } = createFenced();
  reduce(nextHeartbeat(50));
  const numbered = orders({ answersReport: 50, fence: fenceOf(NEXT, 2) });
  reduce({ kind: "orders", now: 70, orders: numbered });
  reduce({ ...holdAnswer(80, 70), worker: NEXT, born: 2000 } as ControlEvent);
  const anew = orders({
    epoch: EPOCH + 1,
    answersReport: 90,
    fence: fenceOf(NEXT, 1),
  });
  reduce({ kind: "orders", now: 100, orders: anew });
  const answer = { ...holdAnswer(110, 80), worker: NEXT, born: 2000 };
  const calls = callsOf(reduce(answer as ControlEvent));
  t.match(calls, [{ token: (EPOCH + 1) * FENCES_PER_EPOCH + 1 }]);
  t.end();
});

// Guards against a leader that counts a start for the former incarnation as
// ended while the next one, which no call has reached, may still carry it out.
test("a report tells the lease that a late start may bring", (t) => {
  const { reduce } = createFenced();
  const start = orders({
    answersReport: 25,
    fence: fenceOf(WORKER, 1),
    starts: [START_ORDER],
  });
  reduce({ kind: "orders", now: 30, orders: start });
  const [report] = reportsOf(reduce(nextHeartbeat(50)));
  t.equal(report!.leaseLeft, 30 + CALL_DELAY_LIMIT + LONGEST_LEASE_TIME - 50);
  t.end();
});

// Guards against the same with the start of a former process of the agent.
test("a report tells the lease of a worker that no call has reached", (t) => {
  const { reduce } = createFenced();
  const [report] = reportsOf(reduce(nextHeartbeat(50)));
  t.equal(report!.leaseLeft, LONGEST_LEASE_TIME);
  t.end();
});

// Guards against a leader that waits for the lease of a worker that has ended.
test("a report tells no lease of a worker that has ended", (t) => {
  const { reduce } = createFenced();
  reduce({ kind: "left", now: 50, id: "i-1" });
  const [report] = reportsOf(reduce({
    kind: "holdFailed",
    now: 100,
    worker: WORKER,
    reason: "connection refused",
    refused: true,
    connectionLost: false,
  }));
  t.match(report, { emptied: [WORKER], leaseLeft: 0 });
  t.end();
});

// Guards against a run that starts elsewhere while its worker still holds a lease
// that was extended long after its first lists.
test("a report tells how far the lease was extended", (t) => {
  const { reduce } = createFenced();
  const fence = fenceOf(WORKER, 1);
  const later = orders({ answersReport: 15_000, fence });
  reduce({ kind: "orders", now: 15_000, orders: later });
  const [hold] = callsOf(reduce(holdAnswer(15_010, 20)));
  t.ok(hold?.kind === "hold" && hold.until);
  const [report] = reportsOf(reduce({ kind: "tick", now: 16_000 }));
  t.equal(report!.leaseLeft, 7000, "the grant of 8 s began at 15 s");
  t.end();
});

// Guards against a flood of calls to a returned worker without a leader.
test("a start for a former incarnation is stopped by one call at a time", (t) => {
  const { reduce } = createFenced();
  const start = orders({
    answersReport: 25,
    fence: fenceOf(WORKER, 1),
    starts: [START_ORDER],
  });
  reduce({ kind: "orders", now: 30, orders: start });
  t.equal(callsOf(reduce(nextHeartbeat(50))).length, 1);
  t.same(callsOf(reduce({ kind: "tick", now: 60 })), []);
  t.end();
});

// Guards against a run that nobody stops: the agent is cut off from all leaders
// when its worker returns and carries out a start for its former incarnation.
test("a start for a former incarnation is stopped without a leader", (t) => {
  const { reduce } = createFenced();
  const start = orders({
    answersReport: 25,
    fence: fenceOf(WORKER, 1),
    starts: [START_ORDER],
  });
  reduce({ kind: "orders", now: 30, orders: start });
  const calls = callsOf(reduce(nextHeartbeat(50)));
  t.match(calls, [{ kind: "stop", worker: NEXT, run: NAME }]);
  t.end();
});

// Guards against a lease end on the former clock that a returned worker gets
// before the agent knows of it.
test("a call after a failed one does not extend the lease", (t) => {
  const { reduce } = createFenced();
  reduce({
    kind: "holdFailed",
    now: 1000,
    worker: WORKER,
    reason: "connection reset",
    refused: false,
    connectionLost: true,
  });
  const [hold] = callsOf(reduce({ kind: "tick", now: 1200 }));
  t.equal(hold?.kind, "hold");
  t.equal(hold?.kind === "hold" && hold.until, undefined);
  t.end();
});

// Guards against a restarted agent that waits for ever for a number which a
// leader of an older build does not give.
test("the epoch alone numbers the calls under a leader of an older build", (t) => {
  const { reduce } = createWithWorker();
  const calls = callsOf(reduce({ kind: "orders", now: 10, orders: orders() }));
  t.match(calls, [{ kind: "hold", token: tokenOf(0) }]);
  t.end();
});
