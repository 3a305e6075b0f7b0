/**
 * A reducer under test with short ways to drive it.
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
type MessageOfKind<Kind> = Extract<EntryMessage, { kind: Kind }>;

/** Class `now` is urgent; `later` may hold half of the slots. */
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

/** Report of a worker that is idle but for the given fields. */
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

/** One piece that is a whole answer but for the given fields. */
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

/** Creates a configured entry at time 0 that knows the given workers. */
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
    effects,
    outcomes,
    on,
    /** Moves time forward and ticks. */
    at(time: number) {
      now = time;
      return on({ kind: "tick" });
    },
    /** Moves time forward without an event. */
    setTime(time: number) {
      now = time;
    },
    connect: (worker: string, fields = {}) =>
      on({ kind: "agentConnected", hello: hello(worker, fields) }),
    lose: (worker: string, incarnation = 1) =>
      on({ kind: "agentLost", worker, incarnation }),
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
    deliver: (worker: string, message: AgentMessage, incarnation = 1) =>
      on({ kind: "message", worker, incarnation, message }),
    report: (worker: string, fields: Partial<Report> = {}) =>
      harness.deliver(worker, report(worker, fields)),
    sent: <Kind extends EntryMessage["kind"]>(kind: Kind) =>
      effects.flatMap((effect) =>
        effect.kind === "send" && effect.message.kind === kind
          ? [{
            worker: effect.worker,
            message: effect.message as MessageOfKind<Kind>,
          }]
          : []
      ),
    /** Last attempt of the request. */
    attempt: (request: string) =>
      harness.sent("attempt")
        .findLast((each) => each.message.attempt.request === request),
    /** Worker and identity of the last attempt of the request. */
    reply(request: string, message: object) {
      const last = harness.attempt(request)!;
      const { attempt, incarnation } = last.message;
      const full = { attempt, ...message } as unknown as AgentMessage;
      return harness.deliver(last.worker, full, incarnation);
    },
    answer(request: string, status = 200, fields: Partial<AttemptAnswer> = {}) {
      const { attempt } = harness.attempt(request)!.message;
      return harness.reply(request, answer(attempt, { status, ...fields }));
    },
    refuse: (request: string, reason: string) =>
      harness.reply(request, { kind: "attemptRefused", reason }),
    replyState: (request: string, state: string) =>
      harness.reply(request, { kind: "attemptState", state }),
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
    settledClaims: () =>
      effects.flatMap((each) =>
        each.kind === "settleClaim" ? [each.claim] : []
      ),
    /** Answers the last `claim` effect, by default as created. */
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
