/**
 * State, events and effects of an agent's reducer.
 *
 * @module
 */

import type { Fields, LogLevel, Milliseconds } from "@dragonflyledge/model";
import type {
  AgentOrders,
  AgentReport,
  CrashedRun,
  EndedTask,
  Fence,
  KnownRate,
  RunName,
  RunningTask,
  StartOrder,
  WorkerState,
} from "@dragonflyledge/scheduler";

/** What a worker's heartbeat says about the worker. */
export type Announcement =
  & Omit<WorkerState, "key" | "reachable" | "full" | "failureDomain">
  & {
    id: string;
    /** The worker's monotonic clock when it sent the heartbeat. */
    clock: Milliseconds;
    /** Grows with each heartbeat of a worker incarnation. */
    sequence: number;
  };

/** Durations that are derived from the deployment's settings. */
export interface ControlTimes {
  /**
   * How long the agent may go on extending the worker's lease after it sent a
   * report that the leader answered.
   */
  grant: Milliseconds;
  /** Longest lease that a worker accepts. */
  longestLease: Milliseconds;
}

/** The worker incarnation that the agent controls. */
export interface ControlledWorker {
  id: string;
  state: WorkerState;
  /** Highest sequence number of a heartbeat that was applied. */
  sequence: number;
  /** Latest reading of the worker's clock, and the agent's time of arrival. */
  clock?: { value: Milliseconds; at: Milliseconds };
  /** Agent's time after which no run is at work under the worker's lease. */
  latestLeaseEnd: Milliseconds;
  /**
   * Agent's time at which the worker announced its shutdown. Until a call shows
   * whether it has ended, it gets no starts and its lease is not extended.
   */
  leftAt?: Milliseconds;
  /** Runs that the worker last listed as running. */
  running: RunningTask[];
  /** When each of these runs was first listed, by `runKey`. */
  listedAt: Map<string, Milliseconds>;
  /** When the worker last answered a hold call. */
  answeredAt: Milliseconds;
  /** Ends that the worker last listed and that are not acknowledged. */
  ended: EndedTask[];
  /** Whether that list was complete. */
  allEnds: boolean;
  /**
   * Whether this incarnation has answered a hold call of the present holder with
   * its lists, after which it does nothing for calls of earlier holders.
   */
  listed: boolean;
  /** The leader has stored all ends up to this number. */
  acknowledged: number;
}

/** Progress of the start or the stop of one run. */
export const ControlPhase = {
  /** The start is ordered, and the worker has not accepted or refused it. */
  Starting: "starting",
  /** The worker accepted the start, and its lists do not show the run yet. */
  Started: "started",
  /** The worker lists the run as running, or only a stop was ordered. */
  Listed: "listed",
  /** The worker accepted the stop, after which the run can no longer begin. */
  Stopped: "stopped",
  /**
   * The worker refused the start. Its next lists show whether the run had
   * already ended.
   */
  Refusing: "refusing",
  /** The run is certain never to begin; reported with the reason. */
  Refused: "refused",
  /** The run is proven not to be on the worker; reported as absent. */
  Absent: "absent",
  /** The worker lists the run as ended after a stop was requested. */
  Ended: "ended",
} as const;
export type ControlPhase = typeof ControlPhase[keyof typeof ControlPhase];

/** A run that the leader ordered to start or to stop. */
export interface RunControl {
  name: RunName;
  /** The start order; undefined if only a stop was ordered. */
  order?: StartOrder;
  /** `answersReport` of the latest orders that named the start. */
  orderedFor?: Milliseconds;
  phase: ControlPhase;
  stopRequested: boolean;
  /**
   * Whether the start was ordered for a former incarnation with the same id, so
   * that the present one may have got the call.
   */
  misdirected?: boolean;
  /**
   * Whether a misdirected run has been stopped and its end, if it had begun, is
   * among those that the worker has not listed yet.
   */
  endUnlisted?: boolean;
  /** Whether a start or stop call is waiting for its answer. */
  callPending: boolean;
  /** When the first start call was sent that the worker has not refused. */
  startSentAt?: Milliseconds;
  /** When the worker answered that the run has started. */
  startedAt?: Milliseconds;
  /** Start calls without an answer, which the worker may still carry out. */
  unansweredStarts: number;
  /** No call is sent before this time. */
  nextCallAt: Milliseconds;
  /**
   * When the answer to the latest start or stop call was recorded, or 0. Only
   * lists that were requested later show the effect of that call.
   */
  answeredAt: Milliseconds;
  /** Why the run is not to start, or empty. */
  refusalReason: string;
}

/** Returns the fields of a run for which no call was sent yet. */
export function createIdleControl(now: Milliseconds) {
  return {
    stopRequested: false,
    callPending: false,
    unansweredStarts: 0,
    nextCallAt: now,
    answeredAt: 0,
    refusalReason: "",
  };
}

/** How long the worker delays the answer to a hold call until a run ends. */
export const HOLD_WAIT: Milliseconds = 1000;

/** The hold calls, which extend the worker's lease and return its lists. */
export interface HoldLoop {
  /** Whether a hold call is waiting for its answer. */
  callPending: boolean;
  /** No call is sent before this time. */
  nextCallAt: Milliseconds;
  /** Failed calls since the last one that succeeded. */
  failures: number;
  /** Whether the last call found no process with the worker's id. */
  refused: boolean;
  /** Set while the calls fail. */
  silence?: Silence;
}

/** When a worker ended or fell silent, on the agent's clock. */
export interface Silence {
  /** When it last showed that it lives. */
  aliveAt: Milliseconds;
  /** When a call to it first failed. */
  failedAt: Milliseconds;
}

/** A crash of the worker, with the runs that were on it. */
export interface RecordedCrash {
  /** Key of the incarnation. */
  worker: string;
  runs: CrashedRun[];
  silence: Silence;
}

/** What newer knowledge has overtaken orders, as it is logged. */
export const Overtaking = {
  /** A leader with a higher epoch has sent orders. */
  Leader: "later leader",
  /** Orders of the same leader that answer a later report were applied. */
  Orders: "later orders",
  /** A report after the answered one has released the runs of a worker. */
  Release: "later report",
} as const;
export type Overtaking = typeof Overtaking[keyof typeof Overtaking];

/** A start call that a later incarnation with the same id may carry out. */
export interface OpenStart {
  name: RunName;
  /** Id of the worker that it was sent to. */
  id: string;
  /** When the latest call for this run was sent. */
  sentAt: Milliseconds;
}

/** State of an agent's reducer. */
export interface ControlState {
  /** Name of this process of the agent; no other has the same. */
  process: string;
  times: ControlTimes;
  /** Failure domain of the agent's machine; undefined if it is not known. */
  failureDomain?: string;
  /** Highest epoch of a leader that sent orders; 0 before the first. */
  epoch: number;
  /**
   * Number of the holder that the leader of this epoch numbered last; undefined
   * before, and under a leader of an older build.
   */
  fence?: Fence;
  /** `answersReport` of the orders that were applied last. */
  answeredReport: Milliseconds;
  /** `sentAt` of the latest report. */
  reportSentAt: Milliseconds;
  /** Whether that report said that nothing can run on a worker. */
  released: boolean;
  /** `sentAt` of the report that was the first to say so. */
  releasedAt: Milliseconds;
  /** Time of the first event. */
  startedAt?: Milliseconds;
  /** The worker's lease may be extended up to this time. */
  grantEnd: Milliseconds;
  /** Whether the grant had not ended at the latest event. */
  hasGrant: boolean;
  /** Total time for which the machine was suspended. */
  suspended: Milliseconds;
  /** Undefined until the first heartbeat. */
  worker?: ControlledWorker;
  /** Ordered runs by `runKey`. */
  runs: Map<string, RunControl>;
  /** Start calls by `runKey`, until lists show that they were carried out. */
  openStarts: Map<string, OpenStart>;
  hold: HoldLoop;
  /** Rate of the worker on this machine, as a leader last told it. */
  rate?: KnownRate;
  /** Keys of worker incarnations on which nothing runs any more. */
  emptied: string[];
  /** The latest crashes of the worker, the last one at the end. */
  crashes: RecordedCrash[];
  /** Keys of incarnations whose crash the leader must not hear of yet. */
  withheldCrashes: Set<string>;
  lastReportAt: Milliseconds;
  /** Whether a report is sent at the end of the current event. */
  reportDue: boolean;
  /** Effects of the current event. */
  effects: ControlEffect[];
}

/** Outcome of a start call; `clock` is the worker's monotonic clock. */
export type StartOutcome =
  | { kind: "started"; clock: Milliseconds }
  | { kind: "refused"; reason: string; clock?: Milliseconds }
  | { kind: "unknown" };

/** Events that an agent's reducer handles. */
export type ControlEvent =
  & {
    /** Monotonic time, which stands still while the machine is suspended. */
    now: Milliseconds;
    /** Total time of all suspensions; unchanged if it is left out. */
    suspended?: Milliseconds;
  }
  & (
    /** A heartbeat of a worker arrived. */
    | { kind: "announced"; announcement: Announcement }
    /** The worker announced its shutdown. */
    | { kind: "left"; id: string }
    | {
      kind: "orders";
      orders: AgentOrders;
      /** Number of the link that carried them, for the log. */
      link?: number;
    }
    /** The worker answered a hold call that was sent at `sentAt`. */
    | {
      kind: "held";
      worker: string;
      sentAt: Milliseconds;
      clock: Milliseconds;
      born: Milliseconds;
      running: RunningTask[];
      ended: EndedTask[];
      /** Whether `ended` holds all ends that are not acknowledged. */
      allEnds: boolean;
    }
    | {
      kind: "holdFailed";
      worker: string;
      reason: string;
      /** Whether no process with the worker's id is at its address. */
      refused: boolean;
      /** Whether the worker closed the connection, having lived until then. */
      connectionLost: boolean;
    }
    | {
      kind: "startAnswered";
      worker: string;
      run: string;
      outcome: StartOutcome;
    }
    | { kind: "stopAnswered"; worker: string; run: string; stopped: boolean }
    /** A leader connected. */
    | { kind: "linked" }
    /** Sent at short intervals, to apply timeouts. */
    | { kind: "tick" }
  );

/**
 * What the caller of the reducer is to do. `until` is the end of the lease in
 * the worker's monotonic time, `token` the fencing token of the call.
 */
export type ControlEffect =
  /**
   * Calls the worker for its lists. The worker answers at the next end of a
   * run, or after `wait`. The lease stays as it is if `until` is undefined.
   */
  | {
    kind: "hold";
    worker: string;
    id: string;
    token: number;
    until?: Milliseconds;
    acknowledged: number;
    wait: Milliseconds;
  }
  | {
    kind: "start";
    worker: string;
    id: string;
    token: number;
    until: Milliseconds;
    order: StartOrder;
  }
  | { kind: "stop"; worker: string; id: string; token: number; run: RunName }
  | { kind: "report"; report: AgentReport }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields };
