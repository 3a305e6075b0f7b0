import { test } from "tap";
import { deploymentOf } from "./deployment.ts";
import { measure, outcomeOf } from "./measure/measures.ts";
import { replayTrace } from "./replay.ts";
import { readTrace } from "./trace/trace.ts";
import type { Trace } from "./trace/trace.ts";

const seed = 1;

function shortened(name: string, duration: number): Trace {
  const { trace } = readTrace(name);
  const early = (each: { at: number }) => each.at < duration;
  return {
    ...trace,
    duration,
    requests: trace.requests.filter(early),
    jobs: trace.jobs.filter(early),
    steps: trace.steps.filter(early),
  };
}

// Guards against time or randomness that is not passed in.
test("the same trace and seed give the same record", (t) => {
  t.comment(`seed ${seed}`);
  const trace = shortened("nyabugogo_surge", 30_000);
  const first = replayTrace({ trace, seed });
  const second = replayTrace({ trace, seed });
  t.same([...first.requests.values()], [...second.requests.values()]);
  t.same([...first.jobs.values()], [...second.jobs.values()]);
  t.end();
});

// Guards against a harness that connects nothing: all work ends well.
test("a quiet day ends with every request and job done", (t) => {
  t.comment(`seed ${seed}`);
  for (const name of ["nyabugogo_steady", "sahil_steady"]) {
    const trace = shortened(name, 25_000);
    const record = replayTrace({ trace, seed });
    const slots = deploymentOf(trace.deployment).inventories.length * 8;
    const figures = measure({ trace, record, slots });
    t.same(record.faults, []);
    t.same(figures.outcomes, { done: trace.requests.length });
    t.same(figures.jobStates, { succeeded: trace.jobs.length });
    t.equal(figures.placeable, 1);
    t.ok(figures.ownerStart < 4100);
  }
  t.end();
});

// Guards against a leaving endpoint that loses or refuses work.
test("a leaving endpoint interrupts no request", (t) => {
  t.comment(`seed ${seed}`);
  const trace = shortened("sahil_leaving", 30_000);
  const record = replayTrace({ trace, seed });
  const kinds = new Set([...record.requests.values()].map(outcomeOf));
  t.same([...kinds], ["done"]);
  const late = [...record.requests.values()]
    .flatMap((each) => each.executions)
    .filter((each) => each.worker === "w02" && each.start > 3000 + 18_000);
  t.same(late, [], "no work 3 s after the announcement");
  t.end();
});
