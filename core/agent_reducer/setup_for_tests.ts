/**
 * An agent to test, and builders of messages, for the tests of this package.
 *
 * @module
 */

import type {
  AgentEffect,
  AgentEvent,
  AgentMessage,
  Attempt,
  ConfigurationUpdate,
  EntryMessage,
  HomesUpdate,
  MemberReport,
  Reserve,
  RunId,
} from "@dragonflyledge/model";
import { checkState } from "./invariants.ts";
import { createReducerWithState } from "./reducer.ts";
import { createCore } from "./state.ts";
import type { Core } from "./state.ts";

/** Worker with eight accelerators, whose endpoint has three slots. */
export const inventory = {
  worker: "w1",
  location: { region: "r", failureDomain: "f", rack: "k" },
  capacity: { accelerators: 8, cores: 32, memoryMiB: 1024 },
  service: "plan",
  slots: 3,
  connections: 64,
};

/** Event to which the agent's present time is to be added. */
type EventWithoutTime<Event> = Event extends { now: number }
  ? Omit<Event, "now">
  : never;

/** An agent with a clock of its own, whose state is checked after each event. */
export class Agent {
  now = 1000;
  readonly core: Core;
  readonly reducer;

  constructor(changes: Partial<typeof inventory> = {}) {
    const changed = { ...inventory, ...changes };
    this.core = createCore({ inventory: changed, incarnation: 1 });
    this.reducer = createReducerWithState({ core: this.core });
  }

  /** Reduces an event at the present time and returns its effects. */
  event(event: EventWithoutTime<AgentEvent>): AgentEffect[] {
    const timed = { ...event, now: this.now } as AgentEvent;
    const effects = this.reducer.reduce(timed);
    checkState({ core: this.core, step: event.kind });
    return effects;
  }

  /** Delivers a message and returns all effects. */
  deliver(message: EntryMessage, entry = "e1"): AgentEffect[] {
    return this.event({ kind: "message", entry, message });
  }

  /** Delivers a message and returns the messages sent to that entry. */
  send(message: EntryMessage, entry = "e1"): AgentMessage[] {
    return sentTo(this.deliver(message, entry), entry);
  }

  /** Delivers a message and returns the `kinds` of the effects. */
  kinds(message: EntryMessage, entry = "e1"): string {
    return kinds(this.deliver(message, entry));
  }

  /** Delivers a message and returns why it was refused, if it was. */
  reason(message: EntryMessage, entry = "e1"): string | undefined {
    const refusal = this.send(message, entry).find((one) => "reason" in one);
    return refusal && "reason" in refusal ? refusal.reason : undefined;
  }

  /** Advances the clock by this many milliseconds and ticks. */
  advance(duration: number): AgentEffect[] {
    this.now += duration;
    return this.event({ kind: "tick" });
  }

  /** Opens a session of an entry that holds these versions. */
  connect(entry = "e1", versions = { configuration: 0, homes: 0 }) {
    const peer = { role: "entry" as const, id: entry, incarnation: 1 };
    const hello = { kind: "hello" as const, protocol: 1, ...peer, versions };
    return this.event({ kind: "entryConnected", entry, hello });
  }

  /** Reserves and commits a run. Its capacity must be free. */
  run(message: Reserve, entry = "e1"): AgentEffect[] {
    this.send(message, entry);
    return this.deliver(commit(message.run.job, message.run.epoch), entry);
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

/** An agent with entry e1, a configuration and homes of these accelerators. */
export function connectedAgent(homes: Record<string, number[]> = {}): Agent {
  const agent = new Agent();
  agent.connect();
  agent.send(configuration(1));
  agent.send(homesTable(1, homes));
  return agent;
}

/** A configuration without content. */
export function configuration(version: number): ConfigurationUpdate {
  const lists = { teams: [], classes: [], services: [] };
  return { kind: "configuration", configuration: { version, ...lists } };
}

/** A homes table that gives each team these accelerators, and others of w2. */
export function homesTable(
  version: number,
  byTeam: Record<string, number[]>,
): HomesUpdate {
  const homes = Object.entries(byTeam).map(([team, accelerators]) => {
    const elsewhere = { worker: "w2", accelerators: [0, 1, 2, 3, 4, 5, 6, 7] };
    const parts = [{ worker: "w1", accelerators }, elsewhere];
    return { team, shape: 0, instance: 0, parts };
  });
  const table = { version, configurationVersion: 1, unplaced: [], homes };
  return { kind: "homes", homes: table };
}

/** Messages among the effects that go to this entry. */
export function sentTo(effects: AgentEffect[], entry = "e1"): AgentMessage[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.entry === entry ? [effect.message] : []
  );
}

/**
 * Kinds of the effects, separated by spaces. A message counts by its own kind;
 * logs, counts and reports are left out.
 */
export function kinds(effects: AgentEffect[]): string {
  return effects
    .filter((effect) => effect.kind !== "log" && effect.kind !== "count")
    .map((effect) => effect.kind === "send" ? effect.message.kind : effect.kind)
    .filter((kind) => kind !== "report")
    .join(" ");
}

/** States of the members in the answer to a message, separated by spaces. */
export function states(agent: Agent, message: EntryMessage): string {
  const answers = messagesOfKind(agent.send(message), "runState");
  return answers[0]!.members.map((member) => member.state).join(" ");
}

/** Builds messages that name only a run, by job and epoch. */
const runMessage =
  <Kind extends string, More>(kind: Kind, more: More) =>
  (job: string, epoch = 1) => ({ kind, run: { job, epoch }, ...more });
export const commit = runMessage("commit", { lease: 10_000 });
export const renew = runMessage("renew", { lease: 10_000 });
export const release = runMessage("release", {});
export const stop = runMessage("stop", { checkpoint: false });
export const checkpoint = runMessage("stop", { checkpoint: true });

/** Returns the messages of one kind. */
export function messagesOfKind<Kind extends AgentMessage["kind"]>(
  messages: AgentMessage[],
  kind: Kind,
) {
  return messages.filter((message) => message.kind === kind) as Extract<
    AgentMessage,
    { kind: Kind }
  >[];
}

/** Team and class of work that is not urgent. */
const deferrable = { team: "a", class: "batch", urgent: false };

/** An attempt of a request; the first one unless a number is given. */
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
    ...deferrable,
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
    ...deferrable,
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

/** Report of a member that an agent finds on the worker when it starts. */
export function foundMember(
  job: string,
  changes: Partial<MemberReport> & { epoch?: number } = {},
): MemberReport {
  const { epoch = 1, ...rest } = changes;
  return {
    run: { job, epoch },
    member: 0,
    ...deferrable,
    revocable: true,
    accelerators: [0, 1],
    state: "running",
    ...rest,
  };
}
