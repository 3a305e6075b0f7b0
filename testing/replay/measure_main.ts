/**
 * Replays all recorded traces with the real reducers and the baselines:
 * `npm run measure [-- --seed N] [--trace NAME]`.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { compare, OWN_SCHEDULER } from "./measure/compare.ts";
import type { Row } from "./measure/compare.ts";
import { plot } from "./measure/plot.ts";
import { formatTable, formatVerdicts } from "./measure/table.ts";
import { checkExpected, checkTargets } from "./measure/targets.ts";
import type { Verdict } from "./measure/targets.ts";
import { listTraces, readTrace } from "./trace/trace.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    trace: { type: "string", multiple: true },
  },
});
const seed = Number(values.seed);
const rows: Row[] = [];
const targets: Verdict[] = [];
const expectations: Verdict[] = [];
for (const name of values.trace ?? listTraces()) {
  const { trace, expected } = readTrace(name);
  const compared = compare({ trace, seed });
  rows.push(...compared);
  targets.push(...checkTargets(compared));
  const own = compared.find((row) => row.scheduler === OWN_SCHEDULER)!;
  expectations.push(...checkExpected(own, expected));
}

console.log(`seed ${seed}, virtual time`);
console.log(formatTable(rows));
console.log("\ntargets");
console.log(formatVerdicts(targets));
console.log("\nexpected outcomes that are not met");
const unmet = expectations.filter((each) => !each.passed);
console.log(unmet.length === 0 ? "none" : formatVerdicts(unmet));
const short = targets.filter((each) => !each.passed).length;
console.log(
  `\n${targets.length - short} targets pass, ${short} short; ` +
    `${expectations.length - unmet.length} of ${expectations.length} ` +
    "expected outcomes met",
);

const directory = new URL("../../../measurements/", import.meta.url);
mkdirSync(directory, { recursive: true });
const result = { seed, rows, targets, expectations };
writeFileSync(
  new URL("measure.json", directory),
  JSON.stringify(
    result,
    (_key, value) => value === Infinity ? "none" : value,
    2,
  ) +
    "\n",
);
writeFileSync(new URL("measure.svg", directory), plot(rows));
