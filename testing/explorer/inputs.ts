/**
 * Scheduled inputs of an exploration: jobs and faults. A list of them, with the
 * setup, determines everything that happens.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** One step of a job in the exploration. */
export interface StepInput {
  count: number;
  /** Accelerators of each task. */
  accelerators: number;
  gang: boolean;
  /** Time for which each task works. */
  duration: Milliseconds;
}

/** A task that crashes its worker. */
export interface Deadly {
  /** Time from the start of its work to the crash. */
  after: Milliseconds;
  downFor: Milliseconds;
  sameId: boolean;
}

/** Which direction of a link is meant, seen from the leader. */
export const Direction = { Down: "down", Up: "up", Both: "both" } as const;
export type Direction = typeof Direction[keyof typeof Direction];

/** What happens; `agent` and `leader` are indexes. */
export type Happening =
  | {
    kind: "job";
    id: string;
    team: string;
    priority: number;
    maxAttempts: number;
    /** Each step waits for the one before it. */
    steps: StepInput[];
    /** Number of runs of each step's first task that fail. */
    failures: number;
    /** The tasks work until the job is cancelled, which is after this time. */
    lastsFor?: Milliseconds;
    /** Whether one message can't hold the starts of two of its tasks. */
    hasLargeSpec?: boolean;
    /** Makes the first task of the first step crash its workers. */
    deadly?: Deadly;
  }
  | { kind: "cancel"; job: string }
  /** Holds what is sent over one link; `link` counts from the newest. */
  | {
    kind: "hold";
    agent: number;
    link: number;
    direction: Direction;
    duration: Milliseconds;
  }
  /**
   * Parts an agent from a leader. New connections are made once it ends; what
   * former ones held arrives `lag` later.
   */
  | {
    kind: "cut";
    agent: number;
    leader: number;
    duration: Milliseconds;
    lag: Milliseconds;
  }
  /** Loses a link with all that is under way; its ends notice later. */
  | {
    kind: "drop";
    agent: number;
    link: number;
    leaderNotices: Milliseconds;
    agentNotices: Milliseconds;
  }
  /** Delays messages between an agent and a leader. */
  | {
    kind: "slow";
    agent: number;
    leader: number;
    delay: Milliseconds;
    duration: Milliseconds;
  }
  | {
    kind: "crashWorker";
    agent: number;
    downFor: Milliseconds;
    sameId: boolean;
    /** Whether connections are refused meanwhile; otherwise calls time out. */
    refuses: boolean;
  }
  | { kind: "drain"; agent: number; stays: Milliseconds; downFor: Milliseconds }
  | {
    kind: "resize";
    agent: number;
    /** Accelerators that are taken away. */
    less: number;
    duration: Milliseconds;
  }
  /** The process of the agent stops; its clock goes on. */
  | { kind: "pauseAgent"; agent: number; duration: Milliseconds }
  /** The machine of the agent is suspended; its clock stands still. */
  | { kind: "suspendAgent"; agent: number; duration: Milliseconds }
  | { kind: "restartAgent"; agent: number; downFor: Milliseconds }
  /** The process of the leader stops, and its clock if its machine does. */
  | { kind: "pauseLeader"; duration: Milliseconds; clockStops: boolean }
  /** Another process is elected; the former acts on for `overlap`. */
  | { kind: "replaceLeader"; overlap: Milliseconds }
  | { kind: "crashLeader"; downFor: Milliseconds }
  /** Commits take effect after `delay`; answers are `lost` or arrive later. */
  | {
    kind: "slowStore";
    delay: Milliseconds;
    answerDelay: Milliseconds;
    lost: boolean;
    duration: Milliseconds;
  }
  /** Calls to a worker are carried out after `delay`; answers may be lost. */
  | {
    kind: "slowCalls";
    agent: number;
    call: CallKind;
    delay: Milliseconds;
    lost: boolean;
    duration: Milliseconds;
  }
  /** The worker works on, but neither calls nor heartbeats arrive. */
  | { kind: "hideWorker"; agent: number; duration: Milliseconds }
  /** A heartbeat arrives once more. */
  | { kind: "repeatHeartbeat"; agent: number; delay: Milliseconds }
  /** The operator evacuates a failure domain of agents for this time. */
  | { kind: "evacuate"; domain: string; duration: Milliseconds };

/** Calls of an agent to its worker. */
export const CallKind = { Hold: "hold", Start: "start", Stop: "stop" } as const;
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** A happening at a time. */
export type Input = { at: Milliseconds } & Happening;

/** Team whose urgent jobs have a guarantee. */
export const GUARANTEED_TEAM = "team-a";

/** What an exploration starts with. */
export interface Setup {
  /** Processes of which one leads. */
  leaders: number;
  agents: AgentSetup[];
  /** Accelerators that are guaranteed to the team `GUARANTEED_TEAM`. */
  guaranteed: number;
  /**
   * Whether calls that are under way when a worker crashes reach a later
   * incarnation of the same id.
   */
  callsOutliveWorkers: boolean;
}

/** An agent and its worker. */
export interface AgentSetup {
  accelerators: number;
  /** Rate of the worker's clock. */
  clockRate: number;
  /** Time of a message to or from each leader. */
  linkDelays: Milliseconds[];
  /** Number of ends that the worker lists at a time. */
  endsPerAnswer: number;
  /** Time in which the worker stops a run. */
  stopDelay: Milliseconds;
  /** How fast it runs tasks; 1 by default. */
  rate?: number;
}

/** Everything that determines an exploration. */
export interface Plan {
  setup: Setup;
  /** In order of time. */
  inputs: Input[];
}
