// A start is carried out some seconds late, by a worker that has started again
// twice. Does its task run twice at the same time?

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
const JOB = jobId(0xb000);
const DURATION = 12_000;
const DOWN = 1000;
/** Time from the second start of the task until the worker crashes again. */
const SECOND_CRASH = 1500;

const record = createRecord(FOLDER);
const site = await startSite({
  entries: 2,
  agents: 3,
  record,
  work: (task) => ({ duration: task.startsWith(JOB) ? DURATION : 500 }),
});

/** Workers that run the task, by the runs that are at work. */
const runs = () =>
  site.workers.flatMap((worker) =>
    [...worker.running.values()]
      .filter(({ task }) => task.startsWith(JOB))
      .map(({ run }) => ({ worker: worker.id, run }))
  );
let most = [];
function look() {
  const present = runs();
  if (present.length > most.length) {
    most = present;
    record("at work", { present });
  }
}

async function play() {
  if (!await settle(site)) return Verdict.NotRun;
  let late;
  let holder;
  for (const worker of site.workers) {
    worker.onStart = (task) => task.startsWith(JOB) && setImmediate(look);
    worker.handle = (request, carryOut) => {
      const isStart = request.path === "/run-start" &&
        request.body.task.startsWith(JOB);
      if (!hasTrouble || !isStart || late) return carryOut();
      late = request;
      holder = worker;
      record("start left unanswered", {
        worker: worker.id,
        run: request.body.run,
      });
      setTimeout(() => worker.crash({ downFor: DOWN, sameId: true }), 50);
      worker.onBack = (incarnation) => {
        if (incarnation !== 3) return;
        worker.carryOutLate(late);
        look();
      };
      return undefined;
    };
  }
  const sentAt = Date.now();
  const answer = await call(site.entries[0].callers, "POST", `/recipe/${JOB}`, {
    body: {
      spec: "tune",
      steps: [{ cpu: 13_000, memMb: 11_000, gpu: 8, estimateMs: DURATION }],
    },
  });
  if (answer.status !== 200) return Verdict.NotRun;
  if (!await until(() => runs().length === 1, 15_000)) return Verdict.NotRun;
  if (hasTrouble) {
    await sleep(SECOND_CRASH);
    if (holder.running.size > 0) return Verdict.NotRun;
    holder.crash({ downFor: DOWN, sameId: true });
    await sleep(DOWN + 500);
    record("late by", { ms: Date.now() - sentAt });
  }
  const end = Date.now() + 3000;
  while (Date.now() < end) {
    look();
    await sleep(5);
  }
  return most.length > 1 ? Verdict.Broken : Verdict.Held;
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
