/**
 * Runs formatter, linter and tests, and ends with one line of counts.
 *
 * Usage: node scripts/test.mjs [test file ...]
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import process from "node:process";

const files = process.argv.slice(2);
/** Longest line that is printed of a failure, which may hold a whole report. */
const MAX_LINE_LENGTH = 20_000;
/** Lines that are printed from each failure on. */
const LINES_PER_FAILURE = 40;
const MAX_FAILURE_LINES = 600;
const SOURCE_ROOTS = [
  "cli",
  "config",
  "core",
  "daemons",
  "examples",
  "observe",
  "platform",
  "storage",
  "testing",
  "wire",
];
/** Tests that measure a process, and run one at a time after all others. */
const ISOLATED_TESTS = ["testing/platform/dist/floods_test.js"];
const env = { ...process.env, DENO_NO_UPDATE_CHECK: "1", TAP_RCFILE: ".taprc" };

/** Runs a command with its output shown, and returns whether it passed. */
function runCommand(command, args) {
  const result = spawnSync(command, args, { stdio: "inherit", env });
  return result.status === 0;
}

/** Built tests whose source exists; `dist` may hold tests that were deleted. */
function listTests() {
  return SOURCE_ROOTS.filter((root) => existsSync(root))
    .flatMap((root) =>
      readdirSync(root, { recursive: true, encoding: "utf8" })
        .map((path) => `${root}/${path}`)
    )
    .filter((path) =>
      path.endsWith("_test.ts") && !/node_modules|dist/.test(path)
    )
    .map(builtPath)
    .sort();
}

/** Path of the built file; each package builds into its own `dist`. */
function builtPath(path) {
  const parts = path.replace(/\.ts$/, ".js").split("/");
  for (let depth = parts.length - 1; depth > 0; depth--) {
    const directory = parts.slice(0, depth).join("/");
    if (!existsSync(`${directory}/package.json`)) continue;
    return [directory, "dist", ...parts.slice(depth)].join("/");
  }
  throw new Error(`${path} belongs to no package`);
}

/** Runs the tests; returns the TAP stream of all files, and a status. */
function runTests() {
  const selected = files.length > 0 ? files : listTests();
  const isolated = selected.filter((file) => ISOLATED_TESTS.includes(file));
  const others = selected.filter((file) => !ISOLATED_TESTS.includes(file));
  const runs = [others, isolated].filter((list) => list.length > 0)
    .map(runFiles);
  return {
    stdout: runs.map(({ stdout }) => stdout).join("\n"),
    status: runs.find(({ status }) => status !== 0)?.status ?? 0,
  };
}

/** Runs test files in parallel. */
function runFiles(list) {
  return spawnSync(
    "node_modules/.bin/tap",
    ["run", "--reporter=tap", ...list],
    {
      env,
      encoding: "utf8",
      maxBuffer: 512 * 1024 * 1024,
      stdio: ["ignore", "pipe", "inherit"],
    },
  );
}

/** Reads the names of tests that are known to fail. */
function readKnownFailures() {
  if (!existsSync("KNOWN-RED.txt")) return [];
  return readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

/**
 * Reads the results of the top-level tests, named by file and test. A file that
 * fails without a failed test is a result of its own.
 */
function readResults(stream) {
  const results = [];
  let file = "";
  for (const line of stream.split("\n")) {
    const subtest = /^# Subtest: (.*_test\.js)/.exec(line);
    if (subtest) file = subtest[1].replace("dist/", "").replace(/js$/, "ts");
    const test = /^ {4}(not )?ok \d+ - (.*?)( # (.*?))?( \{)?$/.exec(line);
    if (test) {
      const name = test[2].replace(/ # time=.*$/, "");
      const skipped = /# (SKIP|TODO)/i.test(line);
      results.push({ name: `${file}: ${name}`, passed: !test[1], skipped });
    }
    const whole = /^(not )?ok \d+ - (.*_test\.js)/.exec(line);
    if (
      whole && whole[1] && !results.some((r) => isFailureIn(r, whole[2]))
    ) {
      results.push({ name: whole[2], passed: false, skipped: false });
    }
  }
  return results;
}

/** Whether the result is a failed test of the built file. */
function isFailureIn(result, file) {
  const source = file.replace("dist/", "").replace(/js$/, "ts");
  return result.name.startsWith(source) && !result.passed;
}

let failed = 0;
let passed = 0;
if (files.length === 0) {
  if (!runCommand("node_modules/.bin/deno", ["fmt", "--check", "--quiet"])) {
    failed++;
  } else passed++;
  if (!runCommand("node_modules/.bin/deno", ["lint", "--quiet"])) failed++;
  else passed++;
}
const tests = runTests();
const results = readResults(tests.stdout);
const known = readKnownFailures();
for (const result of results) {
  if (result.passed) {
    passed++;
    continue;
  }
  if (known.includes(result.name)) {
    console.log(`known failure: ${result.name}`);
    continue;
  }
  failed++;
  console.log(`not ok: ${result.name}`);
}
// Also for known failures, since the details may show their cause.
if (results.some(({ passed }) => !passed) || results.length === 0) {
  console.log(failureLines(tests.stdout));
}
if (results.length === 0) failed++;
if (tests.status !== 0 && failed === 0 && known.length === 0) failed++;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

/** The lines of the stream that describe failures. */
function failureLines(stream) {
  const lines = stream.split("\n");
  const shown = new Set();
  lines.forEach((line, index) => {
    if (!/^\s*not ok/.test(line)) return;
    for (let near = index; near < index + LINES_PER_FAILURE; near++) {
      shown.add(near);
    }
  });
  return [...shown].slice(0, MAX_FAILURE_LINES).map((index) =>
    (lines[index] ?? "").slice(0, MAX_LINE_LENGTH)
  ).join("\n");
}
