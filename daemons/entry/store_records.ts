/**
 * Access to the records of an entry in the platform's key-value service.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { createEtcdStore } from "@dragonflyledge/store";
import { createGuardedRecords } from "./guarded_records.ts";
import type { EntryRecordFields } from "./guarded_records.ts";
import type { Records } from "./records.ts";

/** Deadline of each call to the store. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND;

/** Creates the access to the records of one entry in the etcd gateway at `url`. */
export function createStoreRecords(
  fields: EntryRecordFields & { url: string },
): Records {
  const { url, timer } = fields;
  const store = createEtcdStore({ url, timeout: CALL_TIMEOUT, timer });
  return createGuardedRecords({
    ...fields,
    store,
    closeStore: () => store.close(),
  });
}
