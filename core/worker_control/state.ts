/**
 * State of an agent's reducer, its events and effects.
 *
 * @module
 */

import type { Fields, LogLevel, Milliseconds } from "@dragonflyledge/model";
import type {
  AgentOrders,
  AgentReport,
  EndedTask,
  RunName,
  RunningTask,
  StartOrder,
  WorkerState,
} from "@dragonflyledge/scheduler";

/** What a worker says of itself in a heartbeat. */
export type Announcement =
  & Omit<WorkerState, "key" | "reachable">
  & {
    id: string;
    /** Steady clock of the worker when it sent this. */
    clock: Milliseconds;
    sequence: number;
  };

/** Times that follow from the deployment's settings. */
export interface ControlTimes {
  /** The right to extend the worker's lease lasts so long after a contact. */
  grant: Milliseconds;
  /** Longest lease that a worker accepts. */
  longestLease: Milliseconds;
}

/** The worker incarnation that is under control. */
export interface ControlledWorker {
  id: string;
  state: WorkerState;
  sequence: number;
  /** Reading of the worker's clock and the agent's time of its arrival. */
  clock?: { value: Milliseconds; at: Milliseconds };
  /** Agent's time after which the worker's lease is surely over. */
  latestLeaseEnd: Milliseconds;
  /** Agent's time at which the worker said that it ends. */
  leftAt?: Milliseconds;
  running: RunningTask[];
  ended: EndedTask[];
  listed: boolean;
  /** Ends up to this number need not be listed again. */
  acknowledged: number;
}

/** Steps of a start or a stop. */
export const ControlPhase = {
  Starting: "starting",
  /** The worker accepted the start; it is not listed yet. */
  Started: "started",
  Listed: "listed",
  /** The worker accepted the stop, so that the run can't begin any more. */
  Stopped: "stopped",
  /** The worker refused the start; its lists are to show why. */
  Refusing: "refusing",
  Refused: "refused",
  Absent: "absent",
  /** The worker lists its end, which is not acknowledged yet. */
  Ended: "ended",
} as const;
export type ControlPhase = typeof ControlPhase[keyof typeof ControlPhase];

/** One run that was ordered. */
export interface RunControl {
  name: RunName;
  order?: StartOrder;
  phase: ControlPhase;
  stopRequested: boolean;
  callPending: boolean;
  /** Calls that got no answer and may still be carried out. */
  unansweredStarts: number;
  nextCallAt: Milliseconds;
  /** When the worker answered the latest start or stop. */
  answeredAt: Milliseconds;
  refusalReason: string;
}

/** The loop of calls that hold the lease and list the runs. */
export interface HoldLoop {
  callPending: boolean;
  nextCallAt: Milliseconds;
  failures: number;
}

/** State of the reducer. */
export interface ControlState {
  times: ControlTimes;
  epoch: number;
  /** Time of the first event. */
  startedAt?: Milliseconds;
  grantEnd: Milliseconds;
  worker?: ControlledWorker;
  runs: Map<string, RunControl>;
  hold: HoldLoop;
  emptied: string[];
  lastReportAt: Milliseconds;
  reportDue: boolean;
  effects: ControlEffect[];
}

/** Outcome of a start call. */
export type StartOutcome =
  | { kind: "started"; clock: Milliseconds }
  | { kind: "refused"; reason: string; clock?: Milliseconds }
  | { kind: "unknown" };

/** What happens to an agent. */
export type ControlEvent =
  & { now: Milliseconds }
  & (
    | { kind: "announced"; announcement: Announcement }
    | { kind: "left"; id: string }
    | { kind: "orders"; orders: AgentOrders }
    | {
      kind: "held";
      worker: string;
      sentAt: Milliseconds;
      clock: Milliseconds;
      born: Milliseconds;
      running: RunningTask[];
      ended: EndedTask[];
    }
    | { kind: "holdFailed"; worker: string; reason: string }
    | {
      kind: "startAnswered";
      worker: string;
      run: string;
      outcome: StartOutcome;
    }
    | { kind: "stopAnswered"; worker: string; run: string; stopped: boolean }
    /** A leader connected. */
    | { kind: "linked" }
    | { kind: "tick" }
  );

/** What the shell is to do. */
export type ControlEffect =
  | {
    kind: "hold";
    worker: string;
    id: string;
    epoch: number;
    until?: Milliseconds;
    acknowledged: number;
    wait: Milliseconds;
  }
  | {
    kind: "start";
    worker: string;
    id: string;
    epoch: number;
    until: Milliseconds;
    order: StartOrder;
  }
  | { kind: "stop"; worker: string; id: string; epoch: number; run: RunName }
  | { kind: "report"; report: AgentReport }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields };
