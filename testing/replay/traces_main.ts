/**
 * Generates all traces and writes their files: `node dist/traces_main.js`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { deployments } from "./deployment.ts";
import { generateTrace } from "./trace/generate.ts";
import { scenarios } from "./trace/scenarios.ts";
import { formatTrace } from "./trace/trace.ts";

/** Seed of the first trace; the next ones follow. */
const FIRST_SEED = 20_261_204;

let seed = FIRST_SEED;
for (const deployment of Object.values(deployments)) {
  for (const scenario of scenarios) {
    const trace = generateTrace({ scenario, deployment, seed: seed++ });
    const text = formatTrace(trace);
    const file = new URL(`../traces/${trace.name}.ndjson`, import.meta.url);
    writeFileSync(file, text);
    console.log(
      `${trace.name}: seed ${trace.seed}, ${trace.requests.length} requests, ` +
        `${trace.jobs.length} jobs, ${trace.steps.length} steps, ` +
        `${text.length} bytes`,
    );
  }
}
