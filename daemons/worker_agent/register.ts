/**
 * Makes a process known through the store.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Log } from "@dragonflyledge/log";
import type { Milliseconds, Timer } from "@dragonflyledge/model";
import type { KeyValue, ProcessSettings } from "@dragonflyledge/platform";
import { agentKey } from "@dragonflyledge/scheduler";

const RETRY_DELAY: Milliseconds = 500;

/** Writes the agent's address, and tries again until the store holds it. */
export async function register(fields: {
  settings: ProcessSettings;
  store: KeyValue;
  timer: Timer;
  log: Log;
}): Promise<void> {
  const { settings, store, timer, log } = fields;
  const key = agentKey(settings.name);
  const address = `${settings.host}:${settings.linkPort}`;
  for (let attempt = 1;; attempt++) {
    const known = await store.read(key);
    if (known.isOk()) {
      const item = known.value;
      if (item && Buffer.from(item.value).toString() === address) break;
      const outcome = await store.commit({
        conditions: [{ key, revision: item?.revision ?? 0 }],
        puts: [{ key, value: Buffer.from(address) }],
      });
      if (outcome.kind === "committed") break;
    }
    if (attempt === 1) {
      log.warn("The store does not take the address.", { key });
    }
    await new Promise<void>((resolve) => {
      timer.after(RETRY_DELAY, resolve);
    });
  }
  log.info("Registered.", { key, address });
}
