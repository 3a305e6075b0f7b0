/**
 * Long random event sequences against the real reducers:
 * `npm run soak -- --seed N --events N [--runs N] [--faults a,b]`.
 *
 * @module
 */

import process from "node:process";
import { parseArgs } from "node:util";
import { formatResult } from "./soak/format_result.ts";
import { runSoak } from "./soak/soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    events: { type: "string", default: "5000" },
    runs: { type: "string", default: "1" },
    faults: { type: "string" },
  },
});
const first = Number(values.seed);
let failed = 0;
const counts: Record<string, number> = {};
for (let seed = first; seed < first + Number(values.runs); seed++) {
  const events = Number(values.events);
  const result = runSoak({ seed, events, faults: values.faults?.split(",") });
  console.log(formatResult(result));
  if (result.violations.length > 0) failed++;
  for (const { invariant } of result.violations) {
    counts[invariant] = (counts[invariant] ?? 0) + 1;
  }
}
console.log(
  `${failed} of ${values.runs} runs with violations ${JSON.stringify(counts)}`,
);
process.exitCode = failed === 0 ? 0 : 1;
