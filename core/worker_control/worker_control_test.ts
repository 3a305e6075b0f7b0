import { test } from "tap";
import type { AgentOrders } from "@dragonflyledge/scheduler";
import { createWorkerControl, grantLength } from "./mod.ts";
import type { Announcement, ControlEffect, ControlEvent } from "./mod.ts";

const WORKER = "i-1@1000";

function announcement(fields: Partial<Announcement> = {}): Announcement {
  return {
    id: "i-1",
    born: 1000,
    service: "service",
    rack: "r1-1",
    labels: [],
    millicores: 32_000,
    megabytes: 128_000,
    accelerators: 8,
    draining: false,
    remaining: 0,
    clock: 50_000,
    sequence: 1,
    ...fields,
  };
}

function orders(fields: Partial<AgentOrders> = {}): AgentOrders {
  return {
    kind: "orders",
    epoch: 7,
    answersReport: 0,
    worker: WORKER,
    starts: [],
    stops: [],
    acknowledged: 0,
    ...fields,
  };
}

/** The worker answers a hold call with empty lists. */
function holdAnswer(now: number, sentAt: number): ControlEvent {
  return {
    kind: "held",
    now,
    worker: WORKER,
    sentAt,
    clock: 50_000 + now,
    born: 1000,
    running: [],
    ended: [],
  };
}

const START_ORDER = { task: "a.0.0.0", run: 1, spec: "text", checkpoint: "" };

/** Creates an agent that got a first heartbeat of its worker at time 0. */
function createWithWorker() {
  const control = createWorkerControl({
    times: { grant: 8000, longestLease: 10_000 },
  });
  const reduce = (event: ControlEvent) => control.reduce(event);
  reduce({ kind: "announced", now: 0, announcement: announcement() });
  return { control, reduce };
}

/** Creates an agent that has not heard from a worker. */
function createWithoutWorker() {
  const control = createWorkerControl({
    times: { grant: 8000, longestLease: 10_000 },
  });
  control.reduce({ kind: "tick", now: 0 });
  return control;
}

/**
 * The worker accepts the stop of the run, then answers a hold call with empty
 * lists. Returns the reports that follow.
 */
function stopAndList(
  reduce: (event: ControlEvent) => ControlEffect[],
  now: number,
) {
  reduce({
    kind: "stopAnswered",
    now,
    worker: WORKER,
    run: "a.0.0.0#1",
    stopped: true,
  });
  return reduce(holdAnswer(now + 20, now + 10))
    .flatMap((effect) => effect.kind === "report" ? [effect.report] : []);
}

function kinds(effects: ControlEffect[]): string[] {
  return effects.map((effect) => effect.kind);
}

// Guards against a finished task that runs again. A restarted agent must see
// which runs have ended on the worker before it carries out an order to start.
test("nothing is started before the worker's lists are known", (t) => {
  const { reduce } = createWithWorker();
  const ordered = reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  t.notOk(kinds(ordered).includes("start"));
  t.ok(kinds(ordered).includes("hold"));
  const listed = reduce(holdAnswer(20, 10));
  t.ok(kinds(listed).includes("start"));
  t.end();
});

// Guards against a finished task that runs again. If the run ends between the
// lists and the start call, the worker refuses the start, and a report of the
// refusal would hide the end.
test("a refused start is reported only after the next lists", (t) => {
  const { reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  reduce(holdAnswer(20, 10));
  const refused = reduce({
    kind: "startAnswered",
    now: 30,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "refused", reason: "old" },
  });
  t.notOk(
    refused.some((each) =>
      each.kind === "report" && each.report.refused.length > 0
    ),
  );
  reduce(holdAnswer(1020, 20));
  const late = reduce({
    ...holdAnswer(1030, 1020),
    ended: [{
      number: 1,
      task: "a.0.0.0",
      run: 1,
      ending: "done",
      checkpoint: "",
    }],
  } as ControlEvent);
  const report = late.find((effect) => effect.kind === "report");
  t.match(report, { report: { refused: [], ended: [{ ending: "done" }] } });
  t.end();
});

// Guards against a lease that outlives the grant because the worker's clock is
// slow.
test("a lease ends before the grant, and is not extended after it", (t) => {
  const { reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  const first = reduce(holdAnswer(1000, 10));
  const hold = first.find((effect) => effect.kind === "hold");
  t.ok(hold?.kind === "hold" && hold.until !== undefined);
  if (hold?.kind === "hold") {
    const length = hold.until! - 51_000;
    t.ok(length / 0.98 <= 8005 - 1000, `${length} ms`);
  }
  const after = reduce(holdAnswer(9000, 1000));
  const late = after.find((effect) => effect.kind === "hold");
  t.match(late, { until: undefined });
  t.end();
});

// Guards against carrying out orders of a leader that was replaced.
test("orders of a lower epoch change nothing", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ epoch: 9 }) });
  reduce({
    kind: "orders",
    now: 5000,
    orders: orders({ epoch: 8, answersReport: 4000, starts: [START_ORDER] }),
  });
  t.equal(control.state.grantEnd, 8000);
  t.equal(control.state.runs.size, 0);
  t.end();
});

// Guards against a start call that the worker carries out late, after the task
// was moved to another worker.
test("a start with an unanswered call is refused only after a stop", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ starts: [START_ORDER] }),
  });
  reduce(holdAnswer(20, 10));
  const answer = (now: number, outcome: "unknown" | "refused") =>
    reduce({
      kind: "startAnswered",
      now,
      worker: WORKER,
      run: "a.0.0.0#1",
      outcome: outcome === "unknown"
        ? { kind: "unknown" }
        : { kind: "refused", reason: "room" },
    });
  answer(720, "unknown");
  const effects = answer(730, "refused");
  t.ok(kinds(effects).includes("stop"));
  reduce({
    kind: "stopAnswered",
    now: 740,
    worker: WORKER,
    run: "a.0.0.0#1",
    stopped: true,
  });
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "stopped");
  reduce(holdAnswer(760, 20));
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "stopped");
  reduce(holdAnswer(780, 760));
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "absent");
  t.end();
});

// Guards against new work on a draining worker, and against a task that runs
// elsewhere although an earlier process of this agent has started it here.
test("a draining worker gets a stop instead of a start", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({
    kind: "announced",
    now: 5,
    announcement: announcement({ draining: true, sequence: 2 }),
  });
  reduce(holdAnswer(10, 5));
  const ordered = reduce({
    kind: "orders",
    now: 20,
    orders: orders({ starts: [START_ORDER] }),
  });
  t.notOk(kinds(ordered).includes("start"));
  t.ok(kinds(ordered).includes("stop"));
  const reports = stopAndList(reduce, 30);
  t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "refused");
  t.match(reports.at(-1), { refused: [{ run: 1, reason: "draining" }] });
  t.end();
});

// Guards against a task that runs twice: the start was refused, but a call of
// an earlier process of this agent is still under way and may be carried out.
test("a refusal soon after the agent's start is proven with a stop", (t) => {
  for (const [age, stops] of [[100, true], [12_100, false]] as const) {
    const { control, reduce } = createWithWorker();
    const order = orders({ starts: [START_ORDER], answersReport: age - 50 });
    reduce({ kind: "orders", now: age, orders: order });
    reduce(holdAnswer(age + 10, age));
    const refused = reduce({
      kind: "startAnswered",
      now: age + 20,
      worker: WORKER,
      run: "a.0.0.0#1",
      outcome: { kind: "refused", reason: "room" },
    });
    t.equal(kinds(refused).includes("stop"), stops, `after ${age} ms`);
    if (!stops) continue;
    stopAndList(reduce, age + 30);
    t.equal(control.state.runs.get("a.0.0.0#1")?.phase, "refused");
  }
  t.end();
});

// Guards against a second run of a task that still runs on a worker which is
// only cut off from its agent.
test("an unreachable worker counts as empty only after its lease", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders() });
  reduce(holdAnswer(20, 10));
  reduce({ kind: "orders", now: 30, orders: orders({ answersReport: 25 }) });
  const fail = (now: number) =>
    reduce({ kind: "holdFailed", now, worker: WORKER, reason: "silent" });
  fail(1700);
  fail(3400);
  t.equal(control.state.worker?.state.reachable, false);
  reduce({ kind: "tick", now: 8000 });
  t.same(control.state.emptied, []);
  reduce({ kind: "tick", now: 11_000 });
  t.same(control.state.emptied, [WORKER]);
  t.end();
});

// Guards against work that never starts again after its machine lost power: the
// agent is back, and its worker never comes back.
test("an agent without a worker reports when none can hold a lease", (t) => {
  const { reduce } = createWithoutWorker();
  const vacantAt = (now: number) => {
    const [effect] = reduce({ kind: "linked", now });
    return effect?.kind === "report" && effect.report.vacant;
  };
  t.equal(vacantAt(100), false, "an earlier process may have given a lease");
  t.equal(vacantAt(7900), false);
  t.equal(vacantAt(8200), true, "its grant has ended");
  const announced: ControlEvent = {
    kind: "announced",
    now: 8300,
    announcement: announcement(),
  };
  const reports = reduce(announced).flatMap((effect) =>
    effect.kind === "report" ? [effect.report.vacant] : []
  );
  t.same(reports, [false]);
  t.end();
});

const starts = (effects: ControlEffect[]) =>
  effects.filter((effect) => effect.kind === "start");
const lastUntil = (effects: ControlEffect[]) => {
  const [hold] = effects.filter((effect) => effect.kind === "hold");
  return hold?.until;
};

// Guards against tasks that run twice: an agent whose machine was suspended
// used up the rest of a grant that had ended, while the leader had started the
// tasks elsewhere.
test("a suspension shortens the grant", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  t.equal(control.state.grantEnd, 8005);
  reduce({ kind: "tick", now: 30, suspended: 7000 });
  t.equal(control.state.grantEnd, 1005);
  const effects = reduce({ kind: "tick", now: 40, suspended: 9500 });
  t.ok(control.state.grantEnd < 0);
  t.equal(lastUntil(effects), undefined, "no lease is extended");
  t.end();
});

// Guards against orders that were under way during a suspension and renew the
// grant as if no time had passed.
test("orders that answer a report from before a suspension grant less", (t) => {
  const { control, reduce } = createWithWorker();
  reduce({ kind: "orders", now: 10, orders: orders({ answersReport: 5 }) });
  reduce(holdAnswer(20, 10));
  const effects = reduce({
    kind: "orders",
    now: 30,
    suspended: 9500,
    orders: orders({ answersReport: 25, starts: [START_ORDER] }),
  });
  t.same(starts(effects), []);
  t.ok(control.state.grantEnd < 30);
  const [report] = reduce({ kind: "linked", now: 40 })
    .flatMap((effect) => effect.kind === "report" ? [effect.report] : []);
  reduce({
    kind: "orders",
    now: 50,
    orders: orders({ answersReport: report!.sentAt }),
  });
  t.equal(control.state.grantEnd, 8040, "a later report is granted in full");
  t.end();
});

// Guards against a start that is carried out after the leader gave the task to
// another worker.
test("a start that the leader no longer orders is withdrawn", (t) => {
  const { reduce } = createWithWorker();
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  t.same(starts(reduce(holdAnswer(20, 16))), [], "it was never sent");
  t.end();
});

// Guards against a withdrawn start that the worker carries out late.
test("a withdrawn start that may be carried out late is stopped", (t) => {
  const { reduce } = createWithWorker();
  reduce(holdAnswer(8, 5));
  const sent = reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  t.equal(starts(sent).length, 1);
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  const effects = reduce({
    kind: "startAnswered",
    now: 20,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "unknown" },
  });
  t.match(effects.filter((effect) => effect.kind === "stop"), [{
    run: { task: "a.0.0.0", run: 1 },
  }]);
  t.end();
});

// Guards against running work that is stopped after a restart of all processes:
// a new leader orders the start of a run until it hears that it is running.
test("a start that is no longer ordered since the run is listed goes on", (t) => {
  const { control, reduce } = createWithWorker();
  const running = [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 40 }];
  reduce({ ...holdAnswer(8, 5), running } as ControlEvent);
  reduce({
    kind: "orders",
    now: 10,
    orders: orders({ answersReport: 5, starts: [START_ORDER] }),
  });
  reduce({ kind: "orders", now: 15, orders: orders({ answersReport: 12 }) });
  const effects = reduce({
    kind: "startAnswered",
    now: 20,
    worker: WORKER,
    run: "a.0.0.0#1",
    outcome: { kind: "started", clock: 50_020 },
  });
  t.same(effects.filter((effect) => effect.kind === "stop"), []);
  t.notOk([...control.state.runs.values()].some((run) => run.stopRequested));
  t.end();
});

// Guards against running work that is lost with its leases in an absence of the
// store of 4.5 s, in which no leader answers reports.
test("leases of at most 6 s outlast an absence of the store of 4.5 s", (t) => {
  const control = createWorkerControl({
    times: { grant: grantLength(6000), longestLease: 6000 },
  });
  control.reduce({ kind: "announced", now: 0, announcement: announcement() });
  // The last report that was answered is as old as the interval of reports.
  control.reduce({
    kind: "orders",
    now: 800,
    orders: orders({ answersReport: 0 }),
  });
  const backAt = 800 + 4500;
  let until = 0;
  for (let now = 800; now < backAt; now += 200) {
    const effects = control.reduce({ ...holdAnswer(now, now - 10) });
    until = Math.max(until, lastUntil(effects) ?? 0);
  }
  const left = until - (50_000 + backAt);
  t.ok(left >= 500, `${left} ms are left for the election of a leader`);
  t.end();
});
