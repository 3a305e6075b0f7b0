/**
 * Reads and writes the records of jobs in the store for callers' requests.
 *
 * @module
 */

import { MINUTE, sleep } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import type { CommitOutcome, Item, KeyValue } from "@dragonflyledge/platform";
import { cancelKey, jobKey, progressKey } from "@dragonflyledge/scheduler";
import type { JobStatus } from "@dragonflyledge/scheduler";
import type { Replica } from "./replica.ts";

/** Attempts of a store call that is refused or stays unanswered. */
const MAX_ATTEMPTS = 3;
const RETRY_DELAY: Milliseconds = 100;
/** How long the store keeps the cancel of a job that it doesn't hold. */
const EARLY_CANCEL_TTL: Milliseconds = 2 * MINUTE;

/**
 * Result of a write. It is `unknown` after a write without an answer, since the
 * record may still appear, and `refused` if it certainly won't.
 */
export type WriteResult = "stored" | "refused" | "unknown";

/** Records of jobs in the store; what is read or written goes to the replica. */
export interface JobStore {
  /**
   * Stores a record that never changes. No attempt begins after the deadline,
   * a monotonic time.
   */
  create(
    record: { key: string; value: Uint8Array },
    deadline: Milliseconds,
  ): Promise<WriteResult>;
  /**
   * Reads the job from the store, since the replica may be behind. Returns
   * undefined if there is no such job.
   */
  readStatus(
    id: string,
    deadline: Milliseconds,
  ): Promise<JobStatus | "unavailable" | undefined>;
  /**
   * Stores a cancel that expires, on the condition that the job is not stored.
   * Returns undefined if the store was not asked to store it.
   */
  cancelEarly(id: string): Promise<CommitOutcome["kind"] | undefined>;
}

/** Creates the access to the records of jobs for one entry. */
export function createJobStore(fields: {
  store: KeyValue;
  replica: Replica;
  /** Whether the store does not answer this process at present. */
  storeFails: () => boolean;
  clock: Clock;
  timer: Timer;
  log: Log;
}): JobStore {
  const { store, replica, storeFails, clock, timer, log } = fields;

  /** Waits for the next attempt; returns false if the deadline is before it. */
  async function waitToRetry(deadline: Milliseconds): Promise<boolean> {
    if (clock.now() + RETRY_DELAY >= deadline) return false;
    await sleep({ timer, delay: RETRY_DELAY });
    return true;
  }

  /** Takes over a record; returns false if it is overtaken by a removal. */
  function learn(item: Item): boolean {
    const taken = replica.learn(item);
    const { key, revision } = item;
    if (!taken) log.info("Record ignored.", { key, revision });
    return taken;
  }

  async function create(
    record: { key: string; value: Uint8Array },
    deadline: Milliseconds,
  ): Promise<WriteResult> {
    // While the store does not answer, nothing is sent to it, so that the
    // caller can be told for certain that the request was not carried out.
    if (storeFails()) return "refused";
    const { key } = record;
    let uncertain = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const outcome = await store.commit({
        conditions: [{ key, revision: 0 }],
        puts: [record],
      });
      if (outcome.kind === "committed" || outcome.kind === "conflict") {
        const item = outcome.kind === "conflict"
          ? outcome.items.get(key)
          : { ...record, revision: outcome.revision };
        learn(item ?? { ...record, revision: 0 });
        return "stored";
      }
      if (outcome.kind === "unknown") uncertain = true;
      if (!await waitToRetry(deadline)) break;
    }
    return uncertain ? "unknown" : "refused";
  }

  async function read(
    key: string,
    deadline: Milliseconds,
  ): Promise<Item | "unavailable" | undefined> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (storeFails()) break;
      const found = await store.read(key);
      if (found.isOk()) return found.value;
      if (!await waitToRetry(deadline)) break;
    }
    return "unavailable";
  }

  return {
    create,
    readStatus: async (id, deadline) => {
      for (const key of [jobKey(id), progressKey(id)]) {
        const found = await read(key, deadline);
        if (found === "unavailable") return found;
        if (found === undefined || !learn(found)) break;
      }
      return replica.status(id);
    },
    cancelEarly: async (id) => {
      const lease = await store.grant(EARLY_CANCEL_TTL);
      if (lease.isErr()) return undefined;
      const value = new Uint8Array();
      const outcome = await store.commit({
        conditions: [{ key: jobKey(id), revision: 0 }],
        puts: [{ key: cancelKey(id), value, lease: lease.value }],
      });
      return outcome.kind;
    },
  };
}
