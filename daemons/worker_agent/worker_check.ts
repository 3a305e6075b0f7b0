/**
 * Decides who may speak for the agent's worker.
 *
 * Anybody can send a heartbeat or a deregistration, with any id. The agent's
 * worker is the one that answers at the address in the agent's settings, so a
 * sender that is not known yet is believed only once the worker there has
 * confirmed its id and the time of its start.
 *
 * @module
 */

import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import type { Instruments } from "@dragonflyledge/exposition";
import { decodeHeartbeat, isWorkerId } from "@dragonflyledge/platform";
import type { WorkerClient } from "@dragonflyledge/platform";
import type { Announcement } from "@dragonflyledge/worker-control";

/** Why a message that speaks for a worker is refused; a label of a metric. */
export const Refusal = {
  /** The id has characters that no header may hold, or is too long. */
  Id: "id",
  /** The body is no heartbeat of a worker. */
  Body: "body",
  /** The sender is called at another address than the agent's worker. */
  Address: "address",
  /** The sender serves another service than the agent's worker. */
  Service: "service",
  /** The worker has another id, or started at another time. */
  Identity: "identity",
  /** A later process was confirmed while the worker was asked. */
  Overtaken: "overtaken",
  /** The worker did not confirm in time that it is the sender. */
  Unconfirmed: "unconfirmed",
} as const;
export type Refusal = typeof Refusal[keyof typeof Refusal];

/** Decision on a heartbeat. */
export type HeartbeatDecision =
  | { kind: "accepted"; announcement: Announcement }
  | { kind: "refused"; reason: Refusal };

/** Decides on heartbeats and deregistrations. */
export interface WorkerCheck {
  heartbeat(id: string, bytes: Uint8Array): Promise<HeartbeatDecision>;
  /** Returns whether the worker that was confirmed last has this id. */
  deregistration(id: string): boolean;
}

/** Delay before the worker is asked again. */
const RETRY_DELAY: Milliseconds = 100;
/**
 * Time after which the worker is not asked again. A worker waits for 1 s for the
 * answer to a heartbeat.
 */
const RETRY_LIMIT: Milliseconds = 500;
/** Heartbeats that may wait for a confirmation at the same time. */
const MAX_PENDING = 4;
/** Refused senders that are logged; further ones are only counted. */
const MAX_LOGGED = 32;

/** Creates the check of one agent, which has not confirmed a worker yet. */
export function createWorkerCheck(fields: {
  worker: Pick<WorkerClient, "identify">;
  /** Where the agent's worker is called, as `host:port`. */
  address: string;
  /** Service of the agent's worker; empty if it is not known. */
  service: string;
  /** Highest fencing token of the agent. */
  token: () => number;
  clock: Clock;
  timer: Timer;
  log: Log;
  instruments: Instruments;
}): WorkerCheck {
  const { worker, address, clock, timer, log, instruments } = fields;
  const logged = new Set<string>();
  let confirmed: Announcement | undefined;
  let pending = 0;

  /** Counts what was refused; a sender is logged once for each reason. */
  function noteRefusal(message: string, id: string, reason: Refusal): void {
    instruments.increment("worker_messages_refused_total", { message, reason });
    const key = `${reason} ${id}`;
    if (logged.has(key) || logged.size >= MAX_LOGGED) return;
    logged.add(key);
    log.warn("A message does not come from the worker.", {
      message,
      id,
      reason,
      worker: confirmed?.id ?? "",
      born: confirmed?.born ?? 0,
    });
  }

  /** Finds what rules the heartbeat out without asking the worker. */
  function findContradiction(
    announcement: Announcement,
    announcedAddress: string,
  ): Refusal | undefined {
    if (announcedAddress !== address) return Refusal.Address;
    const service = isConfirmed(announcement)
      ? confirmed!.service
      : fields.service;
    return service !== "" && announcement.service !== service
      ? Refusal.Service
      : undefined;
  }

  /** Whether the sender is the worker incarnation that was confirmed last. */
  function isConfirmed({ id, born }: Announcement): boolean {
    return confirmed?.id === id && confirmed.born === born;
  }

  /** Asks the worker whether it is the sender of the heartbeat. */
  async function confirm(
    { id, born }: Announcement,
  ): Promise<Refusal | undefined> {
    const end = clock.now() + RETRY_LIMIT;
    while (true) {
      const answer = await worker.identify({ id, token: fields.token() });
      if (answer.kind === "denied") return Refusal.Identity;
      if (answer.kind === "confirmed") {
        return answer.born === born ? undefined : Refusal.Identity;
      }
      if (clock.now() >= end) return Refusal.Unconfirmed;
      await new Promise<void>((resolve) => {
        timer.after(RETRY_DELAY, resolve);
      });
    }
  }

  async function decide(
    id: string,
    bytes: Uint8Array,
  ): Promise<HeartbeatDecision> {
    const refuse = (reason: Refusal): HeartbeatDecision => ({
      kind: "refused",
      reason,
    });
    if (!isWorkerId(id)) return refuse(Refusal.Id);
    const heartbeat = decodeHeartbeat({ id, bytes });
    if (!heartbeat) return refuse(Refusal.Body);
    const { announcement } = heartbeat;
    const contradiction = findContradiction(announcement, heartbeat.address);
    if (contradiction) return refuse(contradiction);
    if (isConfirmed(announcement)) return { kind: "accepted", announcement };
    if (pending >= MAX_PENDING) return refuse(Refusal.Unconfirmed);
    pending++;
    const denial = await confirm(announcement);
    pending--;
    if (denial) return refuse(denial);
    if (confirmed && confirmed.born > announcement.born) {
      return refuse(Refusal.Overtaken);
    }
    if (!isConfirmed(announcement)) confirmed = announcement;
    return { kind: "accepted", announcement };
  }

  return {
    heartbeat: async (id, bytes) => {
      const decision = await decide(id, bytes);
      if (decision.kind === "refused") {
        noteRefusal("heartbeat", id, decision.reason);
      }
      return decision;
    },
    deregistration: (id) => {
      if (confirmed?.id === id) return true;
      const reason = isWorkerId(id) ? Refusal.Identity : Refusal.Id;
      noteRefusal("deregistration", id, reason);
      return false;
    },
  };
}
