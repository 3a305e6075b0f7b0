import fc from "fast-check";
import { test } from "tap";
import type {
  AgentMessage,
  Attempt,
  AttemptState,
  Claim,
  ClaimResult,
  EntryEffect,
  EntryMessage,
  Outcome,
} from "@dragonflyledge/model";
import { answer, createHarness, report } from "../test_support.ts";
import { CANCEL_TIMEOUT } from "./wake.ts";

const WORKERS = ["w0", "w1", "w2"];
const SLOTS = 2;
/** Milliseconds by which one step moves time forward. */
const STEP = 7;
/**
 * Number of idempotency keys. It is even, so that all requests of a key, whose
 * random numbers have the same parity, are idempotent or none is.
 */
const KEYS = 60;
const LONGEST_DEADLINE = 3000;

type StoreCall = EntryEffect & { kind: "claim" | "readClaim" | "settleClaim" };
const isStoreCall = (effect: EntryEffect): effect is StoreCall =>
  /claim/i.test(effect.kind);

/** An attempt that a simulated agent has started. */
interface FakeRun {
  attempt: Attempt;
  state: AttemptState["state"];
}

/** Simulated agent that may lose its session, its process and messages. */
class FakeAgent {
  incarnation = 1;
  connected = false;
  inbox: EntryMessage[] = [];
  outbox: AgentMessage[] = [];
  runs = new Map<string, FakeRun>();
  tombstones = new Set<string>();
  constructor(readonly worker: string, readonly world: World) {}

  running = () =>
    [...this.runs.values()].filter((each) => each.state === "running");

  disconnect() {
    this.connected = false;
    this.inbox = [];
    // Messages in transit are lost; later ones are sent after a reconnection.
    this.outbox.splice(0, 2);
  }

  restart() {
    this.disconnect();
    this.outbox = [];
    this.incarnation++;
    this.runs.clear();
    this.tombstones.clear();
  }

  receive() {
    const message = this.inbox.shift();
    if (message === undefined || !("attempt" in message)) return;
    const { attempt } = message;
    const key = `${attempt.request} ${attempt.number}`;
    const run = this.runs.get(key);
    if (message.kind === "attempt") return this.start(key, message);
    if (run === undefined) this.tombstones.add(key);
    else if (message.kind === "cancelAttempt" && run.state === "running") {
      run.state = "cancelled";
    }
    const state = run?.state ?? "absent";
    this.outbox.push({ kind: "attemptState", attempt, state });
  }

  start(key: string, message: Attempt) {
    const { attempt } = message;
    const refuse = (reason: "busy" | "tombstoned" | "stale-incarnation") =>
      this.outbox.push({ kind: "attemptRefused", attempt, reason });
    if (message.incarnation !== this.incarnation) {
      return refuse("stale-incarnation");
    }
    if (this.tombstones.has(key)) return refuse("tombstoned");
    if (this.running().length >= SLOTS) return refuse("busy");
    this.world.ran(attempt.request, key);
    this.runs.set(key, { attempt: message, state: "running" });
    this.outbox.push({ kind: "attemptAccepted", attempt });
    return this.report();
  }

  finish(choice: number) {
    const run = this.running()[0];
    if (run === undefined) return;
    const { attempt } = run.attempt;
    if (choice % 5 === 0) {
      run.state = "broken";
      this.outbox.push({ kind: "attemptBroken", attempt, cause: "reset" });
      return this.report();
    }
    run.state = "done";
    const status = choice % 7 === 0 ? 500 : 200;
    const text = new TextEncoder().encode(attempt.request);
    for (let sequence = 0; sequence <= text.length; sequence++) {
      const last = sequence === text.length;
      const piece = text.subarray(sequence, sequence + 1);
      this.outbox.push(answer(attempt, { status, sequence, last, piece }));
    }
    return this.report();
  }

  report() {
    const slotsByClass: Record<string, number> = {};
    for (const { attempt } of this.running()) {
      slotsByClass[attempt.class] = (slotsByClass[attempt.class] ?? 0) + 1;
    }
    const { incarnation, worker } = this;
    const slotsUsed = this.running().length;
    const fields = { incarnation, slotsUsed, slotsByClass };
    this.outbox.push(report(worker, fields));
  }
}

/** One entry with simulated agents and store, driven by random numbers. */
class World {
  h = createHarness();
  /** Time of the entry in milliseconds. */
  now = 0;
  agents = new Map(WORKERS.map((id) => [id, new FakeAgent(id, this)]));
  /** Attempts that ran, by request. */
  runs = new Map<string, string[]>();
  /** What was asked, by request; `by` is the deadline. */
  requests = new Map<
    string,
    { idempotent: boolean; key?: string; by: number }
  >();
  responses = new Map<string, Outcome[]>();
  store = new Map<string, Claim>();
  /** Keys whose work another entry runs. */
  runsElsewhere = new Set<string>();
  /** Calls that the store has not answered yet. */
  calls: StoreCall[] = [];

  ran(request: string, key: string) {
    this.runs.set(request, [...this.runs.get(request) ?? [], key]);
  }

  apply(effects: EntryEffect[]) {
    for (const effect of effects) {
      if (effect.kind === "send") {
        const agent = this.agents.get(effect.worker)!;
        if (agent.connected && agent.incarnation === effect.incarnation) {
          agent.inbox.push(effect.message);
        }
      } else if (effect.kind === "respond") {
        const before = this.responses.get(effect.request) ?? [];
        this.responses.set(effect.request, [...before, effect.outcome]);
      } else if (isStoreCall(effect)) this.calls.push(effect);
    }
  }

  arrive(choice: number) {
    const id = `r${this.requests.size}`;
    const idempotent = choice % 2 === 0;
    // Each key is used for one kind of work only.
    const key = choice % 3 === 0 ? `k${choice % KEYS}` : undefined;
    const deadline = this.now + 50 + (choice * 37) % (LONGEST_DEADLINE - 50);
    this.requests.set(id, { idempotent, key, by: deadline });
    this.apply(this.h.request(id, {
      idempotent,
      idempotencyKey: key,
      deadline,
      class: choice % 5 === 0 ? "later" : "now",
    }));
  }

  connect(agent: FakeAgent) {
    if (agent.connected) return;
    agent.connected = true;
    const { incarnation, worker } = agent;
    this.apply(this.h.connect(worker, { incarnation, slots: SLOTS }));
    agent.report();
  }

  drop(agent: FakeAgent, restart: boolean, told: boolean) {
    const { connected, incarnation } = agent;
    if (restart) agent.restart();
    else agent.disconnect();
    if (connected && told) this.apply(this.h.lose(agent.worker, incarnation));
  }

  deliver(agent: FakeAgent) {
    if (!agent.connected) return;
    agent.receive();
    const message = agent.outbox.shift();
    if (message === undefined) return;
    const { worker, incarnation } = agent;
    this.apply(this.h.deliver(worker, message, incarnation));
  }

  /**
   * Answers one store call, picked at random. A claim may fail before or after
   * the write, and its answer may be lost.
   */
  answerStore(choice: number) {
    const [call] = this.calls.splice(choice % (this.calls.length || 1), 1);
    if (call === undefined) return;
    if (call.kind === "settleClaim") {
      const stored = this.store.get(call.claim.key);
      if (stored?.request === call.claim.request) {
        this.store.set(call.claim.key, call.claim);
      }
      return;
    }
    if (call.kind === "readClaim") {
      const claim = this.store.get(call.key);
      const { request } = call;
      this.apply(this.h.on({ kind: "claimRead", request, claim }));
      return;
    }
    const requests = call.claims.map((each) => each.request);
    if (choice % 5 === 0) {
      this.apply(this.h.on({ kind: "claimsAnswered", requests }));
      return;
    }
    const results = call.claims.map((claim) => this.claim(claim));
    const answered = choice % 5 === 1 ? undefined : results;
    if (choice % 7 === 0) return;
    this.apply(
      this.h.on({ kind: "claimsAnswered", requests, results: answered }),
    );
  }

  /** Stores a claim, unless the key is claimed already. */
  claim(claim: Claim): ClaimResult {
    const stored = this.store.get(claim.key);
    // A claim whose work did not run may be replaced.
    if (stored !== undefined && stored.outcome?.kind !== "not-run") {
      return { kind: "existing", claim: stored };
    }
    this.store.set(claim.key, claim);
    return { kind: "created" };
  }

  /** Another entry, live or dead, claims a key and runs its work. */
  claimElsewhere(choice: number) {
    const key = `k${choice % KEYS}`;
    if (this.store.has(key)) return;
    this.runsElsewhere.add(key);
    this.store.set(key, {
      team: "a",
      key,
      fingerprint: "f",
      request: "elsewhere",
      entry: choice % 4 < 2 ? "live" : "dead",
      incarnation: 1,
      created: "",
    });
  }

  /** Performs the step that `choice` stands for; faults can be left out. */
  step(choice: number, faults: boolean) {
    const agent = this.agents.get(WORKERS[choice % WORKERS.length]!)!;
    const detail = choice >> 5;
    switch (choice % 32) {
      case 0:
        // With more losses, all agents would be damped, and thus get no work,
        // for most of the run.
        if (faults && detail % 6 === 0) {
          this.drop(agent, detail % 4 === 0, detail % 5 !== 0);
        }
        return;
      case 1:
        if (faults && this.requests.size > 0) {
          const request = `r${detail % this.requests.size}`;
          this.apply(this.h.on({ kind: "callerLeft", request }));
        }
        return;
      case 2:
      case 3:
        return this.connect(agent);
      case 4:
      case 5:
        return this.answerStore(faults ? detail : 3);
      case 6:
        if (detail % 8 === 0) this.claimElsewhere(detail >> 3);
        return;
      case 7:
      case 8:
        return agent.finish(detail);
      default:
        if (choice % 32 < 12) return this.arrive(detail);
        if (choice % 32 < 17) {
          this.now += STEP;
          return this.apply(this.h.at(this.now));
        }
        for (let n = 0; n < 1 + detail % 6; n++) this.deliver(agent);
    }
  }

  /** Lets time pass until every request must have its outcome. */
  settle() {
    this.agents.forEach((agent) => this.connect(agent));
    const end = this.now + LONGEST_DEADLINE + CANCEL_TIMEOUT + STEP;
    while (this.now < end) {
      this.agents.forEach((agent) => {
        agent.finish(1);
        for (let n = 0; n < 20; n++) this.deliver(agent);
      });
      while (this.calls.length > 0) this.answerStore(3);
      this.now += STEP;
      this.apply(this.h.at(this.now));
    }
  }

  /** Throws if an outcome contradicts what ran, or if any state is left. */
  check() {
    const runsOfKey = new Map<string, number>();
    for (const [id, { idempotent, key }] of this.requests) {
      const runs = this.runs.get(id) ?? [];
      const outcomes = this.responses.get(id) ?? [];
      const outcome = outcomes[0];
      const fail = (text: string) => {
        throw new Error(`${id} ${text}: ${JSON.stringify({ runs, outcomes })}`);
      };
      if (outcomes.length !== 1) fail("has not exactly one outcome");
      if (outcome?.kind === "not-run" && runs.length > 0) fail("did run");
      if (!idempotent && runs.length > 1) fail("ran twice");
      if (!idempotent && key !== undefined) {
        const elsewhere = this.runsElsewhere.has(key) ? 1 : 0;
        const count = (runsOfKey.get(key) ?? elsewhere) + runs.length;
        runsOfKey.set(key, count);
        if (count > 1) fail(`of key ${key} ran twice`);
      }
      if (outcome && "answer" in outcome) {
        const author = new TextDecoder().decode(outcome.answer.body);
        const same = author === id ||
          (key !== undefined && this.requests.get(author)?.key === key);
        if (!same || !this.runs.has(author)) fail("got another answer");
      }
    }
    const { state } = this.h;
    const { open, byWorker, queue, timers, loads } = state.requests;
    const running = [...loads.values()].map((load) => load.running);
    const left = [open, byWorker, queue, timers].map((each) => each.size);
    if ([...left, ...running].some((count) => count !== 0)) {
      throw new Error(
        `requests, timers or slots are left over: ${left} ${running}`,
      );
    }
    for (const agent of state.agents.values()) {
      if (agent.slotsPromised.size > 0) throw new Error("promised slots leak");
    }
  }
}

/** Lists of random numbers, one for each step. */
const choices = (length: number) =>
  fc.array(fc.noBias(fc.nat(1 << 20)), {
    minLength: length,
    maxLength: length,
  });

/** Plays the steps, lets all requests end, and checks the result. */
function play(list: number[], faults: boolean): World {
  const world = new World();
  const live = { id: "live", incarnation: 1, address: "", httpAddress: "" };
  world.h.on({ kind: "entriesSeen", entries: [live] });
  WORKERS.forEach((id) => world.connect(world.agents.get(id)!));
  list.forEach((choice) => world.step(choice, faults));
  world.settle();
  world.check();
  return world;
}

// Guards against any order of lost sessions, agent restarts, store failures
// and leaving callers after which an outcome contradicts what the agents ran.
test("outcomes are true under random faults", (t) => {
  const kinds = new Map<string, number>();
  for (const seed of [11, 12, 13]) {
    t.comment(`seed ${seed}`);
    fc.assert(
      fc.property(choices(1500), (list) => {
        for (const outcome of [...play(list, true).responses.values()].flat()) {
          const reason = "reason" in outcome ? outcome.reason : "";
          const name = `${outcome.kind} ${reason}`;
          kinds.set(name, (kinds.get(name) ?? 0) + 1);
        }
      }),
      { seed, numRuns: 40, endOnFailure: true },
    );
  }
  t.comment(JSON.stringify(Object.fromEntries(kinds)));
  for (const kind of ["done", "failed", "not-run", "unknown"]) {
    t.ok([...kinds.keys()].some((name) => name.startsWith(kind)), kind);
  }
  t.end();
});

// Guards against an entry that loses work although nothing fails.
test("without faults no request ends as lost with its worker", (t) => {
  const seed = 21;
  t.comment(`seed ${seed}`);
  fc.assert(
    fc.property(choices(600), (list) => {
      const outcomes = [...play(list, false).responses.values()].flat();
      return outcomes.every((outcome) =>
        outcome.kind !== "unknown" || outcome.reason !== "worker-lost"
      );
    }),
    { seed, numRuns: 40, endOnFailure: true },
  );
  t.end();
});
