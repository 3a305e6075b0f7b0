/**
 * Makes a process known through the store.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";

const RETRY_DELAY: Milliseconds = 500;

/** Writes the address under the key, and tries again until the store has it. */
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
    await new Promise<void>((resolve) => {
      fields.timer.after(RETRY_DELAY, resolve);
    });
  }
}

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
