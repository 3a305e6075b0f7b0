/** A machine beside a worker is removed for good while jobs arrive. */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createLedger } from "../lib/ledger.mjs";
import { runCase, startSite } from "../lib/site.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const JOBS = 4;
const SUBMIT_INTERVAL = 200;
/** Time for which each task works, in ms. */
const WORK = 12_000;
/** `visible_ms` and 2 s: jobs accepted before that have to be counted. */
const VISIBLE = 3000 + 2000;
const WATCH = 11_000;

const ledger = createLedger(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const job = {
  spec: `work=${WORK}`,
  steps: [{ count: 1, cpu: 1000, memMb: 1000, gpu: 1, estimateMs: WORK }],
};

await runCase({
  ledger,
  play: async () => {
    const site = await startSite({ entries: 3, agents: 10, ledger });
    try {
      if (TROUBLE) await site.remove(0);
      const accepted = new Map();
      for (let index = 1; index <= JOBS; index++) {
        const id = index.toString(16).padStart(16, "0");
        const { status } = await site.call("POST", id, job);
        if (status !== 200) throw new Error(`a job is answered ${status}`);
        accepted.set(id, ledger.now());
        await sleep(SUBMIT_INTERVAL);
      }
      const broken = [];
      const end = ledger.now() + WATCH;
      while (ledger.now() < end) {
        for (const entry of site.entries) {
          const askedAt = ledger.now();
          const body = await site.pending(entry);
          // Only jobs that had not begun when the answer came.
          const begun = new Set(
            ledger.runs.map(({ task }) => task.split(".")[0]),
          );
          const waiting = [...accepted].filter(([id, at]) =>
            askedAt - at > VISIBLE && !begun.has(id)
          );
          if (body?.pending === undefined) continue;
          if (body.pending >= waiting.length / 2) continue;
          const text = `${entry.name} gives ${body.pending} as pending, and ` +
            `${waiting.length} jobs accepted over ${VISIBLE} ms before have not begun`;
          ledger.note(`MIXED: ${text}`);
          broken.push(text);
        }
        await sleep(250);
      }
      if (broken.length === 0) return undefined;
      return `MIXED, ${broken.length} times; first: ${broken[0]}`;
    } finally {
      await site.close();
    }
  },
});
