/**
 * Test harness for the reducer of an entry, used by the tests of its folders.
 *
 * @module
 */

import type {
  AgentMessage,
  AttemptAnswer,
  AttemptId,
  Claim,
  ClaimResult,
  Configuration,
  EntryEffect,
  EntryEvent,
  EntryMessage,
  Hello,
  Outcome,
  Report,
  WorkRequest,
} from "@dragonflyledge/model";
import { createRandom } from "@dragonflyledge/model";
import { createEntryReducer } from "./reducer.ts";

/** An event without its time, which the harness adds. */
type EventWithoutTime = EntryEvent extends infer Event
  ? Event extends EntryEvent ? Omit<Event, "now"> : never
  : never;
/** Message to an agent of the given kind. */
type MessageOfKind<Kind> = Extract<EntryMessage, { kind: Kind }>;

/**
 * Creates a configuration with teams `a` and `b`, of which `b` has twice the
 * weight, an urgent class `now`, a class `later` that may hold half of the
 * slots of an endpoint, and the service `kits`.
 */
export function configuration(version = 1, queueLimit = 100): Configuration {
  const common = { defaultDeadline: 5000, queueLimit };
  const team = (name: string, weight: number) => ({
    name,
    tokenDigests: [],
    guarantees: [],
    acceleratorQuota: 0,
    weight,
  });
  return {
    version,
    teams: [team("a", 1), team("b", 2)],
    classes: [
      { name: "now", urgent: true, slotShare: 1, ...common },
      { name: "later", urgent: false, slotShare: 0.5, ...common },
    ],
    services: [{ name: "kits", path: "/run", bodyLimit: 1000 }],
  };
}

/** Creates the hello of an agent of the service `kits`. */
export function hello(
  worker: string,
  fields: { incarnation?: number; slots?: number; domain?: string } = {},
): Hello {
  const { incarnation = 1, slots = 2, domain = "d1" } = fields;
  return {
    kind: "hello",
    protocol: 1,
    role: "agent",
    id: worker,
    incarnation,
    versions: { configuration: 1, homes: 0 },
    inventory: {
      worker,
      location: { region: "r", failureDomain: domain, rack: "k" },
      capacity: { accelerators: 8, cores: 32, memoryMiB: 1 },
      service: "kits",
      slots,
      connections: 64,
    },
  };
}

/** Creates the report of an idle worker, with the given fields replaced. */
export function report(worker: string, fields: Partial<Report>): Report {
  return {
    kind: "report",
    worker,
    incarnation: 1,
    versions: { configuration: 1, homes: 0 },
    leaving: false,
    slotsUsed: 0,
    slotsByClass: {},
    members: [],
    usage: { cores: 0, memoryMiB: 0, age: 0 },
    ...fields,
  };
}

/** Creates an answer of one piece, with the given fields replaced. */
export function answer(
  attempt: AttemptId,
  fields: Partial<AttemptAnswer>,
): AttemptAnswer {
  return {
    kind: "attemptAnswer",
    attempt,
    status: 200,
    contentType: "text/plain",
    sequence: 0,
    last: true,
    piece: new Uint8Array([7]),
    ...fields,
  };
}

/**
 * Creates an entry at time 0 with a configuration, to which the given workers
 * are connected. All requests belong to team `a`, class `now` and service
 * `kits` unless a test says otherwise.
 */
export function createHarness(workers: string[] = [], slots = 2) {
  const reducer = createEntryReducer({
    id: "e1",
    incarnation: 1,
    random: createRandom(17),
    failureDomain: "d1",
  });
  const effects: EntryEffect[] = [];
  const outcomes = new Map<string, Outcome>();
  let now = 0;
  /** Applies an event at the present time, and returns its effects. */
  const on = (event: EventWithoutTime) => {
    const fresh = reducer.reduce({ ...event, now } as EntryEvent);
    effects.push(...fresh);
    for (const effect of fresh) {
      if (effect.kind === "respond") {
        outcomes.set(effect.request, effect.outcome);
      }
    }
    return fresh;
  };
  const harness = {
    reducer,
    state: reducer.state,
    /** All effects so far. */
    effects,
    /** Outcomes so far, by request. */
    outcomes,
    on,
    /** Moves time forward and applies a tick. */
    at(time: number) {
      now = time;
      return on({ kind: "tick" });
    },
    /** Moves time forward without an event. */
    setTime(time: number) {
      now = time;
    },
    /** Connects the agent of a worker. */
    connect: (worker: string, fields = {}) =>
      on({ kind: "agentConnected", hello: hello(worker, fields) }),
    /** Ends the session with the agent of a worker. */
    lose: (worker: string, incarnation = 1) =>
      on({ kind: "agentLost", worker, incarnation }),
    /** Lets a request arrive, by default with a deadline 5 s from now. */
    request(id: string, fields: Partial<WorkRequest> = {}) {
      const request = {
        id,
        service: "kits",
        team: "a",
        class: "now",
        deadline: now + 5000,
        idempotent: false,
        contentType: "text/plain",
        body: new Uint8Array([1]),
        ...fields,
      };
      return on({ kind: "requestArrived", request, fingerprint: "f" });
    },
    /** Delivers a message of the worker's agent. */
    deliver: (worker: string, message: AgentMessage, incarnation = 1) =>
      on({ kind: "message", worker, incarnation, message }),
    /** Delivers the report of a worker. */
    report: (worker: string, fields: Partial<Report> = {}) =>
      harness.deliver(worker, report(worker, fields)),
    /** Messages of one kind that were sent to agents, with their worker. */
    sent: <Kind extends EntryMessage["kind"]>(kind: Kind) =>
      effects.flatMap((effect) =>
        effect.kind === "send" && effect.message.kind === kind
          ? [{
            worker: effect.worker,
            message: effect.message as MessageOfKind<Kind>,
          }]
          : []
      ),
    /** Last attempt that was sent for the request, if any. */
    attempt: (request: string) =>
      harness.sent("attempt")
        .findLast((each) => each.message.attempt.request === request),
    /** Delivers a message of the agent about the request's last attempt. */
    reply(request: string, message: object) {
      const last = harness.attempt(request)!;
      const { attempt, incarnation } = last.message;
      const full = { attempt, ...message } as unknown as AgentMessage;
      return harness.deliver(last.worker, full, incarnation);
    },
    /** Delivers the answer to the request's last attempt. */
    answer(request: string, status = 200, fields: Partial<AttemptAnswer> = {}) {
      const { attempt } = harness.attempt(request)!.message;
      return harness.reply(request, answer(attempt, { status, ...fields }));
    },
    /** Delivers the agent's refusal of the request's last attempt. */
    refuse: (request: string, reason: string) =>
      harness.reply(request, { kind: "attemptRefused", reason }),
    /** Delivers the state of the request's last attempt at its agent. */
    replyState: (request: string, state: string) =>
      harness.reply(request, { kind: "attemptState", state }),
    /** Outcome of the request as `kind: reason` or `kind: status`, if any. */
    outcome(request: string) {
      const outcome = outcomes.get(request);
      if (outcome === undefined) return undefined;
      return "reason" in outcome
        ? `${outcome.kind}: ${outcome.reason}`
        : `${outcome.kind}: ${outcome.answer.status}`;
    },
    /** Claims of the last `claim` effect. */
    claims: (): Claim[] =>
      effects.flatMap((each) => each.kind === "claim" ? [each.claims] : [])
        .at(-1) ?? [],
    /** Claims that were stored with an outcome. */
    settledClaims: () =>
      effects.flatMap((each) =>
        each.kind === "settleClaim" ? [each.claim] : []
      ),
    /**
     * Answers the last `claim` effect: by default every claim was created, and
     * with `down` the store failed.
     */
    answerClaims(results?: ClaimResult[] | "down") {
      const claims = harness.claims();
      return on({
        kind: "claimsAnswered",
        requests: claims.map((each) => each.request),
        results: results === "down"
          ? undefined
          : results ?? claims.map(() => ({ kind: "created" as const })),
      });
    },
  };
  on({ kind: "configurationSeen", configuration: configuration() });
  for (const worker of workers) harness.connect(worker, { slots });
  return harness;
}
