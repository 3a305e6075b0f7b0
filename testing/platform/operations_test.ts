import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { test } from "tap";
import type { Test } from "tap";
import { startPrograms } from "./mod.ts";
import type { Programs } from "./mod.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const START_TIMEOUT = 20_000;
const RECOVERY_BOUND = 12_000;
const POLL_INTERVAL = 100;
/** Time in ms after which the programs have noticed that the store is silent. */
const SILENCE_DURATION = 2500;
/**
 * Delay of an unanswered write in milliseconds: its caller has given up by then,
 * by default after 3 s.
 */
const LOST_WRITE_DELAY = 4000;
const JOB = { spec: "text", steps: [{ count: 2, cpu: 1000, gpu: 1 }] };
const page = readFileSync(join(ROOT, "docs/OPERATIONS.md"), "utf8");

/** Starts programs whose tasks end as `ending`, and waits for the entries. */
async function start(t: Test, ending: "done" | "failed"): Promise<Programs> {
  const programs = await startPrograms({
    entries: 2,
    agents: 2,
    duration: 0,
    observer: {
      accelerators: () => 1,
      endingAt: ({ startedAt }, now) =>
        now > startedAt + 100 ? ending : undefined,
      started: () => {},
      ended: () => {},
      acknowledged: () => {},
    },
  });
  t.teardown(() => programs.stop());
  await waitUntil(START_TIMEOUT, async () => {
    for (const entry of programs.entries) {
      const { status } = await programs.call(entry, "GET", "/plans/");
      if (status !== 200) return false;
    }
    return true;
  });
  return programs;
}

async function waitUntil(limit: number, holds: () => Promise<boolean>) {
  const end = performance.now() + limit;
  while (!await holds()) {
    if (performance.now() > end) throw new Error(`timed out after ${limit} ms`);
    await sleep(POLL_INTERVAL);
  }
}

/** Runs the page's command `explain` on the logs of all processes. */
function explain(t: Test, programs: Programs, id: string): string {
  const directory = mkdtempSync(join(tmpdir(), "dragonflyledge-"));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const processes = [...programs.entries, ...programs.agents];
  const files = processes.map(({ name, lines }) => {
    const path = join(directory, `${name}.log`);
    writeFileSync(path, lines.join("\n"));
    return path;
  });
  const main = join(ROOT, "cli/command/dist/main.js");
  const command = [main, "explain", id, ...files];
  return execFileSync(process.execPath, command, { encoding: "utf8" });
}

/** Returns the metrics of all entries as text. */
async function readMetrics(programs: Programs): Promise<string> {
  const texts = programs.entries.map(({ metricsAddress }) =>
    new Promise<string>((resolve, reject) => {
      get(`http://${metricsAddress}/metrics`, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("end", () => resolve(text));
      }).on("error", reject);
    })
  );
  return (await Promise.all(texts)).join("\n");
}

/** Returns the part of docs/OPERATIONS.md on one kind of failure. */
function section(title: string): string {
  const start = page.indexOf(`**${title}**`);
  const rest = page.slice(start + 2);
  const end = rest.search(/\n\*\*|\n#/);
  return end < 0 ? rest : rest.slice(0, end);
}

/** Checks that each mark is named on the page and occurs in `found`. */
function checkMarks(
  t: Test,
  fields: { title: string; found: string; marks: string[] },
): void {
  const text = section(fields.title);
  for (const mark of fields.marks) {
    t.ok(text.includes(mark), `the page names ${mark}`);
    t.ok(fields.found.includes(mark), `${mark} is found`);
  }
}

// Guards against an operations page whose steps do not lead from a refused job
// to the log lines and metrics of its cause, here a silent store.
test("a refused job is traced to the silent store", async (t) => {
  const programs = await start(t, "done");
  const id = "00000000000000b1";
  programs.store.silent = true;
  await sleep(SILENCE_DURATION);
  const [entry] = programs.entries;
  const { status } = await programs.call(entry!, "POST", `/plans/${id}`, JOB);
  t.equal(status, 503);
  const title = "Refused (503).";
  const lines = explain(t, programs, id);
  checkMarks(t, {
    title,
    found: lines,
    marks: ["Request passed to another entry.", "own=0"],
  });
  checkMarks(t, {
    title,
    found: entry!.lines.join("\n"),
    marks: ["The store does not answer."],
  });
  checkMarks(t, {
    title,
    found: await readMetrics(programs),
    marks: ["dragonflyledge_requests_total", 'status="503"'],
  });
});

// Guards against an operations page whose steps do not show whether a job runs
// after its submission ended with unknown outcome.
test("a job with unknown outcome is traced to its write", async (t) => {
  const programs = await start(t, "done");
  const id = "00000000000000b2";
  programs.store.lost = 1;
  programs.store.lostWriteDelay = LOST_WRITE_DELAY;
  const [entry, other] = programs.entries;
  const path = `/plans/${id}`;
  t.equal((await programs.call(entry!, "POST", path, JOB)).status, 504);
  programs.store.lost = 0;
  await waitUntil(RECOVERY_BOUND, async () => {
    const { body } = await programs.call(other!, "GET", path);
    return body.includes("completed");
  });
  const title = "Late or without certainty (504).";
  checkMarks(t, {
    title,
    found: explain(t, programs, id),
    marks: ["Submission answered.", "result=unknown", "Tasks placed."],
  });
  checkMarks(t, {
    title,
    found: await readMetrics(programs),
    marks: ["dragonflyledge_store_calls_total", 'outcome="unknown"'],
  });
});

// Guards against an operations page whose steps do not show why a job failed.
test("a failed job is traced to the ends of its runs", async (t) => {
  const programs = await start(t, "failed");
  const id = "00000000000000b3";
  const path = `/plans/${id}`;
  const [entry] = programs.entries;
  t.equal((await programs.call(entry!, "POST", path, JOB)).status, 200);
  await waitUntil(RECOVERY_BOUND, async () => {
    const { body } = await programs.call(entry!, "GET", path);
    return body.includes("failed");
  });
  const title = "Started late, or failed.";
  checkMarks(t, {
    title,
    found: explain(t, programs, id),
    marks: [
      "Tasks placed.",
      "Run ended.",
      "ending=failed",
      "Job finished.",
      "status=failed",
    ],
  });
  checkMarks(t, {
    title,
    found: await readMetrics(programs),
    marks: [
      "dragonflyledge_log_lines_total",
      "dragonflyledge_placement_wait_seconds",
    ],
  });
});
