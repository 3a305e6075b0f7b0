/**
 * A heartbeat of another writer, with a service that no configuration names,
 * reaches an agent whose worker runs a task.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call } from "../lib/call.mjs";
import { createLedger } from "../lib/ledger.mjs";
import { findTwice } from "../lib/rules.mjs";
import { runCase, startSite } from "../lib/site.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ID = "00000000000000c3";
/** Time for which the task works, in ms. */
const WORK = 12_000;

const ledger = createLedger(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const job = {
  spec: `work=${WORK}`,
  steps: [{ count: 1, cpu: 4000, memMb: 4000, gpu: 1, estimateMs: WORK }],
};

/** Sends one heartbeat of a program that is no worker of the system. */
async function sendForeignHeartbeat(address) {
  const body = {
    service: "log-shipper",
    address: "127.0.0.1:9999",
    zone: "zone-a",
    version: "v7",
    slots: 1,
    state: "ready",
    warmupLeftMs: 0,
    capacity: { cpu: 1000, memMb: 512, gpu: 0 },
    labels: ["a", "r1-0"],
    clockMs: 50,
    born: Date.now(),
    sequence: 1,
  };
  const path = "/instances/i-log-shipper";
  const { status } = await call({ address, method: "PUT", path, body });
  ledger.note(`PUT ${path} ${JSON.stringify(body)}: ${status}`);
}

await runCase({
  ledger,
  play: async () => {
    const site = await startSite({ entries: 3, agents: 3, ledger });
    try {
      const { status } = await site.call("POST", ID, job);
      if (status !== 200) throw new Error(`the job is answered ${status}`);
      await sleep(2000);
      const index = site.workers.findIndex((each) => each.running() > 0);
      if (index < 0) throw new Error("the task was not started");
      const address = `${site.agents[index].ip}:${site.controlPort}`;
      if (TROUBLE) await sendForeignHeartbeat(address);
      await sleep(WORK + 6000);
      const { body } = await site.call("GET", ID);
      const found = findTwice(ledger.runs);
      for (const text of found) ledger.note(`TWICE: ${text}`);
      if (!TROUBLE && body?.state !== "completed") {
        throw new Error(`the job is ${body?.state}`);
      }
      return found.length > 0 ? `TWICE: ${found[0]}` : undefined;
    } finally {
      await site.close();
    }
  },
});
