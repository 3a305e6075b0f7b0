/**
 * Publishes the address of a process in the store.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { sleep } from "@dragonflyledge/model";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";

/** Delay before a failed write is tried again. */
const RETRY_DELAY: Milliseconds = 500;

/**
 * Writes the address under the key, and retries until it is stored.
 *
 * @param fields.onFirstFailure called when the first attempt fails
 */
export async function registerAddress(fields: {
  key: string;
  address: string;
  store: KeyValue;
  timer: Timer;
  onFirstFailure: () => void;
}): Promise<void> {
  for (let attempt = 1;; attempt++) {
    if (await writeAddress(fields)) return;
    if (attempt === 1) fields.onFirstFailure();
    await sleep({ timer: fields.timer, delay: RETRY_DELAY });
  }
}

/** Returns whether the address is stored. */
async function writeAddress(
  { key, address, store }: { key: string; address: string; store: KeyValue },
): Promise<boolean> {
  const known = await store.read(key);
  if (known.isErr()) return false;
  const item = known.value;
  if (item && Buffer.from(item.value).toString() === address) return true;
  const outcome = await store.commit({
    conditions: [{ key, revision: item?.revision ?? 0 }],
    puts: [{ key, value: Buffer.from(address) }],
  });
  return outcome.kind === "committed";
}
