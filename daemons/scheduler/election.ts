/**
 * Holds the leadership through a key in the store under a lease.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Log } from "@dragonflyledge/log";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";
import { LEADER_KEY } from "@dragonflyledge/scheduler";

/** A leader that stops renewing is replaced after this. */
const LEADER_LEASE: Milliseconds = 2000;
const RENEWAL_INTERVAL: Milliseconds = 500;
const RENEWAL_RETRY: Milliseconds = 150;
/** The leadership is given up so long before the lease may end. */
const SAFETY_MARGIN: Milliseconds = 150;
const CHECK_INTERVAL: Milliseconds = 250;
/** Others get this long to be elected. */
const ELECTION_PAUSE: Milliseconds = 3000;

/** This process's part in the election. */
export interface Election {
  /** Revision of the leader key while this process leads. */
  epoch(): number | undefined;
  /** Whether this process surely leads at this moment. */
  leads(): boolean;
  /** Gives the leadership up and does not stand again. */
  resign(): Promise<void>;
  /** Steps down, and leaves the next election to others. */
  pause(reason: string): void;
  /** Steps down because another leader was seen. */
  stepDown(reason: string): void;
}

/** Stands for election whenever `isVacant` says that there is no leader. */
export function startElection(fields: {
  name: string;
  store: KeyValue;
  clock: Clock;
  timer: Timer;
  shortestLease: Milliseconds;
  isVacant: () => boolean;
  /** Revision of a leader key that this process does not hold any more. */
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

  function lose(reason: string): void {
    if (!held) return;
    const { lease, epoch } = held;
    held = undefined;
    log.warn("Leadership lost.", { epoch, reason });
    fields.onLost();
    void abandon(lease);
  }

  /** Ends a lease, so that a write under it can't take effect later. */
  async function abandon(lease: number): Promise<void> {
    const ended = await store.release(lease);
    if (ended.isErr()) {
      log.info("A lease is left to lapse.", { reason: ended.error.reason });
    }
  }

  async function stand(): Promise<void> {
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
      return abandon(lease.value);
    }
    const validUntil = sentAt + ttl - SAFETY_MARGIN;
    if (clock.now() >= validUntil) return abandon(lease.value);
    held = { epoch: outcome.revision, lease: lease.value, validUntil };
    log.info("Leadership won.", { epoch: outcome.revision });
    fields.onWon(outcome.revision);
    renewAfter(RENEWAL_INTERVAL, held);
  }

  /** Removes the key of an earlier process of this machine. */
  async function clear(revision: number): Promise<void> {
    const outcome = await store.commit({
      conditions: [{ key: LEADER_KEY, revision }],
      puts: [],
      deletes: [LEADER_KEY],
    });
    log.info("An earlier leadership is cleared.", { outcome: outcome.kind });
  }

  function renewAfter(delay: Milliseconds, own: typeof held): void {
    timer.after(delay, () => void renew(own));
  }

  async function renew(own: typeof held): Promise<void> {
    if (!own || held !== own) return;
    const sentAt = clock.now();
    if (sentAt >= own.validUntil) return lose("the lease was not renewed");
    const renewed = await store.renew(own.lease);
    if (held !== own) return;
    if (renewed.isErr()) return renewAfter(RENEWAL_RETRY, own);
    if (!renewed.value) return lose("the lease has ended");
    own.validUntil = sentAt + ttl - SAFETY_MARGIN;
    renewAfter(RENEWAL_INTERVAL, own);
  }

  async function check(): Promise<void> {
    if (held && clock.now() >= held.validUntil) {
      lose("the lease may have ended");
    }
    if (held || busy || resigned || clock.now() < pausedUntil) return;
    const stale = fields.staleRevision();
    if (stale === undefined && !fields.isVacant()) return;
    busy = true;
    if (stale === undefined) await stand();
    else await clear(stale);
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
    stepDown: lose,
    pause: (reason) => {
      pausedUntil = clock.now() + ELECTION_PAUSE;
      lose(reason);
    },
    resign: async () => {
      resigned = true;
      if (!held) return;
      const { lease, epoch } = held;
      held = undefined;
      log.info("Leadership given up.", { epoch });
      fields.onLost();
      await abandon(lease);
    },
  };
}
