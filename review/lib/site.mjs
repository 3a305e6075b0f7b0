/**
 * A small deployment on loopback addresses: the real programs, started with the
 * commands of the deploy file, and the stand-ins around them.
 */
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call } from "./call.mjs";
import { startStore } from "./store.mjs";
import { createFleet, startWorker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const SERVICE = "planning";
const QUEUE_HOST = "jobs.example";
const KEY = "key-1";
const PORTS = {
  frontend: 8521,
  readiness: 8523,
  control: 8526,
  link: 7000,
  store: 8524,
  worker: 8080,
};
/** A test ends after this long in any case. */
const TIME_LIMIT = 112_000;
/** The platform starts a process that has ended again after this long. */
const RESTART_DELAY = 600;
const READY_TIMEOUT = 30_000;
/** Traffic starts this long after the machines do. */
const LEAD = 12_000;

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: "plans",
      host: QUEUE_HOST,
      prefix: "/plans/",
      service: SERVICE,
      priority: 1,
      maxAttempts: 4,
      slackFactor: 3,
      targetRuntimeMs: 3000,
    },
  ],
  services: [{ name: SERVICE, admissionCheck: false }],
  limits: {},
  tenants: [{ name: "team", apiKeys: [KEY], guaranteed: { gpu: 8 } }],
};

/** Reads the command of each role in the deploy file. */
function readCommands() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const commands = new Map();
  let role = "";
  for (const line of text.split("\n")) {
    role = /^\[roles\.(.+)\]$/.exec(line)?.[1] ?? role;
    const run = /^run = "(.+)"$/.exec(line)?.[1];
    if (run) commands.set(role, run.split(" "));
  }
  return commands;
}

/** Returns the first three bytes of loopback addresses that are free. */
async function findFreeNetwork() {
  for (let tries = 0; tries < 50; tries++) {
    const network = `127.${randomInt(1, 250)}.${randomInt(1, 250)}`;
    const server = createServer();
    server.listen(PORTS.store, `${network}.1`);
    const free = await Promise.race([
      once(server, "listening").then(() => true),
      once(server, "error").then(() => false),
    ]);
    if (!free) continue;
    server.close();
    await once(server, "close");
    return network;
  }
  throw new Error("no free loopback network");
}

function settingsOf({ name, role, ip, network, entries }) {
  const front = role === "entry";
  const seeds = entries.slice(0, 3).map((each) => `${each}:${PORTS.control}`);
  return [
    `nodeName=${name}`,
    `role=${role}`,
    `machineClass=${front ? "frontend" : "side"}`,
    `serves=${front ? "frontend" : "side"}`,
    `ip=${ip}`,
    "zone=zone-a",
    "region=region-a",
    "zones.zone-a=region-a",
    ...(front
      ? [
        `listenAddresses.frontend=${ip}:${PORTS.frontend}`,
        `listenAddresses.readiness=${ip}:${PORTS.readiness}`,
      ]
      : [
        `listenAddresses.controlPlane=${ip}:${PORTS.control}`,
        `app=${ip}:${PORTS.worker}`,
      ]),
    `internalPorts=${PORTS.link},${PORTS.link + 15}`,
    `seeds=${seeds.join()}`,
    "bootstrap=true",
    `limits.cpuShare=${front ? 0.675 : 0.405}`,
    "limits.cores=1",
    `limits.memoryMb=${front ? 350 : 218}`,
    "limits.maxFds=4100",
    "discovery=local",
    "heartbeatMs=1500",
    "bounds.contactMs=3000",
    "bounds.graceS=6",
    "bounds.holdMaxMs=10000",
    "bounds.stopMs=200",
    "bounds.gangTimeoutMs=3000",
    "bounds.status_s=120",
    "controlMode=rpc",
    `platform.address=${network}.1:${PORTS.store}`,
    "platform.form=kv",
    "platform.writesPerS=400",
    "platform.readsPerS=2000",
    "platform.historyS=20",
    "platform.valueBytes=1048576",
    "platform.ttlMinMs=1000",
    "",
  ].join("\n");
}

/**
 * Starts the given numbers of entries and of agents, each with its worker, and
 * waits for the start of the traffic.
 */
export async function startSite({ entries, agents, ledger }) {
  const network = await findFreeNetwork();
  const directory = mkdtempSync(join(tmpdir(), "review-"));
  const commands = readCommands();
  const output = createWriteStream(join(directory, "programs.log"));
  output.setMaxListeners(0);
  const address = {
    entry: (index) => `${network}.${11 + index}`,
    agent: (index) => `${network}.${101 + index}`,
  };
  const entryAddresses = Array.from(
    { length: entries },
    (_, index) => address.entry(index),
  );
  const processes = [];
  let closing = false;
  // Also ends the programs if the case runs out of time or is stopped.
  process.on("exit", () => {
    for (const { child } of processes) child?.kill("SIGKILL");
  });

  function createProcess(role, index) {
    const name = `${role}-${index}`;
    const ip = address[role](index);
    const path = join(directory, `${name}.conf`);
    writeFileSync(
      path,
      settingsOf({ name, role, ip, network, entries: entryAddresses }),
    );
    const [program, ...words] = commands.get(role);
    const created = { name, ip, child: undefined };
    const start = () => {
      created.child = spawn(program, words, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME ?? "/",
          DRAGONFLYLEDGE_SETTINGS: path,
        },
        stdio: ["ignore", "pipe", "pipe"],
      });
      created.child.stdout.pipe(output, { end: false });
      created.child.stderr.pipe(output, { end: false });
      created.child.once("exit", (code, signal) => {
        ledger.note(`${name} ended: ${signal ?? code}`);
        setTimeout(() => {
          if (!closing && !created.removed) start();
        }, RESTART_DELAY);
      });
    };
    start();
    processes.push(created);
    return created;
  }

  const store = await startStore({
    host: `${network}.1`,
    port: PORTS.store,
    configuration: CONFIGURATION,
  });
  const site = { entries: [], agents: [], workers: [] };
  const fleet = createFleet();
  for (let index = 0; index < entries; index++) {
    site.entries.push(createProcess("entry", index));
  }
  for (let index = 0; index < agents; index++) {
    const agent = createProcess("agent", index);
    site.agents.push(agent);
    site.workers.push(
      await startWorker({
        id: `i-${index}`,
        service: SERVICE,
        rack: `r1-${Math.floor(index / 3)}`,
        host: agent.ip,
        port: PORTS.worker,
        controlPlane: `${agent.ip}:${PORTS.control}`,
        ledger,
        fleet,
      }),
    );
  }

  let nextEntry = 0;

  /** Calls an entry for a client, and another one if there is no answer. */
  async function callEntry(method, id, body) {
    const headers = {
      host: QUEUE_HOST,
      "x-api-key": KEY,
      "deadline-ms": "3000",
    };
    let answer;
    for (let tries = 0; tries < 5; tries++) {
      const entry = site.entries[nextEntry++ % site.entries.length];
      const path = `/plans/${id}`;
      const target = `${entry.ip}:${PORTS.frontend}`;
      answer = await call({ address: target, method, path, headers, body });
      ledger.note(
        `${method} ${id} at ${entry.name}: ${answer.status} ` +
          JSON.stringify(answer.body ?? ""),
      );
      if (![0, 429, 502, 503, 504].includes(answer.status)) break;
      await sleep(300);
    }
    return answer;
  }

  /** Asks an entry how many jobs have not begun. */
  async function pending(entry) {
    const headers = { host: QUEUE_HOST, "x-api-key": KEY };
    const address = `${entry.ip}:${PORTS.frontend}`;
    const answer = await call({
      address,
      method: "GET",
      path: "/plans/",
      headers,
    });
    const body = JSON.stringify(answer.body ?? "");
    ledger.note(`GET /plans/ at ${entry.name}: ${answer.status} ${body}`);
    return answer.body;
  }

  /** Removes the machine of an agent for good, and with it its worker. */
  function remove(index) {
    const { name, child } = site.agents[index];
    ledger.note(`the machine of ${name} is removed for good`);
    site.agents[index].removed = true;
    site.workers[index].close();
    child.kill("SIGKILL");
  }

  async function waitUntilReady() {
    const end = ledger.now() + READY_TIMEOUT;
    for (const { ip } of site.entries) {
      const target = `${ip}:${PORTS.readiness}`;
      const ask = { address: target, method: "GET", path: "/readyz" };
      while ((await call(ask)).status !== 200) {
        if (ledger.now() > end) throw new Error("the entries aren't ready");
        await sleep(100);
      }
    }
  }

  async function close() {
    closing = true;
    for (const { child } of processes) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, "exit");
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      await ended;
    }
    for (const worker of site.workers) worker.close();
    store.close();
    output.end();
    if (!process.env.KEEP_LOGS) rmSync(directory, { recursive: true });
    else ledger.note(`logs: ${directory}`);
  }

  await waitUntilReady();
  ledger.note("all entries are ready");
  await sleep(Math.max(0, LEAD - ledger.now()));
  return {
    ...site,
    call: callEntry,
    pending,
    remove,
    close,
    controlPort: PORTS.control,
  };
}

/**
 * Runs a case and ends the process: with 1 if `play` returns what broke the
 * rule, 0 if it returns nothing, and 2 if the case couldn't run.
 */
export async function runCase({ ledger, play }) {
  const limit = setTimeout(() => {
    ledger.note("The case took too long.");
    process.exit(2);
  }, TIME_LIMIT);
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => process.exit(2));
  }
  let code = 2;
  try {
    const broken = await play();
    code = broken ? 1 : 0;
    ledger.note(broken ? `RULE BROKEN: ${broken}` : "The rule held.");
    console.log(broken ? `rule broken: ${broken}` : "the rule held");
  } catch (error) {
    ledger.note(`The case couldn't run: ${error.stack}`);
    console.log(`the case couldn't run: ${error.message}`);
  }
  clearTimeout(limit);
  process.exit(code);
}
