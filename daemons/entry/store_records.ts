/**
 * Access to the records of an entry in the platform's key-value service.
 *
 * @module
 */

import type {
  Clock,
  EntryId,
  Milliseconds,
  Random,
  Timer,
} from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";
import { createEtcdStore } from "@dragonflyledge/store";
import { createGuardedRecords } from "./guarded_records.ts";
import type { Records } from "./records.ts";

/** Deadline of each call to the store. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND;

/**
 * Creates the access to the records of one entry in the etcd gateway at `url`.
 * Keys start with `prefix`.
 */
export function createStoreRecords(fields: {
  url: string;
  prefix: string;
  id: EntryId;
  incarnation: number;
  address: string;
  httpAddress: string;
  writesPerSecond?: number;
  readsPerSecond?: number;
  clock: Clock;
  timer: Timer;
  random: Random;
  observer: Observer;
}): Records {
  const { url, timer } = fields;
  const store = createEtcdStore({ url, timeout: CALL_TIMEOUT, timer });
  return createGuardedRecords({
    ...fields,
    store,
    closeStore: () => store.close(),
  });
}
