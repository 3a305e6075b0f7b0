import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "tap";

const root = fileURLToPath(new URL("../../../", import.meta.url));

/** Directories with sources of the product, other than the platform's adapter. */
const PRODUCT_DIRECTORIES = [
  "cli",
  "config",
  "core",
  "daemons",
  "observe",
  "storage",
  "wire",
];

/**
 * Names of the platform's interface that only its adapter in platform/ may use.
 * Names that the product uses too are left out.
 */
const PLATFORM_NAMES = [
  "kv-",
  "run-start",
  "run-stop",
  "untilMs",
  "fencingToken",
  "waitMs",
  "clockMs",
  "mayMiss",
  "antiAffinity",
  "storeRevision",
  "hasMore",
  "warmupLeftMs",
  "Expected-Instance",
  "apiKeys",
  "holdMaxMs",
  "nodeName",
  "DRAGONFLYLEDGE_SETTINGS",
];

/** Returns the sources of the product, without tests. */
function listProductSources(): string[] {
  return PRODUCT_DIRECTORIES.flatMap((directory) =>
    readdirSync(root + directory, { recursive: true, encoding: "utf8" })
      .filter((file) =>
        file.endsWith(".ts") && !/_test\.ts$|dist|node_modules/.test(file)
      )
      .map((file) => `${directory}/${file}`)
  );
}

// Guards against code outside platform/ that uses names of the platform's
// interface and so depends on it.
test("only platform/ uses names of the platform's interface", (t) => {
  for (const file of listProductSources()) {
    const source = readFileSync(root + file, "utf8");
    const found = PLATFORM_NAMES.filter((name) => source.includes(name));
    t.same(found, [], file);
  }
  t.end();
});
