/**
 * A worker that leaves as planned is partitioned while it says so, and starts
 * again under its id; what it said arrives after the first heartbeat of its new
 * life.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createLedger } from "../lib/ledger.mjs";
import { startRelay } from "../lib/relay.mjs";
import { findTwice } from "../lib/rules.mjs";
import { runCase, startSite } from "../lib/site.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ID = "00000000000000e5";
/** Time for which the task works, in ms. */
const WORK = 12_000;
/** Length of the partition, in ms. */
const CUT = 5000;
/**
 * A sender's TCP repeats its bytes after 0.2, 0.6, 1.4, 3.0 and 6.2 s, so that
 * bytes of the first moments of the cut arrive 1.2 s after it.
 */
const REPEAT_DELAY = 1200;
const DRAIN = 2000;
const RELAY_PORT = 8527;

const ledger = createLedger(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const job = {
  spec: `work=${WORK}`,
  steps: [{ count: 1, cpu: 4000, memMb: 4000, gpu: 1, estimateMs: WORK }],
};
const relays = [];

async function relay(target) {
  const host = target.split(":")[0];
  relays.push(await startRelay({ host, port: RELAY_PORT, target }));
  return `${host}:${RELAY_PORT}`;
}

await runCase({
  ledger,
  play: async () => {
    const site = await startSite({ entries: 3, agents: 10, ledger, relay });
    try {
      const [worker] = site.workers;
      if (!await worker.drain()) throw new Error("draining isn't acknowledged");
      await sleep(DRAIN + 300);
      if (TROUBLE) {
        ledger.note("the worker is cut off");
        relays[0].cut();
      }
      const left = worker.leave();
      left.then(({ status }) => ledger.note(`DELETE is answered ${status}`));
      await sleep(CUT);
      ledger.note("the worker is reachable again");
      const healed = TROUBLE ? relays[0].heal(REPEAT_DELAY) : undefined;
      await worker.begin();
      await sleep(400);
      const { status } = await site.call("POST", ID, job);
      if (status !== 200) throw new Error(`the job is answered ${status}`);
      await healed;
      await sleep(WORK + 8000);
      const { body } = await site.call("GET", ID);
      const found = findTwice(ledger.runs);
      for (const text of found) ledger.note(`TWICE: ${text}`);
      if (!TROUBLE && body?.state !== "completed") {
        throw new Error(`the job is ${body?.state}`);
      }
      return found.length > 0 ? `TWICE: ${found[0]}` : undefined;
    } finally {
      for (const each of relays) each.close();
      await site.close();
    }
  },
});
