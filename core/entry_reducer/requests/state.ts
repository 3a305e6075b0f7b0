/**
 * State of the requests of an entry.
 *
 * @module
 */

import type {
  Charge,
  IndexedHeap,
  QueuedRequest,
  RequestQueue,
  RetryBudget,
  RunTimeEstimates,
  WaitEstimate,
} from "@dragonflyledge/admission";
import {
  createIndexedHeap,
  createRequestQueue,
  createRetryBudget,
  createRunTimeEstimates,
  createWaitEstimate,
} from "@dragonflyledge/admission";
import type {
  AttemptId,
  Claim,
  Incarnation,
  Milliseconds,
  Outcome,
  RequestId,
  ServiceName,
  WorkerId,
  WorkRequest,
} from "@dragonflyledge/model";
import type { AnswerPieces } from "./answer_pieces.ts";

/** Where an open request stands. */
export const Phase = {
  /** Waits for the outcome of an earlier request with the same key. */
  Following: "following",
  /** Waits for its claim. */
  Claiming: "claiming",
  /** Reads the claim of another entry until it has an outcome. */
  Watching: "watching",
  Queued: "queued",
  /** Waits before it is queued again. */
  Backoff: "backoff",
  Running: "running",
  /** Its agent is away; the attempt may be running. */
  Lost: "lost",
  /** Past its deadline; waits a short time for the proof that it never ran. */
  Cancelling: "cancelling",
} as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** An attempt that may be running. */
export interface RunningAttempt {
  number: number;
  worker: WorkerId;
  incarnation: Incarnation;
  sentAt: Milliseconds;
  accepted: boolean;
  /** Whether the answer to a query is awaited. */
  queried: boolean;
  /** Then an answer that was sent but did not arrive is given up. */
  giveUpAt: Milliseconds;
  charge: Charge;
  /** Whether it was sent as urgent. */
  urgent: boolean;
  classSlots: number;
  answer: AnswerPieces;
}

/** A request without an outcome. */
export interface OpenRequest extends QueuedRequest {
  readonly request: WorkRequest;
  readonly fingerprint: string;
  readonly arrivedAt: Milliseconds;
  phase: Phase;
  timerAt: Milliseconds;
  /** Treated as urgent: its class is, and it was not observed to be long. */
  urgent: boolean;
  long: boolean;
  /** Number of the last attempt. */
  attempts: number;
  retries: number;
  refusals: number;
  /** Whether the next queueing is a retry that the budget must allow. */
  needsBudget: boolean;
  running: RunningAttempt | undefined;
  /** Whether an attempt that ended without proof may have run. */
  mayHaveRun: boolean;
  avoid: WorkerId | undefined;
  /** Claim that receives the outcome. */
  claim: Claim | undefined;
  /** Number of claim reads so far. */
  claimReads: number;
  callerLeft: boolean;
  followers: OpenRequest[];
  ended: boolean;
}

/** Load of one service as this entry sees it. */
export interface ServiceLoad {
  /** Attempts that may be running, and those of them that are deferrable. */
  running: number;
  deferrable: number;
  /** Slots that became free, which urgent work may use. */
  wait: WaitEstimate;
  /** Slots that became free after deferrable work. */
  deferrableWait: WaitEstimate;
  peakUntil: Milliseconds;
}

/** Claims on their way to the store. */
export interface ClaimCalls {
  pending: OpenRequest[];
  pendingSince: Milliseconds;
  inFlight: { requests: RequestId[]; sentAt: Milliseconds } | undefined;
  /**
   * Claims that may be in the store although their requests were answered
   * `not-run`. They never run.
   */
  abandoned: Map<RequestId, { claim: Claim; outcome: Outcome }>;
}

export interface RequestsState {
  open: Map<RequestId, OpenRequest>;
  /** Requests that are not queued, by the time of their next step. */
  timers: IndexedHeap<OpenRequest>;
  queue: RequestQueue<OpenRequest>;
  byWorker: Map<WorkerId, Set<OpenRequest>>;
  /** Attempts on agents that are away, whose answers nobody awaits. */
  orphans: Map<WorkerId, { incarnation: Incarnation; attempts: AttemptId[] }>;
  /** Open request that holds a key, by team and key. */
  byKey: Map<string, OpenRequest>;
  claims: ClaimCalls;
  retryBudget: RetryBudget;
  runTimeEstimates: RunTimeEstimates;
  loads: Map<ServiceName, ServiceLoad>;
  /** When the bound on waiting was last checked. */
  lastCheckAt: Milliseconds;
  /** Configuration against which the queue of each service was checked. */
  checkedVersions: Map<ServiceName, number | undefined>;
}

export function createRequestsState(): RequestsState {
  return {
    open: new Map(),
    timers: createIndexedHeap({
      before: (left, right) => left.timerAt < right.timerAt,
    }),
    queue: createRequestQueue(),
    byWorker: new Map(),
    orphans: new Map(),
    byKey: new Map(),
    claims: {
      pending: [],
      pendingSince: 0,
      inFlight: undefined,
      abandoned: new Map(),
    },
    retryBudget: createRetryBudget(),
    runTimeEstimates: createRunTimeEstimates(),
    loads: new Map(),
    lastCheckAt: 0,
    checkedVersions: new Map(),
  };
}

/** Returns the load of a service, idle if it is new. */
export function serviceLoad(
  requests: RequestsState,
  service: ServiceName,
): ServiceLoad {
  let load = requests.loads.get(service);
  if (load === undefined) {
    load = {
      running: 0,
      deferrable: 0,
      wait: createWaitEstimate(),
      deferrableWait: createWaitEstimate(),
      peakUntil: 0,
    };
    requests.loads.set(service, load);
  }
  return load;
}
