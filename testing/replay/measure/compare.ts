/**
 * Compares the real reducers with every baseline on one trace.
 *
 * @module
 */

import { createPolicies, replayBaseline } from "../baselines/mod.ts";
import { deploymentOf } from "../deployment.ts";
import type { RunRecord } from "../record.ts";
import { replayTrace } from "../replay.ts";
import type { Trace } from "../trace/trace.ts";
import { LONG_RUN_TIME, measure } from "./measures.ts";
import type { Figures } from "./measures.ts";

/** Name of the real reducers among the schedulers. */
export const OWN_SCHEDULER = "this";

/** Figures of one scheduler on one trace. */
export interface Row {
  trace: string;
  scheduler: string;
  figures: Figures;
  /** Ratio of the waits of short work with and without long work. */
  blocking: { p50: number; p99: number };
}

/** Runs a trace with and without its long work, for every scheduler. */
export function compare(fields: { trace: Trace; seed: number }): Row[] {
  const { trace, seed } = fields;
  const own = createRow({
    trace,
    scheduler: OWN_SCHEDULER,
    run: (each) => replayTrace({ trace: each, seed }),
  });
  const baselines = createPolicies().map(({ name }, index) =>
    createRow({
      trace,
      scheduler: name,
      run: (each) =>
        replayBaseline({ trace: each, policy: createPolicies()[index]! }),
    })
  );
  return [own, ...baselines];
}

function createRow(fields: {
  trace: Trace;
  scheduler: string;
  run: (trace: Trace) => RunRecord;
}): Row {
  const { trace, scheduler, run } = fields;
  const slots = deploymentOf(trace.deployment).inventories
    .reduce((sum, each) => sum + each.slots, 0);
  const figures = measure({ trace, record: run(trace), slots });
  const short = withoutLongWork(trace);
  const alone = measure({ trace: short, record: run(short), slots });
  const ratio = (key: "p50" | "p99") =>
    figures.shortWait[key] / Math.max(0.01, alone.shortWait[key]);
  const blocking = { p50: ratio("p50"), p99: ratio("p99") };
  return { trace: trace.name, scheduler, figures, blocking };
}

/** The trace without its long requests and without cancellations. */
export function withoutLongWork(trace: Trace): Trace {
  return {
    ...trace,
    requests: trace.requests.filter((each) => each.runTime < LONG_RUN_TIME),
    steps: trace.steps.filter((each) => each.kind !== "cancelRequest"),
  };
}
