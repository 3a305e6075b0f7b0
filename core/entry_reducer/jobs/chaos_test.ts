import { test } from "tap";
import fc from "fast-check";
import { hasEnded } from "./context.ts";
import { jobsSettled } from "./handover.ts";
import { buildSpec, World } from "./testing.ts";
import type { Agent } from "./testing.ts";

const seed = 31;
const runs = 150;
/**
 * Milliseconds for which a gang may run in part: its lease, the session timeout
 * for a message, the grace period, and one tick of the agents.
 */
const longestPartialRun = 15_100;

/** A step of the test: `pick` chooses what it acts on. */
interface Action {
  kind: string;
  pick: number;
  wait: number;
}

/** A small cluster with random faults, and checks that must always hold. */
class Chaos {
  readonly world: World;
  readonly specs = new Map<string, ReturnType<typeof buildSpec>>();
  #partialSince = new Map<string, number>();
  #incarnation = 1;

  constructor(seed: number) {
    this.world = new World(seed, 6);
    for (const id of ["e1", "e2"]) this.world.addEntry(id);
    this.world.check = () => this.check();
    this.world.run(4000);
  }

  apply({ kind, pick, wait }: Action): void {
    const { world } = this;
    const agents = [...world.agents.values()];
    const agent = agents[pick % agents.length] as Agent;
    const entries = [...world.entries.keys()];
    const entry = entries[pick % entries.length] as string;
    const jobs = [...this.specs.keys()];
    const job = jobs[pick % Math.max(1, jobs.length)] ?? "";
    if (kind === "submit") this.submit(entry, pick);
    if (kind === "cancel") world.reduce(entry, { kind: "jobCancelled", job });
    if (kind === "finish") world.end(job, "finished");
    if (kind === "finish-one") world.running(job)[0]?.end(job, "finished");
    if (kind === "fail") world.end(job, "failed");
    if (kind === "agent") {
      if (agent.up) world.failAgent(agent);
      else world.reconnect(agent);
    }
    if (kind === "silent") {
      if (agent.silent) world.reconnect(agent);
      else world.silence(agent);
    }
    if (kind === "store") {
      const modes = ["up", "down", "answers-lost", "refused"] as const;
      world.storeMode = modes[pick % 4] ?? "up";
    }
    if (kind === "entry") {
      if (entries.length > 1) world.failEntry(entry);
      else world.addEntry(pick % 2 ? "e1" : "e3", ++this.#incarnation);
    }
    if (kind === "pause" && entries.length > 1) {
      world.pauseEntry(entry, 20 * pick);
    }
    if (kind === "shutdown") this.shutDown(entry);
    world.run(wait);
  }

  /** Shuts an entry down, which must settle within 10 s. */
  shutDown(entry: string): void {
    const { world } = this;
    world.reduce(entry, { kind: "stopRequested" });
    const deadline = world.now + 10_000;
    while (!jobsSettled(world.entry(entry).state)) {
      if (world.now > deadline) throw new Error(`${entry} doesn't settle`);
      world.run(100);
    }
    world.failEntry(entry, 0);
    if (world.entries.size === 0) world.addEntry("e4", ++this.#incarnation);
  }

  submit(entry: string, pick: number): void {
    const job = `j${this.specs.size}`;
    const spec = buildSpec(1 + pick % 3, 8, {
      idempotent: pick % 4 !== 0,
      revocable: pick % 5 !== 0,
      team: pick % 2 ? "a" : "b",
      class: pick % 7 === 0 ? "plan" : "batch",
    });
    this.specs.set(job, spec);
    this.world.submit(entry, job, spec);
  }

  /**
   * Checks that no member runs twice, no gang runs in part for too long, no
   * non-idempotent job starts twice, and no refused job starts.
   */
  check(): void {
    const { world } = this;
    for (const [job, spec] of this.specs) {
      const members = world.running(job).flatMap((agent) =>
        agent.runs.get(job)?.members.map((one) => one.member) ?? []
      );
      if (new Set(members).size < members.length) {
        throw new Error(`${job} runs twice at ${world.now}`);
      }
      const finished = [...world.agents.values()].flatMap((agent) =>
        agent.ended.get(job)?.filter((one) =>
          one.state === "finished"
        ) ?? []
      ).length;
      const known = members.length + finished;
      const partial = members.length > 0 && known < spec.members;
      if (!partial) this.#partialSince.delete(job);
      const since = this.#partialSince.get(job) ?? world.now;
      if (partial) this.#partialSince.set(job, since);
      if (world.now > since + longestPartialRun) {
        throw new Error(`${job} runs in part since ${since}`);
      }
      const starts = world.starts.filter((start) => start === `${job}/0`);
      if (!spec.idempotent && starts.length > 1) {
        throw new Error(`${job} started ${starts.length} times`);
      }
      const answer = world.answers.get(job) ?? "";
      if (!["", "accepted", "unknown"].includes(answer) && starts.length > 0) {
        throw new Error(`${job} ran though its caller was told ${answer}`);
      }
    }
  }

  /**
   * Repairs all faults, and runs until every job has ended. Then the stored
   * states must agree with the answers to the submissions.
   */
  heal(): void {
    const { world } = this;
    world.storeMode = "up";
    for (const agent of world.agents.values()) {
      if (!agent.up || agent.silent) world.reconnect(agent);
    }
    for (let round = 0; round < 150; round++) {
      const open = [...world.store].filter(([, { record }]) =>
        !hasEnded(record.state)
      );
      if (open.length === 0) break;
      for (const job of this.specs.keys()) world.end(job, "finished");
      world.run(1000);
    }
    for (const [job, answer] of world.answers) {
      const state = world.store.get(job)?.record.state;
      if (answer === "accepted" && !state) {
        throw new Error(`accepted job ${job} is not in the store`);
      }
      if (state && !hasEnded(state)) {
        throw new Error(`job ${job}, told ${answer}, is ${state}`);
      }
      if (state && !["accepted", "unknown"].includes(answer)) {
        throw new Error(`job ${job}, told ${answer}, is in the store`);
      }
    }
  }
}

// Guards against jobs that run twice, run in part, run although they were
// refused, or are lost, under faults in any order.
test(`faults in any order break no invariant (seed ${seed})`, (t) => {
  const action = fc.record({
    kind: fc.constantFrom(
      ...[
        "submit",
        "submit",
        "submit",
        "cancel",
        "finish",
        "finish-one",
        "fail",
      ],
      ...["agent", "silent", "store", "entry", "shutdown", "pause"],
    ),
    pick: fc.nat(1000),
    wait: fc.constantFrom(10, 100, 1000, 5000, 12_000),
  });
  const actions = fc.array(action, { minLength: 10, maxLength: 40 });
  let started = 0;
  fc.assert(
    fc.property(fc.integer(), actions, (world, list) => {
      const chaos = new Chaos(world);
      for (const one of list) chaos.apply(one);
      chaos.heal();
      started += chaos.world.starts.length;
    }),
    { seed, numRuns: runs },
  );
  t.ok(started > runs, `${started} members started`);
  t.end();
});
