/**
 * Election of the leader through a key in the store that is bound to a lease.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Log } from "@dragonflyledge/log";
import { sleep } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";
import { LEADER_KEY } from "@dragonflyledge/scheduler";

/** A leader that stops renewing its lease is replaced after this time. */
const LEADER_LEASE: Milliseconds = 1100;
/**
 * A renewal is sent at this interval even if earlier ones are unanswered, so
 * that the lease survives the loss of a few answers.
 */
const RENEWAL_INTERVAL: Milliseconds = 200;
/** The leader steps down this long before its lease may end. */
const SAFETY_MARGIN: Milliseconds = 150;
const CHECK_INTERVAL: Milliseconds = 250;
/** After `pause`, other entries have this long to be elected. */
const ELECTION_PAUSE: Milliseconds = 3000;
/**
 * A process with less than a whole core waits this long for each core that it
 * lacks before it campaigns, since a slow leader delays all starts.
 */
const DELAY_PER_MISSING_CORE: Milliseconds = 250;
/** Range of the delays by which processes of equal capacity differ. */
const CANDIDACY_SPREAD: Milliseconds = 60;

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
  /** Tells that the leader key was seen to be removed. */
  noteVacancy(): void;
}

/** Tries to become leader whenever `isVacant` tells that there is no leader. */
export function startElection(fields: {
  name: string;
  /** Processor capacity of the machine, in cores. */
  cores: number;
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
  const delay = candidacyDelay(fields.name, fields.cores);

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
    startRenewals(held);
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

  /** Renews the lease at intervals for as long as `own` is held. */
  function startRenewals(own: NonNullable<typeof held>): void {
    timer.after(RENEWAL_INTERVAL, () => {
      if (held !== own) return;
      if (clock.now() >= own.validUntil) {
        return stepDown("the lease was not renewed");
      }
      void renew(own);
      startRenewals(own);
    });
  }

  /** Renews the lease once; a renewal that fails is not repeated here. */
  async function renew(own: NonNullable<typeof held>): Promise<void> {
    const sentAt = clock.now();
    const renewed = await store.renew(own.lease);
    if (held !== own || renewed.isErr()) return;
    if (!renewed.value) return stepDown("the lease has ended");
    const validUntil = sentAt + ttl - SAFETY_MARGIN;
    own.validUntil = Math.max(own.validUntil, validUntil);
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
    if (stale !== undefined) await clearStaleKey(stale);
    else await campaignAfterDelay();
    busy = false;
  }

  /** Campaigns unless a process that may go first is elected meanwhile. */
  async function campaignAfterDelay(): Promise<void> {
    await sleep({ timer, delay });
    if (!resigned && fields.isVacant()) await campaign();
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
    noteVacancy: () => void check(),
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

/** Time that a process waits for others before it campaigns. */
function candidacyDelay(name: string, cores: number): Milliseconds {
  const rank = [...name].reduce(
    (hash, character) => (hash * 31 + character.charCodeAt(0)) % 997,
    0,
  );
  const missing = Math.max(0, 1 - cores);
  return DELAY_PER_MISSING_CORE * missing + CANDIDACY_SPREAD * rank / 997;
}
