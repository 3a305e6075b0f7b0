/**
 * An agent of the simulated cluster, for tests.
 *
 * @module
 */

import type {
  AgentMessage,
  EntryMessage,
  Hello,
  MemberReport,
  Reserve,
} from "@dragonflyledge/model";
import type { World } from "./testing.ts";

interface Run {
  epoch: number;
  members: MemberReport[];
  until: number;
}

/** An agent whose members run until a test ends them or their lease lapses. */
export class Agent {
  incarnation = 1;
  up = true;
  leaving = false;
  /** While set, nothing arrives or is sent, as on a silent connection. */
  silent = false;
  /** Reserved and running members, by job. */
  runs = new Map<string, Run>();
  /** Highest epoch of each job that was received. */
  epochs = new Map<string, number>();
  /** Runs that were released, as `job/epoch`. */
  released = new Set<string>();
  /** Members that have ended, by job, which the answer to a renewal includes. */
  ended = new Map<string, MemberReport[]>();
  readonly world: World;
  readonly id: string;
  readonly rack: string;
  readonly accelerators: number;

  constructor(world: World, id: string, rack: string, accelerators: number) {
    this.world = world;
    this.id = id;
    this.rack = rack;
    this.accelerators = accelerators;
  }

  get members(): MemberReport[] {
    return [...this.runs.values()].flatMap((run) => run.members);
  }

  /** Handles a message; one with a lower epoch than known is stale. */
  handleMessage(entry: string, message: EntryMessage): void {
    if (!("run" in message)) return;
    const { job, epoch } = message.run;
    const { run } = message;
    if (epoch < (this.epochs.get(job) ?? 0)) {
      if (message.kind === "reserve") {
        this.send(entry, {
          kind: "reserveRefused",
          run,
          reason: "stale-epoch",
        });
      }
      return;
    }
    this.epochs.set(job, epoch);
    if (message.kind === "reserve") return this.reserve(entry, message);
    const held = this.runs.get(job);
    if (message.kind === "release") {
      this.released.add(`${job}/${epoch}`);
      if (held?.members[0]?.state === "reserved") this.runs.delete(job);
    }
    if (message.kind === "stop") this.runs.delete(job);
    if (message.kind === "commit" && held?.epoch === epoch) {
      this.world.forgetEnded(job, epoch);
      for (const member of held.members) {
        member.state = "running";
        this.world.starts.push(`${job}/${member.member}`);
      }
      held.until = this.world.now + message.lease;
    }
    if (message.kind === "renew" && held) {
      held.epoch = epoch;
      held.until = this.world.now + message.lease;
      held.members.forEach((member) => member.run = run);
    }
    const members = this.runs.get(job)?.members ?? this.ended.get(job) ?? [];
    this.send(entry, {
      kind: "runState",
      run,
      members: structuredClone(members),
    });
    this.report();
  }

  /** Reserves, refuses, or first reclaims accelerators, which takes 2 s. */
  reserve(entry: string, message: Reserve): void {
    const { run, remaining } = message;
    const wanted = new Set(message.members.flatMap((one) => one.accelerators));
    const blockers = this.members.filter((one) =>
      one.run.job !== run.job && one.accelerators.some((it) => wanted.has(it))
    );
    if (!blockers.every((one) => this.mayReclaim(one, message))) {
      this.send(entry, { kind: "reserveRefused", run, reason: "no-capacity" });
      return;
    }
    const grant = () => {
      if (this.epochs.get(run.job) !== run.epoch || !this.up) return;
      if (this.released.has(`${run.job}/${run.epoch}`)) return;
      for (const { run } of blockers) this.runs.delete(run.job);
      const members = message.members.map((one) => ({
        ...message,
        ...one,
        state: "reserved" as const,
      }));
      const { epoch } = run;
      this.ended.delete(run.job);
      this.runs.set(run.job, {
        epoch,
        members,
        until: this.world.now + remaining,
      });
      this.send(entry, { kind: "reserved", run });
      this.report();
    };
    if (blockers.length === 0) return grant();
    this.send(entry, { kind: "reserving", run, remaining: 2000 });
    for (const { run } of blockers) {
      this.broadcast({
        kind: "reclaimNotice",
        run,
        remaining: 2000,
        by: message.team,
      });
    }
    this.world.after(2000, grant);
  }

  /** Whether a held member must make room for the reservation. */
  mayReclaim(held: MemberReport, message: Reserve): boolean {
    const outranks = message.urgent && !held.urgent;
    const homes = this.world.homes?.homes ?? [];
    return held.revocable && held.accelerators.every((index) => {
      const owner = homes.find((home) =>
        home.parts.some((part) =>
          part.worker === this.id && part.accelerators.includes(index)
        )
      )?.team;
      if (owner === undefined) return outranks;
      return owner === message.team && (held.team !== owner || outranks);
    });
  }

  /** Ends all members of a job on this worker, and reports them. */
  end(job: string, state: "finished" | "failed"): void {
    const run = this.runs.get(job);
    if (run === undefined) return;
    for (const member of run.members) member.state = state;
    this.report();
    this.runs.delete(job);
    this.ended.set(job, run.members);
  }

  /** Drops runs whose lease or reservation has lapsed. */
  dropLapsedRuns(): void {
    for (const [job, run] of this.runs) {
      if (this.world.now >= run.until) this.runs.delete(job);
    }
  }

  /** Sends a report to all entries. */
  report(): void {
    this.broadcast({
      kind: "report",
      worker: this.id,
      incarnation: this.incarnation,
      versions: { configuration: 1, homes: 1 },
      leaving: this.leaving,
      slotsUsed: 0,
      slotsByClass: {},
      members: structuredClone(this.members),
      usage: { cores: 0, memoryMiB: 0, age: 0 },
    });
  }

  broadcast(message: AgentMessage): void {
    for (const entry of this.world.entries.keys()) this.send(entry, message);
  }

  send(entry: string, message: AgentMessage): void {
    if (!this.up || this.silent) return;
    const { id: worker, incarnation } = this;
    this.world.deliver(
      `${worker}>${entry}`,
      () =>
        this.world.reduce(entry, {
          kind: "message",
          worker,
          incarnation,
          message,
        }),
    );
  }

  hello(): Hello {
    return {
      kind: "hello",
      protocol: 1,
      role: "agent",
      id: this.id,
      incarnation: this.incarnation,
      versions: { configuration: 0, homes: 0 },
      members: structuredClone(this.members),
      inventory: {
        worker: this.id,
        location: { region: "r", failureDomain: "d", rack: this.rack },
        capacity: {
          accelerators: this.accelerators,
          cores: 32,
          memoryMiB: 9e5,
        },
        service: "s",
        slots: 8,
        connections: 64,
      },
    };
  }
}
