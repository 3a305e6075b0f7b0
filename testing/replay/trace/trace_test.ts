import { statSync } from "node:fs";
import { test } from "tap";
import { deployments } from "../deployment.ts";
import { generateTrace } from "./generate.ts";
import { scenarios } from "./scenarios.ts";
import { formatTrace, listTraces, parseTrace, readTrace } from "./trace.ts";

/** Largest size of a recorded trace, in bytes. */
const SIZE_LIMIT = 200_000;

// Guards against fields that are lost or changed in the file of a trace.
test("a trace is the same after it was written and read", (t) => {
  const deployment = deployments["sahil"]!;
  for (const scenario of scenarios) {
    const trace = generateTrace({ scenario, deployment, seed: 7 });
    t.same(parseTrace(formatTrace(trace)), trace, scenario.name);
  }
  t.end();
});

// Guards against a scenario without a recorded trace or without expected
// outcomes, and against files above the size limit.
test("every scenario is recorded for both deployments", (t) => {
  const names = Object.keys(deployments)
    .flatMap((name) => scenarios.map((each) => `${name}_${each.name}`));
  t.same(listTraces(), names.sort());
  for (const name of names) {
    const { trace, expected } = readTrace(name);
    t.equal(trace.name, name);
    t.ok(trace.requests.length > 0);
    t.ok(Object.keys(expected.atMost).length > 0, `${name} has outcomes`);
    const file = new URL(`../../traces/${name}.ndjson`, import.meta.url);
    t.ok(statSync(file).size <= SIZE_LIMIT, `${name} is small`);
  }
  t.end();
});

// Guards against a surge scenario whose demand rises too little or too
// slowly.
test("the demand of a surge rises tenfold within seconds", (t) => {
  for (const name of Object.keys(deployments)) {
    const { trace } = readTrace(`${name}_surge`);
    const urgent = new Set(
      deployments[name]!.configuration.classes
        .filter((each) => each.urgent).map((each) => each.name),
    );
    const count = (from: number, to: number) =>
      trace.requests.filter((each) =>
        urgent.has(each.class) && each.at >= from && each.at < to
      ).length;
    const [start] = trace.peak;
    const before = count(start - 10_000, start);
    t.ok(count(start + 3000, start + 13_000) > 8 * before, name);
  }
  t.end();
});
