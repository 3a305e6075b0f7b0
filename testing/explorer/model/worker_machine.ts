/**
 * A worker across its incarnations: crashes, returns, drains and heartbeats.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Announcement } from "@dragonflyledge/worker-control";
import type { AgentSetup, Happening } from "../inputs.ts";
import type { Ledger } from "../ledger.ts";
import type { Agenda } from "./agenda.ts";
import { createIncarnation } from "./incarnation.ts";
import type { Incarnation } from "./incarnation.ts";
import { HEARTBEAT_INTERVAL } from "./times.ts";
import type { Work } from "./work.ts";

const HEARTBEAT_DELAY: Milliseconds = 1;
/** A worker that has started answers calls before its first heartbeat. */
const FIRST_HEARTBEAT_DELAY: Milliseconds = 50;
/** Time that a draining worker announces to have left. */
const ANNOUNCED_TIME: Milliseconds = 2000;
const MILLICORES = 64_000;
const MEGABYTES = 131_072;
/** Agents of one rack. */
const RACK_SIZE = 2;

type WorkerFault = Extract<
  Happening,
  { kind: "crashWorker" | "drain" | "resize" | "repeatHeartbeat" }
>;

/** How a worker that crashed comes back. */
interface Return {
  downFor: Milliseconds;
  sameId: boolean;
  /** Whether connections are refused until then. */
  refuses: boolean;
}

/** Gets what a worker tells its agent. */
export interface WorkerListener {
  onHeartbeat(announcement: Announcement): void;
  /** The worker announces its shutdown. */
  onLeft(id: string): void;
}

/** A worker across its incarnations. */
export interface WorkerMachine {
  /** The present incarnation; undefined while it is down. */
  current(): Incarnation | undefined;
  /** Whether connections are refused while it is down. */
  refuses(): boolean;
  disturb(fault: WorkerFault): void;
}

/** Starts a worker. */
export function startWorkerMachine(fields: {
  index: number;
  setup: AgentSetup;
  agenda: Agenda;
  ledger: Ledger;
  work: Work;
  listener: WorkerListener;
}): WorkerMachine {
  const { agenda, setup, index } = fields;
  let lives = 0;
  let current: Incarnation | undefined;
  let refuses = true;
  let draining = false;
  let sequence = 0;
  /** Accelerators taken away at present. */
  let less = 0;

  function start(id: string): void {
    draining = false;
    sequence = 0;
    current = createIncarnation({
      ...fields,
      id,
      accelerators: setup.accelerators - less,
      onDeadly: (deadly) => crash({ ...deadly, refuses: true }),
    });
    sendHeartbeat(FIRST_HEARTBEAT_DELAY);
  }

  function nextId(): string {
    return `w${index}-${++lives}`;
  }

  function crash(fault: Return): void {
    if (!current) return;
    const former = current;
    current = undefined;
    refuses = fault.refuses;
    former.crash();
    const { downFor, sameId } = fault;
    agenda.after(downFor, () => start(sameId ? former.id : nextId()));
  }

  function describe(worker: Incarnation): Announcement {
    return {
      id: worker.id,
      born: worker.born,
      service: "service",
      rack: `rack-${Math.floor(index / RACK_SIZE)}`,
      labels: [],
      millicores: MILLICORES,
      megabytes: MEGABYTES,
      accelerators: worker.accelerators(),
      draining,
      remaining: draining ? ANNOUNCED_TIME : 0,
      clock: worker.clock(),
      sequence: ++sequence,
    };
  }

  function sendHeartbeat(delay: Milliseconds = HEARTBEAT_DELAY): void {
    if (!current) return;
    const announcement = describe(current);
    agenda.after(delay, () => fields.listener.onHeartbeat(announcement));
  }

  function repeatHeartbeats(): void {
    sendHeartbeat();
    agenda.after(HEARTBEAT_INTERVAL, repeatHeartbeats);
  }

  function drain({ stays, downFor }: Extract<WorkerFault, { kind: "drain" }>) {
    const leaving = current;
    if (!leaving || draining) return;
    draining = true;
    sendHeartbeat();
    agenda.after(ANNOUNCED_TIME + stays, () => {
      if (current !== leaving) return;
      const { id } = leaving;
      agenda.after(HEARTBEAT_DELAY, () => fields.listener.onLeft(id));
      crash({ downFor, sameId: false, refuses: true });
    });
  }

  function changeRoom(change: number): void {
    less += change;
    current?.resize(setup.accelerators - less);
  }

  function disturb(fault: WorkerFault): void {
    switch (fault.kind) {
      case "crashWorker":
        return crash(fault);
      case "drain":
        return drain(fault);
      case "resize": {
        const change = Math.min(fault.less, setup.accelerators - less);
        changeRoom(change);
        return agenda.after(fault.duration, () => changeRoom(-change));
      }
      case "repeatHeartbeat":
        return sendHeartbeat(fault.delay);
    }
  }

  start(nextId());
  agenda.after(HEARTBEAT_INTERVAL, repeatHeartbeats);
  return { current: () => current, refuses: () => refuses, disturb };
}
