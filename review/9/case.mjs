// Two tasks of one job crash each worker that starts them, both after the same
// time. How often are they started?

import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  call,
  createRecord,
  hasTrouble,
  jobId,
  settle,
  startSite,
  until,
  Verdict,
} from "../lib-2/site.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** Time after which a task crashes its worker, in milliseconds. */
const CRASH_AFTER = 3000;
/** Crashes under a task after which it may be started only twice more. */
const CRASH_LIMIT = 3;
const FORBIDDEN_STARTS = 3;
const WATCH = 60_000;
const JOB = jobId(0x5000);

const record = createRecord(FOLDER);
const site = await startSite({
  entries: 2,
  agents: 6,
  record,
  work: (task) =>
    task.startsWith(JOB)
      ? { duration: CRASH_AFTER, how: hasTrouble ? "crash" : "done" }
      : { duration: 500 },
});

const crashes = new Map();
const startsAfter = new Map();
const add = (counts, task) => counts.set(task, (counts.get(task) ?? 0) + 1);
for (const worker of site.workers) {
  worker.onCrash = (task) => add(crashes, task);
  worker.onStart = (task) => {
    if ((crashes.get(task) ?? 0) >= CRASH_LIMIT) add(startsAfter, task);
  };
}

async function play() {
  if (!await settle(site)) return Verdict.NotRun;
  const [entry] = site.entries;
  const path = `/recipe/${JOB}`;
  const step = {
    count: 2,
    cpu: 13_000,
    memMb: 11_000,
    gpu: 8,
    estimateMs: 10_000,
  };
  const answer = await call(entry.callers, "POST", path, {
    body: { spec: "tune", steps: [step] },
  });
  record("submitted", { status: answer.status });
  if (answer.status !== 200) return Verdict.NotRun;
  let state = "";
  await until(
    async () => {
      const shown = await call(entry.callers, "GET", path);
      if (shown.status === 200) ({ state } = JSON.parse(shown.body));
      const isOver = [...startsAfter.values()]
        .some((starts) => starts >= FORBIDDEN_STARTS);
      return isOver || state === "failed" || state === "completed";
    },
    WATCH,
    250,
  );
  record("watched", {
    state,
    crashes: Object.fromEntries(crashes),
    startsAfterThreeCrashes: Object.fromEntries(startsAfter),
  });
  const broken = [...startsAfter.values()]
    .some((starts) => starts >= FORBIDDEN_STARTS);
  return broken ? Verdict.Broken : Verdict.Held;
}

let verdict = Verdict.NotRun;
try {
  verdict = await play();
} catch (error) {
  record("error", { error: `${error.stack}` });
}
record("verdict", { verdict, trouble: hasTrouble });
await site.stop();
process.exit(verdict);
