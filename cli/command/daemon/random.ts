/**
 * Random numbers of a daemon.
 *
 * @module
 */

import { randomInt } from "node:crypto";
import { createRandom } from "@dragonflyledge/model";
import type { Random } from "@dragonflyledge/model";

/** Seeds of the random generator are below this. */
const SEED_LIMIT = 2 ** 32;

/** Creates a generator with a seed that differs between processes. */
export function createDaemonRandom(): Random {
  return createRandom(randomInt(SEED_LIMIT));
}
