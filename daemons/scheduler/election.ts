/**
 * Election of the leader through a key in the store that is bound to a lease.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Log } from "@dragonflyledge/log";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";
import { LEADER_KEY } from "@dragonflyledge/scheduler";

/** A leader that stops renewing its lease is replaced after this time. */
const LEADER_LEASE: Milliseconds = 2000;
const RENEWAL_INTERVAL: Milliseconds = 500;
const RENEWAL_RETRY: Milliseconds = 150;
/** The leader steps down this long before its lease may end. */
const SAFETY_MARGIN: Milliseconds = 150;
const CHECK_INTERVAL: Milliseconds = 250;
/** After `pause`, other entries have this long to be elected. */
const ELECTION_PAUSE: Milliseconds = 3000;

/** Takes part in the election for this process. */
export interface Election {
  /** Revision of the leader key while this process leads, or undefined. */
  epoch(): number | undefined;
  /** Whether this process certainly leads now: its lease can't have ended. */
  leads(): boolean;
  /** Steps down for good; this process is not elected again. */
  resign(): Promise<void>;
  /** Steps down, and does not try to lead again for a while. */
  pause(reason: string): void;
  /** Steps down; this process may be elected again at once. */
  stepDown(reason: string): void;
}

/** Tries to become leader whenever `isVacant` tells that there is no leader. */
export function startElection(fields: {
  name: string;
  store: KeyValue;
  clock: Clock;
  timer: Timer;
  shortestLease: Milliseconds;
  isVacant: () => boolean;
  /** Revision of a leader key that an earlier process of this machine set. */
  staleRevision: () => number | undefined;
  onWon: (epoch: number) => void;
  onLost: () => void;
  log: Log;
}): Election {
  const { store, clock, timer, log } = fields;
  const ttl = Math.max(LEADER_LEASE, fields.shortestLease);
  let held: { epoch: number; lease: number; validUntil: number } | undefined;
  let busy = false;
  let resigned = false;
  let pausedUntil = -Infinity;

  const leads = () => held !== undefined && clock.now() < held.validUntil;

  function stepDown(reason: string): void {
    if (!held) return;
    const { lease, epoch } = held;
    held = undefined;
    log.warn("Leadership lost.", { epoch, reason });
    fields.onLost();
    void releaseLease(lease);
  }

  /** Releases a lease, so that a late write under it can't take effect. */
  async function releaseLease(lease: number): Promise<void> {
    const ended = await store.release(lease);
    if (ended.isErr()) {
      log.info("The lease was not released and will expire.", {
        reason: ended.error.reason,
      });
    }
  }

  /** Writes the leader key under a new lease if the key does not exist. */
  async function campaign(): Promise<void> {
    const sentAt = clock.now();
    const lease = await store.grant(ttl);
    if (lease.isErr()) return;
    const outcome = await store.commit({
      conditions: [{ key: LEADER_KEY, revision: 0 }],
      puts: [{
        key: LEADER_KEY,
        value: Buffer.from(fields.name),
        lease: lease.value,
      }],
    });
    if (outcome.kind !== "committed" || resigned) {
      return releaseLease(lease.value);
    }
    const validUntil = sentAt + ttl - SAFETY_MARGIN;
    if (clock.now() >= validUntil) return releaseLease(lease.value);
    held = { epoch: outcome.revision, lease: lease.value, validUntil };
    log.info("Leadership won.", { epoch: outcome.revision });
    fields.onWon(outcome.revision);
    renewAfter(RENEWAL_INTERVAL, held);
  }

  /** Removes the leader key that an earlier process of this machine left. */
  async function clearStaleKey(revision: number): Promise<void> {
    const outcome = await store.commit({
      conditions: [{ key: LEADER_KEY, revision }],
      puts: [],
      deletes: [LEADER_KEY],
    });
    log.info("Removed the leader key of an earlier process.", {
      outcome: outcome.kind,
    });
  }

  function renewAfter(delay: Milliseconds, own: typeof held): void {
    timer.after(delay, () => void renew(own));
  }

  /** Renews the lease in time, or steps down once it may have ended. */
  async function renew(own: typeof held): Promise<void> {
    if (!own || held !== own) return;
    const sentAt = clock.now();
    if (sentAt >= own.validUntil) return stepDown("the lease was not renewed");
    const renewed = await store.renew(own.lease);
    if (held !== own) return;
    if (renewed.isErr()) return renewAfter(RENEWAL_RETRY, own);
    if (!renewed.value) return stepDown("the lease has ended");
    own.validUntil = sentAt + ttl - SAFETY_MARGIN;
    renewAfter(RENEWAL_INTERVAL, own);
  }

  /** Steps down after the lease, or tries to lead if there is no leader. */
  async function check(): Promise<void> {
    if (held && clock.now() >= held.validUntil) {
      stepDown("the lease may have ended");
    }
    if (held || busy || resigned || clock.now() < pausedUntil) return;
    const stale = fields.staleRevision();
    if (stale === undefined && !fields.isVacant()) return;
    busy = true;
    if (stale === undefined) await campaign();
    else await clearStaleKey(stale);
    busy = false;
  }

  const repeat = () => {
    void check();
    timer.after(CHECK_INTERVAL, repeat);
  };
  repeat();
  return {
    epoch: () => held?.epoch,
    leads,
    stepDown,
    pause: (reason) => {
      pausedUntil = clock.now() + ELECTION_PAUSE;
      stepDown(reason);
    },
    resign: async () => {
      resigned = true;
      if (!held) return;
      const { lease, epoch } = held;
      held = undefined;
      log.info("Leadership resigned.", { epoch });
      fields.onLost();
      await releaseLease(lease);
    },
  };
}
