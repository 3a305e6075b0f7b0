/**
 * State of the requests that an entry has received and not yet answered, and
 * of what it knows about load and run times.
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

/** Phase of a request that has no outcome yet. */
export const Phase = {
  /** Waits for the outcome of another open request here with the same key. */
  Following: "following",
  /** Waits for the store's answer to the claim of its idempotency key. */
  Claiming: "claiming",
  /** Another request holds the claim, which is read until it has an outcome. */
  Watching: "watching",
  /** Waits in the queue for a free slot. */
  Queued: "queued",
  /** Waits for a delay before it is queued again. */
  Backoff: "backoff",
  /** An attempt was sent to an agent and has not ended. */
  Running: "running",
  /** The agent of its attempt is not connected; the attempt may be running. */
  Lost: "lost",
  /**
   * Past its deadline, with its attempt cancelled. Waits for up to
   * `CANCEL_TIMEOUT` for the agent's answer, which may prove that it never ran.
   */
  Cancelling: "cancelling",
} as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** An attempt that was sent to an agent and may be running. */
export interface RunningAttempt {
  /** Number of the attempt among those of its request, from 1. */
  number: number;
  worker: WorkerId;
  incarnation: Incarnation;
  sentAt: Milliseconds;
  /** Whether the agent has said that it received and started the attempt. */
  accepted: boolean;
  /** Whether the agent was asked for its state and has not answered yet. */
  queried: boolean;
  /**
   * When an answer that the agent has sent in full, but of which pieces are
   * missing here, counts as lost. Infinite while the agent is still at work.
   */
  giveUpAt: Milliseconds;
  /** Run time charged to the team at dispatch, corrected at the end. */
  charge: Charge;
  /** Whether the request was urgent when it was sent. */
  urgent: boolean;
  /** Slots of the endpoint that work of this class may hold, as sent along. */
  classSlots: number;
  answer: AnswerPieces;
}

/** A request that has no outcome yet. */
export interface OpenRequest extends QueuedRequest {
  readonly request: WorkRequest;
  /** Digest of service and body; equal for repeats of the same request. */
  readonly fingerprint: string;
  readonly arrivedAt: Milliseconds;
  phase: Phase;
  /** When the timer of the current phase expires. */
  timerAt: Milliseconds;
  /** Whether its class is urgent and its work is not observed to be long. */
  urgent: boolean;
  /** Whether its work runs far longer than is usual in its class. */
  long: boolean;
  /** Attempts sent so far, which is also the number of the last one. */
  attempts: number;
  /** Backoffs so far, whether after a broken attempt or after refusals. */
  retries: number;
  /** Refusals by agents that were not full. */
  refusals: number;
  /** Whether the retry budget must allow the end of the current backoff. */
  needsBudget: boolean;
  running: RunningAttempt | undefined;
  /** Whether an attempt ended without proof that it did not run. */
  mayHaveRun: boolean;
  /** Worker of the last attempt, on which the next one should not run. */
  avoid: WorkerId | undefined;
  /** Stored claim that receives the outcome; undefined without a key. */
  claim: Claim | undefined;
  /** Reads of the other request's claim so far. */
  claimReads: number;
  /** Whether the caller closed its connection. */
  callerLeft: boolean;
  /** Requests in phase `Following` that wait for the outcome of this one. */
  followers: OpenRequest[];
  /** Whether the request has its outcome. */
  ended: boolean;
}

/** Load that this entry puts on one service. */
export interface ServiceLoad {
  /** Attempts that may be running. */
  running: number;
  /** Attempts that may be running and are not urgent. */
  deferrable: number;
  /** Wait of urgent work, from all slots that became free. */
  wait: WaitEstimate;
  /** Wait of deferrable work, from the slots that deferrable work freed. */
  deferrableWait: WaitEstimate;
  /** When the peak ends, unless urgent work has to wait again before. */
  peakUntil: Milliseconds;
}

/** Calls to the store that claim idempotency keys. */
export interface ClaimCalls {
  /** Requests whose claims go into the next call. */
  pending: OpenRequest[];
  /** When the first of the pending requests was added. */
  pendingSince: Milliseconds;
  /** The last call, until it is answered or `CLAIM_TIMEOUT` has passed. */
  inFlight: { requests: RequestId[]; sentAt: Milliseconds } | undefined;
  /**
   * Claims that may be in the store although their requests were answered
   * `not-run` before the store confirmed them. These requests never run.
   */
  abandoned: Map<RequestId, { claim: Claim; outcome: Outcome }>;
}

/** State of all requests of an entry. */
export interface RequestsState {
  /** Requests without an outcome. */
  open: Map<RequestId, OpenRequest>;
  /** Open requests that are not queued, in the order of `timerAt`. */
  timers: IndexedHeap<OpenRequest>;
  queue: RequestQueue<OpenRequest>;
  /** Requests with a running attempt, by the worker that it was sent to. */
  byWorker: Map<WorkerId, Set<OpenRequest>>;
  /**
   * Attempts that were ended here while their agent was not connected. They
   * are cancelled when the same incarnation of the agent returns.
   */
  orphans: Map<WorkerId, { incarnation: Incarnation; attempts: AttemptId[] }>;
  /** Open request that claims or has claimed a key, by `claimKey`. */
  byKey: Map<string, OpenRequest>;
  claims: ClaimCalls;
  retryBudget: RetryBudget;
  runTimeEstimates: RunTimeEstimates;
  loads: Map<ServiceName, ServiceLoad>;
  /** When the periodic checks of `runTimers` were last made. */
  lastCheckAt: Milliseconds;
  /** Configuration version for which each service's queue was checked. */
  checkedVersions: Map<ServiceName, number | undefined>;
}

/** Creates the state of an entry without requests. */
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

/** Returns the load of a service; an unknown service is added without load. */
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
