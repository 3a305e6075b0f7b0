// Lasting tasks of a lower queue hold all accelerators. Does the tenant with a
// guarantee get its accelerators back?

import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  call,
  createRecord,
  hasTrouble,
  jobId,
  settle,
  sleep,
  startSite,
  until,
  Verdict,
} from "../lib-2/site.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const WORKERS = 3;
const ACCELERATORS = 8;
/** `reclaimMs` of the site. */
const RECLAIM = 2700;
/** Time for which the urgent job is watched, far beyond the bound. */
const WATCH = 30_000;

const BATCH = jobId(0x3000);
const URGENT = jobId(0x4000);

const record = createRecord(FOLDER);
const site = await startSite({
  entries: 2,
  agents: WORKERS,
  record,
  work: (task) => ({ duration: task.startsWith(BATCH) ? Infinity : 1000 }),
});
const [entry] = site.entries;

const countRuns = (id) =>
  site.workers
    .flatMap(({ running }) => [...running.values()])
    .filter(({ task }) => task.startsWith(id)).length;

async function play() {
  if (!await settle(site)) return Verdict.NotRun;
  // Without the trouble the same tasks are ordinary ones that take long.
  const step = {
    count: WORKERS * ACCELERATORS,
    cpu: 1000,
    memMb: 256,
    gpu: 1,
    estimateMs: 60_000,
    ...(hasTrouble ? { longRunning: true } : {}),
  };
  const batch = await call(entry.callers, "POST", `/oil/${BATCH}`, {
    key: "key-lab",
    body: { spec: "serve", steps: [step] },
  });
  record("batch submitted", { status: batch.status });
  const full = await until(() => countRuns(BATCH) === step.count, 20_000);
  if (!full) return Verdict.NotRun;
  await sleep(2000);
  const plan = { count: 2, cpu: 1000, memMb: 256, gpu: 2, estimateMs: 1000 };
  const answer = await call(entry.callers, "POST", `/shift/${URGENT}`, {
    key: "key-hall",
    body: { spec: "plan", steps: [plan] },
  });
  const acknowledgedAt = Date.now();
  record("urgent job submitted", {
    status: answer.status,
    gpu: 4,
    guaranteed: 8,
  });
  if (answer.status !== 200) return Verdict.NotRun;
  const begun = new Set();
  const all = await until(
    () => {
      for (const { running } of site.workers) {
        for (const { task } of running.values()) {
          if (task.startsWith(URGENT)) begun.add(task);
        }
      }
      return begun.size === plan.count;
    },
    WATCH,
    20,
  );
  const wait = Date.now() - acknowledgedAt;
  const state = await call(entry.callers, "GET", `/shift/${URGENT}`);
  record("watched", {
    begun: begun.size,
    waited: wait,
    state: state.body,
    lasting: countRuns(BATCH),
  });
  return all && wait <= RECLAIM ? Verdict.Held : Verdict.Broken;
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
