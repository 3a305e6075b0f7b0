/**
 * Command line of the soak test, which runs the real programs under random
 * faults:
 * `npm run soak:processes -- --seed N --minutes M [--faults a,b] [--logs DIR]`.
 * Runs one seed after the other, counting up from N, until M minutes are over;
 * All faults are drawn unless `--faults` names some. `--found` runs the seeds
 * that once failed instead. The logs of a seed that
 * breaks a guarantee are written below the directory DIR. Exits with 1 if any
 * seed fails.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { FAULT_NAMES } from "./soak/faults.ts";
import { FAILED_SEEDS } from "./soak/found_seeds.ts";
import { runSoak } from "./soak/soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    minutes: { type: "string", default: "1" },
    seconds: { type: "string", default: "40" },
    entries: { type: "string", default: "3" },
    agents: { type: "string", default: "4" },
    callers: { type: "string", default: "8" },
    faults: { type: "string" },
    logs: { type: "string" },
    found: { type: "boolean", default: false },
  },
});

/** Runs one seed and returns whether it broke no guarantee. */
async function runSeed(seed: number, faults?: string[]): Promise<boolean> {
  const result = await runSoak({
    seed,
    time: Number(values.seconds) * 1000,
    entries: Number(values.entries),
    agents: Number(values.agents),
    callers: Number(values.callers),
    faults,
  });
  const { jobs, completed, violations } = result;
  console.log(
    `seed ${seed}: ${result.faults.length} faults, ${completed} of ${jobs} jobs done, ${violations.length} violations`,
  );
  if (violations.length === 0) return true;
  for (const violation of violations) console.log(`  ${violation}`);
  console.log(`  faults: ${result.faults.join(", ")}`);
  if (values.logs) {
    const directory = join(values.logs, `seed-${seed}`);
    mkdirSync(directory, { recursive: true });
    for (const [name, lines] of result.logs) {
      writeFileSync(join(directory, `${name}.log`), lines.join("\n"));
    }
  }
  return false;
}

const end = performance.now() + Number(values.minutes) * 60_000;
let failed = 0;
let seedCount = 0;
if (values.found) {
  for (const { seed, faults } of FAILED_SEEDS) {
    seedCount++;
    if (!await runSeed(seed, faults)) failed++;
  }
} else {
  const faults = values.faults?.split(",") ?? FAULT_NAMES;
  do {
    if (!await runSeed(Number(values.seed) + seedCount++, faults)) failed++;
  } while (performance.now() < end);
}
console.log(`${failed} of ${seedCount} seeds failed`);
process.exitCode = failed === 0 ? 0 : 1;
