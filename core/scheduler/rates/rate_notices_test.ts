import { test } from "tap";
import { createScheduler } from "../reducer.ts";
import { AgentLoss } from "../state.ts";
import type { SchedulerEffect } from "../effects.ts";
import type { SchedulerState } from "../state.ts";
import { createRateNotices, noteRates } from "./rate_notices.ts";
import type { Belief } from "./unknowns.ts";

/** A leader's state whose estimates the test sets. */
function createState(beliefs: Map<string, Belief>) {
  const { state } = createScheduler({
    times: {
      agentLoss: 8300,
      unlistedLoss: 8300,
      agentRetention: 60_000,
      retention: 1000,
      planningInterval: 0,
    },
  });
  const known = { differ: true, slowed: new Set<string>() };
  state.rateEstimator = {
    ...state.rateEstimator,
    differ: () => known.differ,
    beliefOf: (agent) => beliefs.get(agent),
    isSlowed: (agent) => known.slowed.has(agent),
  };
  state.rateNotices = createRateNotices();
  for (const name of beliefs.keys()) {
    const agent = {
      name,
      lastHeard: 0,
      leaseEnd: 0,
      connected: true,
      loss: AgentLoss.None,
    };
    state.agents.set(name, { ...agent, outages: [] });
  }
  return { state, known };
}

/** Texts and agents of the lines that were logged at this time. */
function linesAt(state: SchedulerState, now: number) {
  state.effects = [];
  noteRates(state, now);
  return state.effects
    .filter((effect): effect is Extract<SchedulerEffect, { kind: "log" }> =>
      effect.kind === "log"
    )
    .map(({ text, fields }) => [text, fields.agent ?? ""]);
}

// Guards against operators who can't tell why a job was placed where it is, and
// against a log that is full of small changes.
test("rates are logged when they become known and when they change", (t) => {
  const beliefs = new Map<string, Belief>([
    ["a", { mean: -0.5, variance: 0.01 }],
    ["b", { mean: 0, variance: 0.1 }],
  ]);
  const { state, known } = createState(beliefs);
  t.same(linesAt(state, 0), [
    ["Worker rate known.", "a"],
    ["Rates of workers differ.", ""],
  ]);
  t.same(state.rateNotices.counts, { known: 1, slow: 1, slowed: 0 });
  beliefs.set("a", { mean: -0.4, variance: 0.01 });
  t.same(linesAt(state, 1000), [], "a small change");
  beliefs.set("a", { mean: -0.2, variance: 0.01 });
  t.same(linesAt(state, 2000), [["Worker rate changed.", "a"]]);
  known.slowed.add("b");
  t.same(linesAt(state, 3000), [["Worker is slow for a time.", "b"]]);
  t.same(state.rateNotices.counts, { known: 1, slow: 0, slowed: 1 });
  known.slowed.clear();
  known.differ = false;
  beliefs.set("a", { mean: 1, variance: 0.01 });
  t.same(linesAt(state, 4000), [
    ["Worker is no longer slow for a time.", "b"],
    ["Rates of workers no longer differ.", ""],
  ]);
  t.end();
});
