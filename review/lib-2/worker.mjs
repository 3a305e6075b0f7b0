// Stand-in of a worker: takes starts, stops and holds from its agent, keeps the
// lease, runs tasks and sends heartbeats.

import { Buffer } from "node:buffer";
import { createServer, request } from "node:http";

const LONGEST_LEASE = 10_000;
const POLL_INTERVAL = 10;
/** Time for which a worker is down after a crash, in milliseconds. */
const CRASH_TIME = 2000;

/**
 * Starts a worker on a free port of `host`. `work` tells for how long a task
 * runs, in milliseconds, and how it ends: `{ duration, how }`; tasks run until
 * they are stopped if the duration is infinite. One that ends by "crash" takes
 * its worker along.
 */
export async function startWorker({
  id: firstId,
  host,
  service,
  record,
  work,
  capacity = { cpu: 32_000, memMb: 131_072, gpu: 8 },
  heartbeatInterval = 1500,
}) {
  let started = Date.now();
  let born = started;
  let id = firstId;
  let incarnation = 1;
  let down = false;
  const running = new Map();
  const highest = new Map();
  let ended = [];
  let endCount = 0;
  let leaseUntil = 0;
  let fence = 0;
  let sequence = 0;
  const wake = new Set();

  const clock = () => Date.now() - started;
  const refuse = (reason) => ({
    status: 409,
    body: { clockMs: clock(), reason },
  });
  const accept = () => ({ status: 200, body: { clockMs: clock() } });

  function end(run, how) {
    running.delete(run.task);
    const checkpoint = worker.checkpointOf(run);
    ended.push([++endCount, run.task, run.run, how, checkpoint]);
    record("end", { worker: id, task: run.task, run: run.run, how });
    for (const resume of [...wake]) resume();
  }

  function extend(until) {
    const limit = clock() + LONGEST_LEASE;
    leaseUntil = Math.max(leaseUntil, Math.min(until, limit));
  }

  function start({ task, run, spec, untilMs }) {
    if (untilMs <= clock()) return refuse("late");
    extend(untilMs);
    if (running.get(task)?.run === run) return accept();
    if ((highest.get(task) ?? 0) >= run) return refuse("old");
    highest.set(task, run);
    const { duration, how = "done" } = work(task, run);
    const entry = { task, run, spec, at: Date.now(), duration, how };
    running.set(task, entry);
    record("start", { worker: id, task, run });
    worker.onStart(task, run);
    return accept();
  }

  function stop({ task, run }) {
    highest.set(task, Math.max(highest.get(task) ?? 0, run));
    const present = running.get(task);
    if (present && present.run <= run) end(present, "stopped");
    return accept();
  }

  async function hold({ untilMs, lastSeen, waitMs = 0 }) {
    if (untilMs !== undefined) extend(untilMs);
    ended = ended.filter(([number]) => number > lastSeen);
    const limit = Date.now() + waitMs;
    while (ended.length === 0 && Date.now() < limit) {
      await new Promise((resolve) => {
        const resume = () => {
          clearTimeout(timer);
          wake.delete(resume);
          resolve();
        };
        const timer = setTimeout(resume, Math.max(1, limit - Date.now()));
        wake.add(resume);
      });
    }
    const list = [...running.values()].map((each) => {
      const share = each.duration === Infinity
        ? 100
        : 100 * (Date.now() - each.at) / each.duration;
      const checkpoint = worker.checkpointOf(each);
      return [
        each.task,
        each.run,
        checkpoint,
        Math.min(100, Math.floor(share)),
      ];
    });
    return {
      status: 200,
      body: {
        clockMs: clock(),
        born,
        running: list,
        ended: ended.slice(0, 500),
      },
    };
  }

  function carryOut(path, body) {
    if ((body.fencingToken ?? 0) < fence) return refuse("fence");
    fence = body.fencingToken ?? 0;
    if (path === "/run-start") return start(body);
    if (path === "/run-stop") return stop(body);
    return hold(body);
  }

  const server = createServer(async (incoming, response) => {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    if (incoming.headers["expected-instance"] !== id) {
      return response.writeHead(421).end();
    }
    const body = JSON.parse(Buffer.concat(chunks).toString() || "{}");
    const reply = await worker.handle(
      { path: incoming.url, body },
      () => carryOut(incoming.url, body),
    );
    if (!reply || response.destroyed) return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  const timer = setInterval(() => {
    for (const run of [...running.values()]) {
      if (clock() >= leaseUntil) end(run, "lapsed");
      else if (Date.now() - run.at < run.duration) continue;
      else if (run.how === "crash") return crash(run);
      else end(run, run.how);
    }
  }, POLL_INTERVAL);

  /**
   * Ends the incarnation, under a run if there is a `cause`; another one is back
   * after a while.
   */
  function crash(cause) {
    const lost = [...running.keys()];
    record("crash", { worker: id, task: cause?.task, run: cause?.run, lost });
    if (cause) worker.onCrash(cause.task, cause.run);
    running.clear();
    highest.clear();
    ended = [];
    endCount = 0;
    leaseUntil = 0;
    fence = 0;
    sequence = 0;
    down = true;
    server.closeAllConnections();
    server.close();
    setTimeout(() => {
      if (stopped) return;
      id = `${firstId}-${++incarnation}`;
      started = Date.now();
      born = started;
      server.listen(Number(address.split(":")[1]), host, () => {
        down = false;
        record("back", { worker: id });
        beat();
      });
    }, CRASH_TIME);
  }
  let beats;
  let beat = () => {};
  let stopped = false;

  const worker = {
    get id() {
      return id;
    },
    address,
    onStart: () => {},
    onCrash: () => {},
    /** Checkpoint that a run has made; a case may replace it. */
    checkpointOf: () => "",
    crash: () => crash(),
    running,
    /** Carries a call out; a case may replace it. */
    handle: (_call, go) => go(),
    /** Sends heartbeats to the agent at `target` ("host:port"). */
    startHeartbeats: (target) => {
      const [agentHost, port] = target.split(":");
      beat = () => {
        if (down) return;
        const call = request({
          host: agentHost,
          port,
          method: "PUT",
          path: `/instances/${id}`,
          headers: { "content-type": "application/json" },
          timeout: 1000,
        }, (response) => response.resume());
        call.on("error", () => {});
        call.on("timeout", () => call.destroy());
        call.end(JSON.stringify({
          service,
          address,
          zone: "kigali-a",
          version: "v1",
          slots: 8,
          state: "ready",
          warmupLeftMs: 0,
          capacity,
          labels: ["a", "r1-1"],
          born,
          clockMs: clock(),
          sequence: ++sequence,
        }));
      };
      beat();
      beats = setInterval(() => beat(), heartbeatInterval);
    },
    stop: () => {
      stopped = true;
      clearInterval(timer);
      clearInterval(beats);
      server.closeAllConnections();
      server.close();
    },
  };
  return worker;
}
