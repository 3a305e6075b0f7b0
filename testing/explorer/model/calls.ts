/**
 * Calls of an agent to its worker. They may be carried out late, also after
 * they count as failed and after newer calls, and their answers may be lost.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { CallKind, Happening } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";
import type { Incarnation } from "./incarnation.ts";
import type { WorkerMachine } from "./worker_machine.ts";

const CALL_DELAY: Milliseconds = 1;

/** Outcome of a call. */
export type CallOutcome<Answer> =
  | { kind: "answer"; answer: Answer; worker: Incarnation }
  /** The worker refuses it, for this reason. */
  | { kind: "refused"; reason: string; clock?: Milliseconds }
  /** No process with the id is there, so that it did nothing. */
  | { kind: "absent"; reason: string }
  /** The worker may have carried it out, or may do so later. */
  | { kind: "unknown"; connectionLost: boolean };

/** A call to carry out. */
export interface Call<Answer> {
  kind: CallKind;
  id: string;
  token: number;
  timeout: Milliseconds;
  /** Carries the call out and passes the answer on, at once or later. */
  carryOut: (
    worker: Incarnation,
    answer: (answer: Answer) => void,
    refuse: (reason: string) => void,
  ) => void;
  done: (outcome: CallOutcome<Answer>) => void;
}

type SlowCalls = Extract<Happening, { kind: "slowCalls" }>;

/** Transport of calls to one worker. */
export interface Calls {
  send<Answer>(call: Call<Answer>): void;
  disturb(fault: SlowCalls): void;
  /** Loses all calls for this long. */
  hide(duration: Milliseconds): void;
  isHidden(): boolean;
}

/** Creates the transport of calls to the worker. */
export function createCalls(fields: {
  agenda: Agenda;
  worker: WorkerMachine;
  /** Whether calls under way reach a later incarnation of the same id. */
  callsOutliveWorkers: boolean;
}): Calls {
  const { agenda, worker: machine } = fields;
  let hiddenUntil: Milliseconds = -Infinity;
  let faults: { fault: SlowCalls; until: Milliseconds }[] = [];

  const isHidden = () => agenda.now() < hiddenUntil;

  function send<Answer>(call: Call<Answer>): void {
    const now = agenda.now();
    faults = faults.filter(({ until }) => until > now);
    const fault = faults.find(({ fault }) => fault.call === call.kind)?.fault;
    let isOver = false;
    const finish = (outcome: CallOutcome<Answer>) => {
      if (isOver) return;
      isOver = true;
      call.done(outcome);
    };
    agenda.after(
      call.timeout,
      () => finish({ kind: "unknown", connectionLost: false }),
    );
    const addressed = machine.current();
    agenda.after(fault?.delay ?? CALL_DELAY, () => {
      if (isHidden()) return;
      const isReset = addressed && addressed !== machine.current();
      if (isReset && !fields.callsOutliveWorkers) {
        return finish({ kind: "unknown", connectionLost: true });
      }
      carryOut(call, finish, fault?.lost ?? false);
    });
  }

  function carryOut<Answer>(
    call: Call<Answer>,
    finish: (outcome: CallOutcome<Answer>) => void,
    lost: boolean,
  ): void {
    const worker = machine.current();
    const reply = (outcome: CallOutcome<Answer>) => {
      if (lost || isHidden()) return;
      agenda.after(CALL_DELAY, () => finish(outcome));
    };
    if (!worker) {
      if (!machine.refuses()) return;
      return reply({ kind: "absent", reason: "connection refused" });
    }
    if (worker.id !== call.id) {
      return reply({ kind: "absent", reason: "status 421" });
    }
    const refuse = (reason: string) =>
      reply({ kind: "refused", reason, clock: worker.clock() });
    if (!worker.passes(call.token)) return refuse("fence");
    const noteGone = () => {
      if (!isHidden()) finish({ kind: "unknown", connectionLost: true });
    };
    worker.goneListeners.add(noteGone);
    const leave = () => worker.goneListeners.delete(noteGone);
    call.carryOut(worker, (answer) => {
      leave();
      reply({ kind: "answer", answer, worker });
    }, (reason) => {
      leave();
      refuse(reason);
    });
  }

  return {
    send,
    hide: (duration) => {
      hiddenUntil = Math.max(hiddenUntil, agenda.now() + duration);
    },
    isHidden,
    disturb: (fault) => {
      faults.push({ fault, until: agenda.now() + fault.duration });
    },
  };
}
