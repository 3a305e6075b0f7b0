/**
 * Performs the calls to its worker that an agent's reducer asks for.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import type {
  ControlEffect,
  ControlEvent,
  StartOutcome,
} from "@dragonflyledge/worker-control";
import { CallKind } from "../inputs.ts";
import type { CallOutcome, Calls } from "./calls.ts";
import type { WorkerLists } from "./incarnation.ts";

const CALL_TIMEOUT: Milliseconds = 700;
const HOLD_MARGIN: Milliseconds = 700;

type EffectOf<Kind extends ControlEffect["kind"]> = Extract<
  ControlEffect,
  { kind: Kind }
>;
/** An event but for its time. */
type Answer = ControlEvent extends infer Event
  ? Event extends ControlEvent ? Omit<Event, "now" | "suspended"> : never
  : never;
type Held = WorkerLists & { clock: Milliseconds; born: Milliseconds };

/** Performs a call; the answer is passed to `dispatch`. */
export function performCall(fields: {
  calls: Calls;
  effect: EffectOf<"hold" | "start" | "stop">;
  /** The agent's clock. */
  now: () => Milliseconds;
  /** Simulated time from which on the agent knows the worker's capacity. */
  knownSince: Milliseconds;
  dispatch: (answer: Answer) => void;
}): void {
  const { effect } = fields;
  if (effect.kind === "hold") return hold({ ...fields, effect });
  if (effect.kind === "start") return start({ ...fields, effect });
  const { worker, id, token, run } = effect;
  fields.calls.send<true>({
    kind: CallKind.Stop,
    id,
    token,
    timeout: CALL_TIMEOUT,
    carryOut: (incarnation, answer) => {
      incarnation.stop(run);
      answer(true);
    },
    done: ({ kind }) =>
      fields.dispatch({
        kind: "stopAnswered",
        worker,
        run: runKey(run),
        stopped: kind === "answer",
      }),
  });
}

function hold({ calls, effect, now, dispatch }: {
  calls: Calls;
  effect: EffectOf<"hold">;
  now: () => Milliseconds;
  dispatch: (answer: Answer) => void;
}): void {
  const { worker, id, token, until, acknowledged, wait } = effect;
  const sentAt = now();
  calls.send<Held>({
    kind: CallKind.Hold,
    id,
    token,
    timeout: wait + HOLD_MARGIN,
    carryOut: (incarnation, answer) =>
      incarnation.hold({
        until,
        acknowledged,
        wait,
        answer: (lists) =>
          answer({
            ...lists,
            clock: incarnation.clock(),
            born: incarnation.born,
          }),
      }),
    done: (outcome) => {
      if (outcome.kind === "answer") {
        return dispatch({ kind: "held", worker, sentAt, ...outcome.answer });
      }
      dispatch({
        kind: "holdFailed",
        worker,
        reason: outcome.kind,
        refused: outcome.kind === "absent",
        connectionLost: outcome.kind === "unknown" && outcome.connectionLost,
      });
    },
  });
}

function start({ calls, effect, knownSince, dispatch }: {
  calls: Calls;
  effect: EffectOf<"start">;
  knownSince: Milliseconds;
  dispatch: (answer: Answer) => void;
}): void {
  const { worker, id, token, until, order } = effect;
  calls.send<Milliseconds>({
    kind: CallKind.Start,
    id,
    token,
    timeout: CALL_TIMEOUT,
    carryOut: (incarnation, answer, refuse) => {
      const { task, run } = order;
      const reason = incarnation.start({ task, run, until, knownSince });
      if (reason === undefined) answer(incarnation.clock());
      else refuse(reason);
    },
    done: (outcome) =>
      dispatch({
        kind: "startAnswered",
        worker,
        run: runKey(order),
        outcome: toStartOutcome(outcome),
      }),
  });
}

function toStartOutcome(outcome: CallOutcome<Milliseconds>): StartOutcome {
  switch (outcome.kind) {
    case "answer":
      return { kind: "started", clock: outcome.answer };
    case "unknown":
      return { kind: "unknown" };
    case "absent":
      return { kind: "refused", reason: outcome.reason };
    case "refused":
      return outcome;
  }
}
