/**
 * Measures how costs grow with size: `npm run slopes [-- --seed N]`.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import {
  measureAgentTimes,
  measureBytes,
  measureEntryTimes,
  measureMemory,
} from "./slopes/slopes.ts";
import {
  measureIdle,
  measureJobs,
  measurePlacement,
  measureRecords,
  measureStoredValues,
} from "./slopes/capacity.ts";
import { measureSessions } from "./slopes/sessions.ts";
import type { Slope } from "./slopes/slope.ts";
import { measureStoreCalls } from "./slopes/store_calls.ts";

const { values } = parseArgs({
  options: { seed: { type: "string", default: "1" } },
});
const seed = Number(values.seed);

function formatSlope({ name, unit, over, points, line, ratio }: Slope): string {
  const number = (value: number) =>
    Math.abs(value) >= 1000 ? value.toFixed(0) : value.toPrecision(3);
  const list = points.map(([size, value]) => `${size}: ${number(value)}`);
  return `${`${name} [${unit}]`.padEnd(27)}over ${over.padEnd(11)}` +
    `${list.join(", ")}\n${"".padEnd(27)}slope ${number(line.slope)} +- ` +
    `${number(line.slopeError)}, at 0 ${number(line.intercept)}, ` +
    `worst residual ${number(line.worst)}, largest over smallest ` +
    number(ratio);
}

console.log(`seed ${seed}; times and memory vary by machine`);
const slopes = [
  ...measureBytes(),
  ...measureEntryTimes(seed),
  ...measureAgentTimes(),
  ...measureMemory(seed),
  ...measureIdle(seed),
  ...measureRecords(),
  ...measureStoredValues(seed),
  ...measurePlacement(),
  ...measureJobs(seed),
  ...await measureStoreCalls(seed),
  ...await measureSessions(seed),
];
for (const slope of slopes) console.log(formatSlope(slope));

const directory = new URL("../../../measurements/", import.meta.url);
mkdirSync(directory, { recursive: true });
writeFileSync(
  new URL("slopes.json", directory),
  JSON.stringify({ seed, slopes }, null, 2) + "\n",
);
