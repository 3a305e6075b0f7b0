import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "tap";
import { METRICS } from "./mod.ts";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const SKIPPED = /node_modules|dist|_test\.ts$|testing|observe\/metrics/;

/** Returns the names of all metrics that the sources record. */
function countedNames(): Set<string> {
  const names = new Set<string>();
  const calls = /(?:count\(\s*(?:core,\s*)?|metric(?:: | = ))"([\w.-]+)"/g;
  for (const directory of ["core", "daemons", "storage", "observe"]) {
    const files = readdirSync(root + directory, {
      recursive: true,
      encoding: "utf8",
    });
    for (const file of files) {
      const path = `${directory}/${file}`;
      if (!path.endsWith(".ts") || SKIPPED.test(path)) continue;
      const source = readFileSync(root + path, "utf8");
      for (const match of source.matchAll(calls)) names.add(match[1]!);
    }
  }
  return names;
}

// Guards against metrics that arrive as `metrics.unknown` because the table
// lacks them, and against metrics that are documented but never sent.
test("the sources record exactly the metrics of the table", (t) => {
  const counted = [...countedNames()].sort();
  const described = Object.keys(METRICS)
    .filter((name) => name !== "metrics.unknown").sort();
  t.same(counted, described);
  t.end();
});
