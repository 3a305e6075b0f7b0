// Starts the project's programs by the commands of the deploy file, each on a
// loopback address of its own, with stand-ins of the store and the workers.

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";
import { startWorker } from "./worker.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
export const SERVICE = "fryline";
export const HOST_NAME = "fryline.example";

/** Whether the case plays its disruption. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 };

/** Processes that run now. */
const children = new Set();

/** Ends all processes and the case, which could not run. */
function giveUp(error) {
  console.error(error);
  for (const child of children) child.kill("SIGKILL");
  process.exit(Verdict.NotRun);
}
process.on("uncaughtException", giveUp);
process.on("unhandledRejection", giveUp);
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, giveUp);

/** Returns the words of the start command of a role in the deploy file. */
function startCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]*)"/.exec(section)[1].split(" ");
}

/** Writes lines to record.txt in the folder of the case. */
export function createRecord(folder) {
  const path = join(folder, "record.txt");
  const startedAt = Date.now();
  writeFileSync(path, "");
  return (kind, fields = {}) => {
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(3);
    const line = `${seconds.padStart(8)} ${kind} ${JSON.stringify(fields)}\n`;
    writeFileSync(path, line, { flag: "a" });
  };
}

async function findPort(host) {
  const server = createServer();
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** Settings of a small deployment, as the platform's pages show them. */
function settingsOf(fields) {
  return [
    `nodeName=${fields.name}`,
    `role=${fields.role}`,
    `ip=${fields.host}`,
    "zone=kigali-a",
    "region=kigali",
    "limits.cpuShare=0.675",
    "limits.cores=1",
    `limits.memoryMb=${fields.role === "entry" ? 350 : 218}`,
    "limits.maxFds=4100",
    "limits.linkMbps=1000.0",
    "heartbeatMs=1500",
    "bounds.contactMs=3000",
    "bounds.ackMs=4000",
    "bounds.drainMs=2000",
    "bounds.graceS=6",
    "bounds.configApplyMs=2000",
    "bounds.holdMaxMs=10000",
    "bounds.stopMs=200",
    "bounds.cancel_ms=3000",
    "bounds.visible_ms=3000",
    "bounds.finish_s=14",
    "bounds.status_s=120",
    "bounds.reclaimMs=2700",
    "controlMode=rpc",
    `platform.address=${fields.store}`,
    "platform.form=kv",
    "platform.writesPerS=400",
    "platform.readsPerS=2000",
    "platform.historyS=20",
    "platform.valueBytes=1048576",
    "platform.ttlMinMs=1000",
    ...fields.lines,
    "",
  ].join("\n");
}

/** The operator's configuration with one urgent and two lower queues. */
export function createConfiguration(version = 1) {
  const queue = { host: HOST_NAME, service: SERVICE, slackFactor: 4 };
  return {
    version,
    routes: [
      {
        ...queue,
        name: "shift-plan",
        prefix: "/shift/",
        priority: 0,
        maxAttempts: 2,
      },
      {
        ...queue,
        name: "recipe-tune",
        prefix: "/recipe/",
        priority: 1,
        maxAttempts: 3,
      },
      {
        ...queue,
        name: "oil-check",
        prefix: "/oil/",
        priority: 2,
        maxAttempts: 4,
      },
    ],
    services: [{ name: SERVICE, admissionCheck: false }],
    limits: { maxBodyBytes: 262_144 },
    tenants: [
      { name: "hall", apiKeys: ["key-hall"], guaranteed: { gpu: 8 } },
      { name: "lab", apiKeys: ["key-lab"], guaranteed: { gpu: 4 } },
    ],
  };
}

/**
 * Starts `entries` entries and `agents` agents with a worker each. `work` tells
 * how tasks run (see worker.mjs). The caller calls `stop` at the end.
 */
export async function startSite(
  { entries, agents, record, work, workers = {} },
) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const store = await startStore();
  store.put("op/config", createConfiguration());
  const programs = [];

  function addProgram({ name, role, host, lines, ...known }) {
    const path = join(folder, `${name}.conf`);
    writeFileSync(
      path,
      settingsOf({ name, role, host, store: store.address, lines }),
    );
    const program = { name, role, host, exits: [], log: "", ...known };
    program.start = () => {
      const [command, ...words] = startCommand(role);
      const child = spawn(command, words, {
        cwd: ROOT,
        env: {
          PATH: process.env["PATH"],
          DRAGONFLYLEDGE_SETTINGS: path,
        },
        stdio: ["ignore", "pipe", "pipe"],
      });
      const keep = (chunk) =>
        program.log = (program.log + chunk).slice(-2_000_000);
      child.stdout.on("data", keep);
      child.stderr.on("data", keep);
      children.add(child);
      child.on("error", giveUp);
      child.on("exit", (code, signal) => {
        children.delete(child);
        program.exits.push({ code, signal });
        record("exit", { name, code, signal });
        if (program.restarts && !program.stopped) {
          setTimeout(() => !program.stopped && program.start(), 500);
        }
      });
      program.child = child;
      record("process", { name, pid: child.pid });
    };
    program.start();
    programs.push(program);
    return program;
  }

  const site = { store, entries: [], agents: [], workers: [], programs };
  for (let index = 0; index < entries; index++) {
    const host = `127.0.1.${10 + index}`;
    const callers = await findPort(host);
    const ready = await findPort(host);
    const link = await findPort(host);
    site.entries.push(addProgram({
      name: `frontend-kigali-a-${index + 1}`,
      role: "entry",
      host,
      callers: `${host}:${callers}`,
      ready: `${host}:${ready}`,
      link: `${host}:${link}`,
      lines: [
        `listenAddresses.frontend=${host}:${callers}`,
        `listenAddresses.readiness=${host}:${ready}`,
        `internalPorts=${link},${link + 15}`,
      ],
    }));
  }
  for (let index = 0; index < agents; index++) {
    const host = `127.0.2.${10 + index}`;
    const control = await findPort(host);
    const link = await findPort(host);
    const worker = await startWorker({
      id: `i-${(0x7f3a91c2 + index).toString(16)}`,
      host,
      service: SERVICE,
      record,
      work,
      ...workers,
    });
    site.workers.push(worker);
    site.agents.push(addProgram({
      name: `side-kigali-a-${index + 1}`,
      role: "agent",
      host,
      control: `${host}:${control}`,
      link: `${host}:${link}`,
      worker,
      lines: [
        `listenAddresses.controlPlane=${host}:${control}`,
        `internalPorts=${link},${link + 15}`,
        `app=${worker.address}`,
        `service=${SERVICE}`,
      ],
    }));
    worker.startHeartbeats(`${host}:${control}`);
  }
  site.stop = async () => {
    for (const program of programs) {
      program.stopped = true;
      const { child } = program;
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, "exit");
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      await ended;
    }
    for (const worker of site.workers) worker.stop();
    store.stop();
    rmSync(folder, { recursive: true });
  };
  return site;
}

/** Calls an entry; status 0 stands for no answer. */
export function call(
  address,
  method,
  path,
  { body, key = "key-hall", timeout = 3000 } = {},
) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: HOST_NAME,
        "x-api-key": key,
        "deadline-ms": String(timeout),
        "content-type": "application/json",
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on("error", () => resolve({ status: 0, body: "" }));
      response.on(
        "end",
        () => resolve({ status: response.statusCode, body: text }),
      );
    });
    outgoing.on("error", () => resolve({ status: 0, body: "" }));
    outgoing.setTimeout(timeout, () => outgoing.destroy());
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Waits until `check` returns a true value; returns it, or undefined. */
export async function until(check, limit, interval = 50) {
  const end = Date.now() + limit;
  while (Date.now() < end) {
    const value = await check();
    if (value) return value;
    await sleep(interval);
  }
  return undefined;
}

export const sleep = (time) =>
  new Promise((resolve) => setTimeout(resolve, time));

/** Id of a job: 16 hexadecimal digits. */
export const jobId = (number) => number.toString(16).padStart(16, "0");

/** Whether the entry is ready, as the platform's check sees it. */
export async function isReady(entry) {
  return (await call(entry.ready, "GET", "/readyz")).status === 200;
}

/** Waits until all entries are ready and a first job has completed. */
export async function settle(site) {
  const ready = await until(async () => {
    const states = await Promise.all(site.entries.map(isReady));
    return states.every(Boolean);
  }, 20_000);
  if (!ready) return false;
  const address = site.entries[0].callers;
  const body = { spec: "first", steps: [{ cpu: 500, memMb: 256 }] };
  const path = `/recipe/${jobId(0xffff_0001)}`;
  const done = await until(
    async () => {
      await call(address, "POST", path, { body });
      const state = await call(address, "GET", path);
      return state.body.includes("completed");
    },
    20_000,
    200,
  );
  return Boolean(done);
}
