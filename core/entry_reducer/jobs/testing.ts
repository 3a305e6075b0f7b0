/**
 * A simulated cluster for tests. Entries use the real reducer, agents and the
 * store are reduced to what jobs need, and messages of a connection arrive in
 * order. Times are milliseconds of simulated time.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type {
  AuditRecord,
  EntryEffect,
  EntryEvent,
  Hello,
  HomesTable,
  JobRecord,
  JobSpec,
  Random,
} from "@dragonflyledge/model";
import { createEntryReducer } from "../reducer.ts";
import type { EntryReducer } from "../reducer.ts";
import type { AgentView } from "../state.ts";
import { Agent } from "./testing_agent.ts";
import { configuration } from "./testing_jobs.ts";

export { Agent } from "./testing_agent.ts";
export { buildSpec, configuration } from "./testing_jobs.ts";

/** An event without its time, which the cluster adds. */
type EventWithoutTime<E> = E extends { now: number } ? Omit<E, "now"> : never;

/** The simulated entries, agents and store, with one clock. */
export class World {
  now = 0;
  entries = new Map<string, EntryReducer>();
  agents = new Map<string, Agent>();
  store = new Map<string, { record: JobRecord; revision: number }>();
  homes: HomesTable | undefined;
  /**
   * In mode `down` nothing is written, in mode `answers-lost` writes take effect
   * without an answer, and in mode `refused` no call is sent, as with an open
   * circuit breaker.
   */
  storeMode: "up" | "down" | "answers-lost" | "refused" = "up";
  /** Every start of a member, as `job/member`. */
  starts: string[] = [];
  /** Answers to submissions by job: the kind, or the reason of `not-run`. */
  answers = new Map<string, string>();
  audits: AuditRecord[] = [];
  /** All effects of all entries. */
  effects: EntryEffect[] = [];
  /** Called after each tick, to check what must hold at all times. */
  check = () => {};
  readonly random: Random;
  /** What happens later, in no order. */
  #queue: { at: number; run: () => void }[] = [];
  /** Time of the last delivery on each connection. */
  #last = new Map<string, number>();
  /** Answers to writes of paused entries, which get them after the pause. */
  #late = new Map<string, EventWithoutTime<EntryEvent>[]>();
  #revision = 0;

  constructor(readonly seed: number, workers: number, accelerators = 8) {
    this.random = createRandom(seed);
    for (let index = 0; index < workers; index++) {
      const id = `w${String(index).padStart(2, "0")}`;
      const rack = `k${Math.floor(index / 3)}`;
      this.agents.set(id, new Agent(this, id, rack, accelerators));
    }
  }

  /** Starts an entry that is connected to all agents. */
  addEntry(id: string, incarnation = 1): EntryReducer {
    const random = createRandom(this.seed + this.entries.size);
    const reducer = createEntryReducer({ id, incarnation, random });
    this.entries.set(id, reducer);
    reducer.state.configuration = configuration;
    if (this.homes) this.reduce(id, { kind: "homesSeen", homes: this.homes });
    for (const agent of this.agents.values()) this.connect(id, agent);
    this.announceEntries();
    return reducer;
  }

  /** Ends an entry without a shutdown; its lease lapses after `lease`. */
  failEntry(id: string, lease = 6000): void {
    this.entries.delete(id);
    this.after(lease, () => this.announceEntries());
  }

  /**
   * Pauses the process of an entry, so that its lease lapses and its sessions
   * are closed. It goes on with its old state.
   */
  pauseEntry(id: string, time: number): void {
    const entry = this.entry(id);
    this.failEntry(id);
    const late: EventWithoutTime<EntryEvent>[] = [];
    this.#late.set(id, late);
    this.after(time, () => {
      this.#late.delete(id);
      if (this.entries.has(id)) return;
      this.entries.set(id, entry);
      for (const event of late) this.reduce(id, event);
      for (const { id: worker, incarnation } of this.agents.values()) {
        const view = entry.state.agents.get(worker);
        if (view) Object.assign(view, { connected: false, lostAt: this.now });
        this.reduce(id, { kind: "agentLost", worker, incarnation });
      }
      for (const agent of this.agents.values()) this.connect(id, agent);
      this.after(500, () => this.announceEntries());
    });
  }

  /** Makes the connections of an agent silent; they are closed after 3 s. */
  silence(agent: Agent): void {
    agent.silent = true;
    this.after(3000, () => agent.silent && this.closeSessions(agent));
  }

  /** Connects an agent to all entries, after a restart if it had failed. */
  reconnect(agent: Agent): void {
    if (!agent.up) {
      agent.incarnation++;
      agent.runs.clear();
    }
    Object.assign(agent, { silent: false, up: true });
    for (const entry of this.entries.keys()) this.connect(entry, agent);
  }

  /** Ends an agent and its sessions. Its members stay until their leases lapse. */
  failAgent(agent: Agent): void {
    agent.up = false;
    this.closeSessions(agent);
  }

  /** Tells all entries that the sessions of the agent have ended. */
  closeSessions(agent: Agent): void {
    const { id: worker, incarnation } = agent;
    for (const [id, { state }] of this.entries) {
      const view = state.agents.get(worker);
      if (view) Object.assign(view, { connected: false, lostAt: this.now });
      this.reduce(id, { kind: "agentLost", worker, incarnation });
    }
  }

  /** Connects an agent to one entry, unless it is down or silent. */
  connect(entry: string, agent: Agent): void {
    if (!agent.up || agent.silent) return;
    const hello = agent.hello();
    const { state } = this.entry(entry);
    const { id: worker, incarnation, members } = hello as Required<Hello>;
    const view: AgentView = {
      worker,
      incarnation,
      inventory: hello.inventory as AgentView["inventory"],
      connected: true,
      connectedAt: this.now,
      lostAt: 0,
      leaving: false,
      versions: hello.versions,
      slotsUsed: 0,
      slotsByClass: new Map(),
      slotsPromised: new Map(),
      members,
      usage: { cores: 0, memoryMiB: 0, age: 0 },
      reportedAt: this.now,
      losses: [],
      dampedUntil: 0,
      failures: 0,
      quarantinedUntil: 0,
      probeAllowed: false,
    };
    state.agents.set(worker, view);
    this.reduce(entry, { kind: "agentConnected", hello });
  }

  /** Returns a running entry. */
  entry(id: string): EntryReducer {
    const entry = this.entries.get(id);
    if (entry === undefined) throw new Error(`entry ${id} is not running`);
    return entry;
  }

  /** Tells all entries which entries are live, and renews their leases. */
  announceEntries(): void {
    const entries = [...this.entries].map(([id, { state }]) => ({
      id,
      incarnation: state.incarnation,
      address: "",
      httpAddress: "",
    }));
    for (const id of this.entries.keys()) {
      this.reduce(id, { kind: "leaseRenewed", validUntil: this.now + 6000 });
      this.reduce(id, { kind: "entriesSeen", entries });
    }
  }

  /** Applies an event to an entry that runs, and performs the effects. */
  reduce(id: string, untimed: EventWithoutTime<EntryEvent>): void {
    const entry = this.entries.get(id);
    // The process answers each write, also after a pause.
    if (untimed.kind === "jobWritten") this.#late.get(id)?.push(untimed);
    if (entry === undefined) return;
    const event = { ...untimed, now: this.now } as EntryEvent;
    if (event.kind === "message" && event.message.kind === "report") {
      const { members, leaving } = event.message;
      const view = entry.state.agents.get(event.worker);
      const reportedAt = this.now;
      if (view) Object.assign(view, { members, leaving, reportedAt });
    }
    for (const effect of entry.reduce(event)) this.perform(id, effect);
  }

  perform(entry: string, effect: EntryEffect): void {
    this.effects.push(effect);
    if (effect.kind === "send") {
      const agent = this.agents.get(effect.worker);
      this.deliver(`${entry}>${effect.worker}`, () => {
        if (!agent?.up || agent.silent) return;
        if (agent.incarnation !== effect.incarnation) return;
        agent.handleMessage(entry, effect.message);
      });
    } else if (effect.kind === "writeJob") this.write(entry, effect);
    else if (effect.kind === "writeHomes") this.writeHomes(entry, effect.homes);
    else if (effect.kind === "audit") this.audits.push(effect.record);
    else if (effect.kind === "loadJobs") {
      this.deliver(`store>${entry}`, () => {
        if (this.storeMode !== "up") return;
        const jobs = structuredClone([...this.store.values()]);
        this.reduce(entry, { kind: "jobsLoaded", jobs });
      });
    } else if (effect.kind === "answerSubmission") {
      const { result } = effect;
      const text = result.kind === "not-run" ? result.reason : result.kind;
      this.answers.set(effect.job, text);
    }
  }

  /** Writes a record to the store, if its revision is the expected one. */
  write(entry: string, effect: Extract<EntryEffect, { kind: "writeJob" }>) {
    const { record: { id: job }, write } = effect;
    this.deliver(`store>${entry}`, () => {
      const found = this.store.get(job);
      const stored = (found?.revision ?? 0) === effect.revision;
      const applies = this.storeMode === "up" ||
        this.storeMode === "answers-lost";
      if (applies && stored) {
        const revision = ++this.#revision;
        this.store.set(job, {
          record: structuredClone(effect.record),
          revision,
        });
      }
      const result = this.storeMode === "refused"
        ? "not-sent" as const
        : this.storeMode !== "up"
        ? "unavailable" as const
        : stored
        ? "stored" as const
        : "conflict" as const;
      const revision = this.store.get(job)?.revision ?? 0;
      const current = result === "conflict" ? found?.record : undefined;
      this.reduce(entry, {
        kind: "jobWritten",
        job,
        write,
        result,
        revision,
        current,
      });
    });
  }

  writeHomes(entry: string, homes: HomesTable): void {
    const stored = homes.version === (this.homes?.version ?? 0) + 1;
    if (stored) this.homes = homes;
    const result = stored ? "stored" : "conflict";
    const { version } = homes;
    this.reduce(entry, { kind: "homesWritten", version, result });
    for (const id of this.entries.keys()) {
      if (this.homes) this.reduce(id, { kind: "homesSeen", homes: this.homes });
    }
  }

  /** Runs a delivery after 1 to 5 ms, in the order of its connection. */
  deliver(link: string, run: () => void): void {
    const at = Math.max(
      this.#last.get(link) ?? 0,
      this.now + 1 + 4 * this.random(),
    );
    this.#last.set(link, at);
    this.#queue.push({ at, run });
  }

  /** Runs something after a delay. */
  after(delay: number, run: () => void): void {
    this.#queue.push({ at: this.now + delay, run });
  }

  /**
   * Lets time pass. Entries tick every 50 ms, and renew their leases every 2 s
   * while the store is up; agents report every 5 s.
   */
  run(time: number): void {
    const end = this.now + time;
    while (this.now < end) {
      const next = this.now - this.now % 50 + 50;
      for (;;) {
        this.#queue.sort((a, b) => a.at - b.at);
        const first = this.#queue[0];
        if (first === undefined || first.at > next) break;
        this.#queue.shift();
        this.now = Math.max(this.now, first.at);
        first.run();
      }
      this.now = next;
      for (const agent of this.agents.values()) {
        agent.dropLapsedRuns();
        if (this.now % 5000 === 0) agent.report();
      }
      for (const id of [...this.entries.keys()]) {
        if (this.storeMode === "up" && this.now % 2000 === 0) {
          this.reduce(id, {
            kind: "leaseRenewed",
            validUntil: this.now + 6000,
          });
        }
        this.reduce(id, { kind: "tick" });
      }
      this.check();
    }
  }

  submit(entry: string, job: string, spec: JobSpec): void {
    this.reduce(entry, { kind: "jobSubmitted", job, spec, submitted: "" });
  }

  /** The state in the stored record of the job. */
  stateOf(job: string): string | undefined {
    return this.store.get(job)?.record.state;
  }

  /** Makes agents forget members of the job that ended before this epoch. */
  forgetEnded(job: string, epoch: number): void {
    for (const { ended } of this.agents.values()) {
      const former = ended.get(job)?.[0]?.run.epoch ?? epoch;
      if (former < epoch) ended.delete(job);
    }
  }

  /** Workers with running members of the job. */
  running(job: string): Agent[] {
    return [...this.agents.values()].filter((agent) =>
      agent.runs.get(job)?.members[0]?.state === "running"
    );
  }

  /** Ends all running members of the job. */
  end(job: string, state: "finished" | "failed"): void {
    for (const agent of this.running(job)) agent.end(job, state);
  }
}
