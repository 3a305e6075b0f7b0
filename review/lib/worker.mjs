/**
 * Stand-in of a worker, as PROTOCOL.md describes it. What a task does stands in
 * its job's spec: `work=MS` (time until it is done), `gang=N` (members that work
 * only together), `crash=MS` (time after which it crashes its worker).
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./call.mjs";
import { startJsonServer } from "./json_server.mjs";

export const CAPACITY = { cpu: 32_000, memMb: 131_072, gpu: 8 };
const POLL_INTERVAL = 5;
const HEARTBEAT_INTERVAL = 1500;
const HEARTBEAT_TIMEOUT = 1000;
/** Longest lease, `holdMaxMs`. */
const LONGEST_LEASE = 10_000;
/** `gangTimeoutMs`. */
const GANG_TIMEOUT = 3000;
const STOP_TIME = 50;
/** Ends that one answer lists at most. */
const ENDS_PER_ANSWER = 500;
/** Time for which a worker that crashed is down. */
const DOWN_TIME = 2500;

/** Reads `name=NUMBER` in the spec of a job. */
function parameter(spec, name) {
  return Number(new RegExp(`\\b${name}=(\\d+)`).exec(spec)?.[1] ?? 0);
}

/** Creates the state that the workers of one fleet share: their gangs. */
export function createFleet() {
  const gangs = new Map();
  return {
    /** The members of the run's gang that are present, on any worker. */
    gangOf: ({ task, run }) => {
      const key = `${task.slice(0, task.lastIndexOf("."))}#${run}`;
      if (!gangs.has(key)) gangs.set(key, { members: new Set() });
      return gangs.get(key);
    },
  };
}

/**
 * Starts a worker that listens on `host` and `port` and sends its heartbeats to
 * `controlPlane`.
 */
export async function startWorker(fields) {
  const { id, service, rack, host, port, controlPlane, ledger, fleet } = fields;
  let life;
  let sequence = 0;
  let server;
  let closed = false;

  function createLife() {
    return {
      born: Date.now(),
      since: performance.now(),
      running: new Map(),
      highest: new Map(),
      ended: [],
      ends: 0,
      fence: 0,
      leaseUntil: 0,
    };
  }

  const clock = () => Math.floor(performance.now() - life.since) + 1;

  function end(each, how) {
    life.running.delete(each.name);
    ledger.ended(each.begun, how);
    life.ended.push({ number: ++life.ends, each, how });
    if (!each.gang) return;
    each.gang.members.delete(each);
    const others = how === "done" ? "done" : "broken";
    for (const member of [...each.gang.members]) member.finish(others);
  }

  /** Ends what has come to its end at this moment. */
  function poll() {
    if (!life) return;
    if (clock() >= life.leaseUntil) {
      for (const { each } of life.ended) each.begun.lapsed = true;
    }
    for (const each of [...life.running.values()]) {
      if (!life.running.has(each.name)) continue;
      const how = outcomeOf(each);
      if (how === "crash") return void crash(each);
      if (how) end(each, how);
    }
  }

  function outcomeOf(each) {
    if (clock() >= life.leaseUntil) return "lapsed";
    if (each.stopAt !== undefined) {
      return clock() >= each.stopAt ? "stopped" : undefined;
    }
    const { gang, spec } = each;
    if (gang) {
      if (gang.members.size === parameter(spec, "gang")) {
        gang.assembledAt ??= performance.now();
      }
      if (gang.assembledAt === undefined) {
        return clock() - each.startedAt > GANG_TIMEOUT ? "alone" : undefined;
      }
    }
    const worked = gang
      ? performance.now() - gang.assembledAt
      : clock() - each.startedAt;
    const crashAfter = parameter(spec, "crash");
    if (crashAfter > 0 && worked >= crashAfter) return "crash";
    return worked >= parameter(spec, "work") ? "done" : undefined;
  }

  /** The process ends at once, and another life of it begins later. */
  async function crash(cause) {
    const lost = [...life.running.values()];
    life = undefined;
    server.close();
    ledger.note(`${id} crashed under ${cause.task} run ${cause.begun.run}`);
    for (const each of lost) {
      each.begun.crashed = each === cause;
      ledger.ended(each.begun, "crash of the worker");
      // The worker of each other member crashes by itself, or breaks its run.
      each.gang?.members.delete(each);
    }
    await sleep(DOWN_TIME);
    if (!closed) await begin();
  }

  function start(body) {
    const { task, run, spec, untilMs } = body;
    if (untilMs <= clock()) return refuse("late");
    extendLease(untilMs);
    const name = `${task}#${run}`;
    if (life.running.has(name)) return accept();
    if ((life.highest.get(task) ?? 0) >= run) return refuse("old");
    life.highest.set(task, run);
    const begun = ledger.started({ worker: id, task, run, spec });
    const own = life;
    const each = { name, task, spec, begun, startedAt: clock() };
    each.finish = (how) => {
      if (life === own && life.running.has(name)) end(each, how);
    };
    if (parameter(spec, "gang") > 0) {
      each.gang = fleet.gangOf({ task, run });
      each.gang.members.add(each);
    }
    life.running.set(name, each);
    return accept();
  }

  function stop({ task, run }) {
    life.highest.set(task, Math.max(life.highest.get(task) ?? 0, run));
    for (const each of life.running.values()) {
      if (each.task !== task || each.begun.run > run) continue;
      each.stopAt ??= clock() + STOP_TIME;
    }
    return accept();
  }

  function extendLease(untilMs) {
    const longest = Math.min(untilMs, clock() + LONGEST_LEASE);
    life.leaseUntil = Math.max(life.leaseUntil, longest);
  }

  async function hold({ untilMs, lastSeen, waitMs }) {
    const own = life;
    if (untilMs !== undefined) extendLease(untilMs);
    for (const { number, each } of own.ended) {
      if (number <= lastSeen) ledger.seen(each.begun);
    }
    own.ended = own.ended.filter(({ number }) => number > lastSeen);
    const last = performance.now() + Math.min(waitMs ?? 0, 2000);
    while (own.ended.length === 0 && performance.now() < last) {
      await sleep(POLL_INTERVAL);
      if (life !== own) return undefined;
    }
    return {
      status: 200,
      body: {
        clockMs: clock(),
        born: own.born,
        running: [...own.running.values()].map((each) => [
          each.task,
          each.begun.run,
          "",
          percentOf(each),
          0,
        ]),
        ended: own.ended.slice(0, ENDS_PER_ANSWER).map((
          { number, each, how },
        ) => [number, each.task, each.begun.run, how, ""]),
      },
    };
  }

  function percentOf({ spec, startedAt, gang }) {
    const work = parameter(spec, "work");
    const worked = gang
      ? performance.now() - (gang.assembledAt ?? performance.now())
      : clock() - startedAt;
    return Math.min(99, Math.floor(100 * worked / work));
  }

  const accept = () => answer(200, {});
  const refuse = (reason) => answer(409, { reason });
  const answer = (status, body) => ({
    status,
    body: { clockMs: clock(), born: life.born, ...body },
  });

  function handle({ path, headers, body }) {
    if (!life) return undefined;
    if (headers["expected-instance"] !== id) return answer(421, {});
    if ((body.fencingToken ?? 0) < life.fence) return refuse("fence");
    life.fence = body.fencingToken ?? 0;
    if (path === "/run-start") return start(body);
    if (path === "/run-stop") return stop(body);
    if (path === "/hold") return hold(body);
    return { status: 404 };
  }

  async function begin() {
    life = createLife();
    sequence = 0;
    server = await startJsonServer({ host, port, handle });
    ledger.note(`${id} is up, born ${life.born}`);
    void beat();
  }

  async function beat() {
    if (!life) return;
    await call({
      address: controlPlane,
      method: "PUT",
      path: `/instances/${id}`,
      timeout: HEARTBEAT_TIMEOUT,
      body: describe(),
    });
  }

  function describe() {
    return {
      service,
      address: `${host}:${port}`,
      zone: "zone-a",
      version: "v1",
      slots: 8,
      state: "ready",
      warmupLeftMs: 0,
      capacity: CAPACITY,
      labels: ["a", rack],
      clockMs: clock(),
      born: life.born,
      sequence: ++sequence,
    };
  }

  const pollTimer = setInterval(poll, POLL_INTERVAL);
  const beatTimer = setInterval(() => void beat(), HEARTBEAT_INTERVAL);
  await begin();
  return {
    id,
    host,
    /** Number of runs that are at work now. */
    running: () => life ? life.running.size : 0,
    close: () => {
      closed = true;
      life = undefined;
      clearInterval(pollTimer);
      clearInterval(beatTimer);
      server.close();
    },
  };
}
