// Workers crash twice under the tasks of a long job, which then goes on. Do other
// jobs still start on the workers, which are almost empty?

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
const WORKERS = 7;
const ACCELERATORS = 8;
/** Crashes of a worker, each this long after all tasks have started. */
const CRASHES = hasTrouble ? 2 : 0;
const CRASH_AFTER = 4000;
/** `finish_s` of the site, and the 3 s of the rule, in milliseconds. */
const FINISH = 14_000;
const WINDOW = 3000;
const SAMPLE_INTERVAL = 50;
const LONG = jobId(0x7000);
const LATER = jobId(0x8000);

const record = createRecord(FOLDER);
const site = await startSite({
  entries: 2,
  agents: WORKERS,
  record,
  work: (task) => ({ duration: task.startsWith(LONG) ? 3_600_000 : 1000 }),
});
const [entry] = site.entries;

const runsOf = (id) =>
  site.workers.flatMap(({ running }) => [...running.values()])
    .filter(({ task }) => task.startsWith(id));

/** Accelerators in use; each task of this case has one. */
const used = () =>
  site.workers.reduce((sum, { running }) => sum + running.size, 0);

/** Tasks of the long job on each worker. */
const spread = () => site.workers.map(({ running }) => running.size);

async function play() {
  if (!await settle(site)) return Verdict.NotRun;
  const step = {
    count: WORKERS,
    cpu: 1000,
    memMb: 256,
    gpu: 1,
    estimateMs: 3_600_000,
  };
  const answer = await call(entry.callers, "POST", `/oil/${LONG}`, {
    body: { spec: "check", steps: [step] },
  });
  record("long job submitted", { status: answer.status });
  const allRun = () => runsOf(LONG).length === step.count;
  for (let crash = 1; crash <= CRASHES; crash++) {
    if (!await until(allRun, 15_000)) return Verdict.NotRun;
    await sleep(CRASH_AFTER);
    record("before the crash", { spread: spread() });
    const fullest = site.workers
      .reduce((a, b) => b.running.size > a.running.size ? b : a);
    fullest.crash();
    await sleep(1000);
  }
  if (!await until(allRun, 15_000)) return Verdict.NotRun;
  await sleep(5000);
  record("the long job goes on", { spread: spread() });
  const later = await call(entry.callers, "POST", `/recipe/${LATER}`, {
    body: { spec: "tune", steps: [{ cpu: 1000, memMb: 256, gpu: 1 }] },
  });
  record("later job submitted; traffic ends", { status: later.status });
  if (later.status !== 200) return Verdict.NotRun;
  await sleep(FINISH);
  const { body } = await call(entry.callers, "GET", `/recipe/${LATER}`);
  record("asked", { state: body, spread: spread() });
  if (body.includes("completed")) return Verdict.Held;
  const end = Date.now() + WINDOW;
  while (Date.now() < end) {
    const isHalfFull = used() * 2 >= WORKERS * ACCELERATORS;
    if (runsOf(LATER).length > 0 || isHalfFull) return Verdict.Held;
    await sleep(SAMPLE_INTERVAL);
  }
  record("nothing of it ran for 3 s", {
    used: used(),
    of: WORKERS * ACCELERATORS,
  });
  return Verdict.Broken;
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
