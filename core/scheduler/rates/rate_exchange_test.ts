import { test } from "tap";
import { decodeOrders } from "../decode.ts";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import type { KnownRate } from "../messages.ts";
import { createScheduler } from "../reducer.ts";
import type { SchedulerEffect } from "../effects.ts";

const AGENTS = 9;
const RATES = [0.6, 1, 1.6];

/** A new leader, and agents that return what they were told. */
function createLeader(returned: Map<string, KnownRate>) {
  const scheduler = createScheduler({
    times: {
      agentLoss: 8300,
      unlistedLoss: 8300,
      agentRetention: 60_000,
      retention: 1000,
      planningInterval: 0,
    },
  });
  let now = 0;

  function report(index: number): SchedulerEffect[] {
    now += 1;
    const agent = `agent-${index}`;
    const rate = returned.get(agent);
    const effects = scheduler.reduce({
      kind: "report",
      now,
      date: now,
      agent,
      report: {
        kind: "report",
        sentAt: now,
        vacant: false,
        worker: {
          key: `worker-${index}@1`,
          born: 1,
          service: "service",
          rack: "rack",
          labels: [],
          millicores: 1000,
          megabytes: 1000,
          accelerators: 8,
          draining: false,
          remaining: 0,
          reachable: true,
        },
        listed: true,
        running: [],
        ended: [],
        refused: [],
        absent: [],
        emptied: [],
        ...(rate && { rate }),
      },
    });
    for (const effect of effects) {
      if (effect.kind !== "orders" || !effect.orders.rate) continue;
      returned.set(effect.agent, effect.orders.rate);
    }
    return effects;
  }

  return {
    rates: scheduler.state.rateEstimator,
    report,
    reportAll: () => {
      for (let index = 0; index < AGENTS; index++) report(index);
    },
    tick: () => {
      now += 250;
      scheduler.reduce({ kind: "tick", now, date: now });
    },
  };
}

/** Rates of which an earlier leader was certain. */
function knownRates(): Map<string, KnownRate> {
  return new Map(
    Array.from({ length: AGENTS }, (_, index) => [
      `agent-${index}`,
      { mean: Math.log(RATES[index % RATES.length]!), variance: 0.005 },
    ]),
  );
}

// Guards against urgent gangs on slow workers after each change of leader.
test("a new leader takes the rates over from the agents", (t) => {
  const leader = createLeader(knownRates());
  leader.reportAll();
  leader.tick();
  t.ok(leader.rates.differ());
  for (const [index, expected] of RATES.entries()) {
    const { rate, low, high } = leader.rates.rateOf(`agent-${index}`);
    t.ok(Math.abs(rate - expected) < 0.05, `${rate} for ${expected}`);
    t.ok(low > 0.8 * expected && high < 1.25 * expected);
  }
  t.end();
});

// Guards against a rate that becomes more certain with each report that only
// returns it, and against messages that carry it without need.
test("what an agent returns is no new evidence", (t) => {
  const returned = knownRates();
  const leader = createLeader(returned);
  leader.reportAll();
  leader.tick();
  const before = leader.rates.beliefOf("agent-0")!;
  for (let count = 0; count < 20; count++) {
    const orders = leader.report(0).find((each) => each.kind === "orders");
    t.notOk(orders?.kind === "orders" && orders.orders.rate);
  }
  t.same(leader.rates.beliefOf("agent-0"), before);
  t.end();
});

// Guards against rates that are lost with an agent's process while the leader
// goes on.
test("an agent that starts anew is told the rate again", (t) => {
  const returned = knownRates();
  const leader = createLeader(returned);
  leader.reportAll();
  leader.tick();
  returned.delete("agent-0");
  leader.report(0);
  const told = returned.get("agent-0")!;
  t.ok(Math.abs(told.mean - Math.log(0.6)) < 0.05);
  t.end();
});

// Guards against a leader that believes in rates no worker can have.
test("an implausible rate is not taken over", (t) => {
  const odd = [
    { mean: 800, variance: 0.01 },
    { mean: -1e300, variance: 0 },
    { mean: 0, variance: 1e9 },
  ];
  const returned = new Map(odd.map((rate, index) => [`agent-${index}`, rate]));
  const leader = createLeader(returned);
  leader.reportAll();
  leader.tick();
  for (let index = 0; index < odd.length; index++) {
    t.equal(leader.rates.beliefOf(`agent-${index}`), undefined);
  }
  t.notOk(leader.rates.differ());
  t.end();
});

// Guards against one odd percentage that turns the rates of all workers into no
// numbers, with which agents refuse their orders.
test("percentages out of bounds change no other rate", (t) => {
  const fleet = createFleet({ workers: 3 });
  const steps = [step({ count: 24, estimate: 20_000 })];
  fleet.submit(request({ id: "job", steps }));
  fleet.runStarts();
  const odd = [5, -1e308];
  for (let percent = 4; percent < 40; percent += 4) {
    for (const worker of [0, 1, 2]) {
      for (const running of fleet.running(worker)) running.percent = percent;
    }
    fleet.running(0)[0]!.percent = odd[percent / 4 % odd.length]!;
    fleet.advance(800);
  }
  for (const worker of [0, 1, 2]) {
    const orders = { kind: "orders", epoch: 1, ...fleet.orders(worker) };
    t.ok(decodeOrders(orders), `the agent ${worker} takes its orders`);
    const { mean } = fleet.scheduler.state.rateEstimator
      .beliefOf(`agent-${worker}`)!;
    t.ok(Math.abs(mean) < 0.1, `${mean}`);
  }
  t.end();
});
