/**
 * Compact drivers for the tests of this package.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type {
  AgentEffect,
  AgentEvent,
  AgentMessage,
  Attempt,
  Configuration,
  EntryMessage,
  HomesTable,
  MemberReport,
  Reserve,
  RunId,
} from "@dragonflyledge/model";
import { checkState } from "./invariants.ts";
import { createReducerOver } from "./reducer.ts";
import { createCore } from "./state.ts";
import type { Core } from "./state.ts";

export const inventory = {
  worker: "w1",
  location: { region: "r", failureDomain: "f", rack: "k" },
  capacity: { accelerators: 8, cores: 32, memoryMiB: 1024 },
  service: "plan",
  slots: 3,
  connections: 64,
};

type Untimed<Event> = Event extends { now: number } ? Omit<Event, "now">
  : never;

/** An agent with its own clock, whose state is checked after each event. */
export class Agent {
  now = 1000;
  readonly core: Core;
  readonly reducer;

  constructor(changes: Partial<typeof inventory> = {}) {
    const changed = { ...inventory, ...changes };
    this.core = createCore({ inventory: changed, incarnation: 1 });
    this.reducer = createReducerOver({ core: this.core });
  }

  event(event: Untimed<AgentEvent>): AgentEffect[] {
    const timed = { ...event, now: this.now } as AgentEvent;
    const effects = this.reducer.reduce(timed);
    checkState({ core: this.core, step: event.kind });
    return effects;
  }

  /** Delivers a message and returns the messages sent to that entry. */
  send(message: EntryMessage, entry = "e1"): AgentMessage[] {
    return sentTo(this.event({ kind: "message", entry, message }), entry);
  }

  /** Lets time pass and ticks. */
  pass(duration: number): AgentEffect[] {
    this.now += duration;
    return this.event({ kind: "tick" });
  }

  connect(entry = "e1", versions = { configuration: 0, homes: 0 }) {
    const hello = {
      kind: "hello" as const,
      protocol: 1,
      role: "entry" as const,
      id: entry,
      incarnation: 1,
      versions,
    };
    return this.event({ kind: "entryConnected", entry, hello });
  }

  /** Reserves and commits a run, which must be possible at once. */
  run(message: Reserve, entry = "e1"): AgentEffect[] {
    this.send(message, entry);
    const commit = { kind: "commit" as const, run: message.run, lease: 10_000 };
    return this.event({ kind: "message", entry, message: commit });
  }

  /** Reports that all tasks of a run have ended. */
  end(run: RunId, ending: "finished" | "failed" | "stopped" = "stopped") {
    const members = this.core.state.members.filter((one) =>
      one.run.job === run.job
    );
    return members.flatMap(({ member }) =>
      this.event({
        kind: "taskEnded",
        task: { run, member },
        ending,
        cause: "",
      })
    );
  }
}

/** An agent with one entry, a configuration and the given homes. */
export function connected(homes: Record<string, number[]> = {}): Agent {
  const agent = new Agent();
  agent.connect();
  agent.send({ kind: "configuration", configuration: configuration(1) });
  agent.send({ kind: "homes", homes: homesTable(1, homes) });
  return agent;
}

export function configuration(version: number): Configuration {
  return { version, teams: [], classes: [], services: [] };
}

export function homesTable(
  version: number,
  homes: Record<string, number[]>,
): HomesTable {
  return {
    version,
    configurationVersion: 1,
    unplaced: [],
    homes: Object.entries(homes).map(([team, accelerators]) => ({
      team,
      shape: 0,
      instance: 0,
      parts: [{ worker: "w1", accelerators }],
    })),
  };
}

export function sentTo(effects: AgentEffect[], entry = "e1"): AgentMessage[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.entry === entry ? [effect.message] : []
  );
}

/** Kinds of effects, without logs and counts; messages by their own kind. */
export function kinds(effects: AgentEffect[]): string[] {
  return effects
    .filter((effect) => effect.kind !== "log" && effect.kind !== "count")
    .map((effect) => effect.kind === "send" ? effect.message.kind : effect.kind)
    .filter((kind) => kind !== "report");
}

/** Messages of one kind. */
export function only<Kind extends AgentMessage["kind"]>(
  messages: AgentMessage[],
  kind: Kind,
) {
  return messages.filter((message) => message.kind === kind) as Extract<
    AgentMessage,
    { kind: Kind }
  >[];
}

export function attempt(
  request: string,
  changes: Partial<Attempt> & { number?: number } = {},
): Attempt {
  const { number = 1, ...rest } = changes;
  return {
    kind: "attempt",
    attempt: { request, number },
    incarnation: 1,
    service: "plan",
    path: "/",
    team: "a",
    class: "batch",
    urgent: false,
    classSlots: 2,
    remaining: 5000,
    idempotent: false,
    contentType: "text/plain",
    body: new Uint8Array(),
    ...rest,
  };
}

/** A reservation of one member per list of accelerators. */
export function reserve(
  job: string,
  accelerators: number[][],
  changes: Partial<Reserve> & { epoch?: number } = {},
): Reserve {
  const { epoch = 1, ...rest } = changes;
  return {
    kind: "reserve",
    run: { job, epoch },
    team: "a",
    class: "batch",
    urgent: false,
    revocable: true,
    members: accelerators.map((list, member) => ({
      member,
      accelerators: list,
    })),
    perMember: {
      accelerators: accelerators[0]?.length ?? 0,
      cores: 2,
      memoryMiB: 64,
    },
    command: "train",
    remaining: 4000,
    ...rest,
  };
}

export function found(
  job: string,
  changes: Partial<MemberReport> & { epoch?: number } = {},
): MemberReport {
  const { epoch = 1, ...rest } = changes;
  return {
    run: { job, epoch },
    member: 0,
    team: "a",
    class: "batch",
    urgent: false,
    revocable: true,
    accelerators: [0, 1],
    state: "running",
    ...rest,
  };
}

export { createRandom };
