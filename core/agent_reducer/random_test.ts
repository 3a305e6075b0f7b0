import { test } from "tap";
import fc from "fast-check";
import type {
  AgentEffect,
  AgentMessage,
  AttemptId,
  EntryMessage,
  RunId,
  TaskId,
} from "@dragonflyledge/model";
import { attemptKey } from "./state.ts";
import {
  Agent,
  attempt,
  configuration,
  foundMember,
  homesTable,
  reserve,
} from "./setup_for_tests.ts";

/** A task that runs on the simulated worker. */
interface Task {
  id: TaskId;
  accelerators: number[];
  leaseUntil: number;
  stopping: boolean;
}

const taskKey = (id: TaskId) => `${id.run.epoch}/${id.run.job}/${id.member}`;
const key = attemptKey;

/**
 * Simulates the worker, endpoint and entries around an agent. It records by
 * itself what runs, and throws an error if an effect contradicts that.
 */
class Simulation {
  readonly agent = new Agent();
  readonly tasks = new Map<string, Task>();
  /** Open endpoint calls, by `attemptKey`. */
  readonly calls = new Map<string, AttemptId>();
  /** Keys of all attempts whose endpoint was ever called. */
  readonly called = new Set<string>();
  /** Key of the attempt that ran or may have run, by request. */
  readonly mayHaveRun = new Map<string, string>();
  /** Keys of attempts that entries were told will never run. */
  readonly denied = new Set<string>();
  /** Sequence numbers that an entry received, by entry and attempt. */
  readonly received = new Map<string, Set<number>>();
  /** Entries with a session. */
  readonly entries = new Set<string>();
  /** Number of effects by kind, with messages under their own kind. */
  readonly seen: Record<string, number> = {};
  /** Runs for which the agent sent `reserved`. */
  reserved: RunId[] = [];
  leaving = false;
  exits = 0;
  steps = 0;

  check(holds: boolean, text: string): void {
    if (!holds) throw new Error(text);
  }

  apply(event: Parameters<Agent["event"]>[0]): void {
    const effects = this.agent.event(event);
    for (const effect of effects) this.perform(effect);
    for (const task of this.tasks.values()) {
      const lapsed = this.agent.now >= task.leaseUntil;
      this.check(
        !lapsed || task.stopping,
        "a task runs after its lease has lapsed",
      );
    }
    this.leaving = this.agent.core.state.leaving;
    const reports = effects.filter((one) =>
      one.kind === "send" && one.message.kind === "report"
    );
    this.check(
      reports.length <= this.entries.size,
      "an entry got two reports for one event",
    );
  }

  send(entry: string, message: EntryMessage): void {
    if (!this.entries.has(entry)) return;
    this.apply({ kind: "message", entry, message });
  }

  perform(effect: AgentEffect): void {
    const kind = effect.kind === "send" ? effect.message.kind : effect.kind;
    this.seen[kind] = (this.seen[kind] ?? 0) + 1;
    if (effect.kind === "send") this.receive(effect.entry, effect.message);
    else if (effect.kind === "callEndpoint") this.call(effect.attempt);
    else if (effect.kind === "startTask") this.start(effect);
    else if (effect.kind === "renewTask") {
      const task = this.tasks.get(taskKey(effect.task))!;
      task.leaseUntil = this.agent.now + effect.lease;
    } else if (effect.kind === "stopTask") {
      const task = this.tasks.get(taskKey(effect.task));
      if (task) task.stopping = true;
    } else if (effect.kind === "exit") this.exits++;
  }

  call(id: AttemptId): void {
    this.check(!this.leaving, "a leaving agent called its endpoint");
    this.check(!this.called.has(key(id)), "an attempt was called twice");
    this.check(
      !this.denied.has(key(id)),
      "an attempt reported as not run was called",
    );
    this.check(!this.mayHaveRun.has(id.request), "a request ran twice");
    this.check(this.calls.size < 3, "more calls than slots");
    this.mayHaveRun.set(id.request, key(id));
    this.called.add(key(id));
    this.calls.set(key(id), id);
  }

  start(effect: AgentEffect & { kind: "startTask" }): void {
    const { accelerators, run, revocable, team } = effect.report;
    this.check(!this.leaving, "a leaving agent started a task");
    for (const task of this.tasks.values()) {
      const shared = task.accelerators.some((one) =>
        accelerators.includes(one)
      );
      this.check(!shared, "an accelerator is used twice");
      const older = task.id.run.job === run.job &&
        task.id.run.epoch < run.epoch;
      this.check(!older, "a job runs under two epochs");
    }
    const homes = this.agent.core.state.homes?.homes ?? [];
    const foreign = homes.some((home) =>
      home.team !== team &&
      home.parts.some((part) =>
        part.worker === "w1" &&
        part.accelerators.some((one) => accelerators.includes(one))
      )
    );
    this.check(
      revocable || !foreign,
      "a non-revocable task runs on the home of another team",
    );
    this.run(effect.task, accelerators);
    this.check(
      this.tasks.size * 3 <= 32,
      "tasks need more cores than the worker has",
    );
  }

  run(id: TaskId, accelerators: number[]): void {
    const leaseUntil = this.agent.now + 10_000;
    const task = { id, accelerators, leaseUntil, stopping: false };
    this.tasks.set(taskKey(id), task);
  }

  receive(entry: string, message: AgentMessage): void {
    this.check(
      this.entries.has(entry),
      "a message was sent to an entry without a session",
    );
    const absent = message.kind === "attemptState" &&
      message.state === "absent";
    if (message.kind === "attemptRefused" || absent) {
      const { attempt } = message;
      const running = this.mayHaveRun.get(attempt.request) === key(attempt);
      this.check(!running, "an attempt that ran was reported as not run");
      this.denied.add(key(attempt));
    }
    if (message.kind === "reserved") this.reserved.push(message.run);
    if (message.kind !== "attemptAnswer") return;
    const name = `${entry} ${key(message.attempt)}`;
    const seen = this.received.get(name) ?? new Set();
    this.received.set(name, seen.add(message.sequence));
    const whole = !message.last || seen.size === message.sequence + 1;
    this.check(whole, "an answer lacks pieces");
  }

  connect(entry: string): void {
    this.lose(entry);
    this.entries.add(entry);
    for (const effect of this.agent.connect(entry)) this.perform(effect);
  }

  lose(entry: string): void {
    if (!this.entries.has(entry)) return;
    this.apply({ kind: "entryLost", entry });
    this.entries.delete(entry);
    // Pieces in flight are lost with the session.
    for (const name of this.received.keys()) {
      if (name.startsWith(`${entry} `)) this.received.delete(name);
    }
  }

  answer(pick: number, last: boolean): void {
    const attempt = [...this.calls.values()][pick % this.calls.size];
    if (attempt === undefined) return;
    if (last) this.calls.delete(key(attempt));
    const piece = new Uint8Array(pick % 100_000);
    const head = { status: 200, contentType: "", piece, last };
    this.apply({ kind: "endpointAnswer", attempt, ...head });
  }

  fail(pick: number, sent: boolean): void {
    const attempt = [...this.calls.values()][pick % this.calls.size];
    if (attempt === undefined) return;
    this.calls.delete(key(attempt));
    // A call that answered was sent, whatever the event says.
    const answered = this.agent.core.attempts.get(key(attempt))?.sequence;
    if (!sent && !answered) this.mayHaveRun.delete(attempt.request);
    this.apply({ kind: "endpointFailed", attempt, sent, cause: "" });
  }

  end(pick: number, ending: "finished" | "failed" | "stopped"): void {
    const task = [...this.tasks.values()][pick % this.tasks.size]?.id;
    if (task === undefined) return;
    this.tasks.delete(taskKey(task));
    this.apply({ kind: "taskEnded", task, ending, cause: "" });
  }
}

/** One random step: which kind, on what, with which size and choice. */
type Step = [op: number, pick: number, size: number, flag: boolean];

/** Carries out a step, with ids and times derived from its numbers. */
function applyStep(simulation: Simulation, [op, pick, size, flag]: Step): void {
  const entry = `e${pick % 3}`;
  const stepNumber = simulation.steps++;
  const id = {
    request: `r${(stepNumber >> 4) + pick % 8}`,
    number: 1 + size % 3,
  };
  const run = { job: `j${pick % 6}`, epoch: 1 + (stepNumber >> 5) + size % 3 };
  const first = pick % 8;
  const lists = Array.from({ length: 1 + size % 2 }, (_, member) => [
    (first + member) % 8,
  ]);
  const document = configuration(size);
  const homes = homesTable(size, {
    a: [first],
    b: [(first + 1) % 8, (first + 2) % 8],
  });
  const tasks = [...simulation.tasks.values()];
  const runningTask = tasks[pick % tasks.length]?.id;
  const reservedRun = simulation.reserved.at(-1 - pick % 4) ?? run;
  const runOfTask = runningTask === undefined ? run : {
    job: runningTask.run.job,
    epoch: runningTask.run.epoch + (size % 8 === 0 ? 1 : 0),
  };
  const reserveMessage = reserve(run.job, lists, {
    epoch: run.epoch,
    team: "abc"[size % 3]!,
    urgent: size % 5 === 0,
    revocable: flag,
    perMember: { accelerators: 1, cores: 3, memoryMiB: 64 },
  });
  const steps: (() => void)[] = [
    () => simulation.connect(entry),
    () =>
      simulation.send(entry, {
        ...attempt(id.request, { number: id.number, urgent: flag }),
        remaining: 200 + size * 10,
      }),
    () => simulation.send(entry, { kind: "cancelAttempt", attempt: id }),
    () => simulation.send(entry, { kind: "queryAttempt", attempt: id }),
    () => simulation.answer(pick + size, flag),
    () => simulation.fail(pick, flag),
    () => simulation.send(entry, reserveMessage),
    () => {
      simulation.send(entry, reserveMessage);
      simulation.send(entry, { kind: "commit", run, lease: 10_000 });
    },
    () =>
      simulation.send(entry, {
        kind: "commit",
        run: reservedRun,
        lease: 10_000,
      }),
    () =>
      simulation.send(entry, { kind: "renew", run: runOfTask, lease: 10_000 }),
    () => simulation.send(entry, { kind: "release", run: reservedRun }),
    () =>
      simulation.send(entry, {
        kind: "stop",
        run: runOfTask,
        checkpoint: flag,
      }),
    () =>
      runningTask &&
      simulation.apply({ kind: "taskCheckpointed", task: runningTask }),
    () => simulation.end(pick, flag ? "stopped" : "finished"),
    () => simulation.apply({ kind: "tick" }),
    () => size % 4 === 0 && simulation.lose(entry),
    () => simulation.send(entry, homes),
    () => simulation.send(entry, document),
    () =>
      simulation.apply({
        kind: "usage",
        cores: size,
        memoryMiB: 1,
        age: 5,
      }),
    () =>
      stepNumber > 900 && size === 7 &&
      simulation.send(entry, { kind: "drain" }),
  ];
  simulation.agent.now += size % 20 === 0 ? size * 40 : size % 10;
  steps[op % steps.length]!();
}

/** Stops the agent and ends everything that runs: it must exit once. */
function finish(simulation: Simulation): void {
  simulation.apply({ kind: "stopRequested" });
  while (simulation.calls.size > 0) simulation.answer(0, true);
  simulation.agent.now += 5000;
  simulation.apply({ kind: "tick" });
  while (simulation.tasks.size > 0) simulation.end(0, "stopped");
  simulation.apply({ kind: "stopRequested" });
  simulation.check(simulation.exits === 1, "the agent did not exit once");
}

const sequences = fc.array(
  fc.tuple(fc.nat(19), fc.nat(1000), fc.nat(100), fc.boolean()),
  { minLength: 1, maxLength: 1500, size: "max" },
);

// Guards against sequences of events after which work runs twice, runs without
// capacity or lease, or is reported as not run although it ran.
for (const seed of [20261, 20262, 20263]) {
  test(`no sequence of events violates a guarantee, seed ${seed}`, (t) => {
    const seen: Record<string, number> = {};
    const result = fc.check(
      fc.property(sequences, fc.boolean(), (sequence, restarted) => {
        const simulation = new Simulation();
        if (restarted) reportFoundTasks(simulation);
        for (const one of sequence) applyStep(simulation, one);
        finish(simulation);
        for (const [kind, times] of Object.entries(simulation.seen)) {
          seen[kind] = (seen[kind] ?? 0) + times;
        }
      }),
      { seed, numRuns: 400 },
    );
    t.equal(result.errorInstance, null, JSON.stringify(result.counterexample));
    t.comment(`seed ${seed}: ${JSON.stringify(seen)}`);
    for (const kind of ["callEndpoint", "reclaimNotice", "startTask"]) {
      t.ok(seen[kind]! > 100, `${kind} occurs`);
    }
    t.end();
  });
}

/** Lets the agent find tasks at its start, as after a restart. */
function reportFoundTasks(simulation: Simulation): void {
  const reports = [
    foundMember("j0"),
    foundMember("j1", { accelerators: [4], epoch: 2, revocable: false }),
  ];
  for (const report of reports) simulation.run(report, report.accelerators);
  simulation.apply({ kind: "tasksFound", members: reports });
}
