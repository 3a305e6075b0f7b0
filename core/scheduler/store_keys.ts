/**
 * Keys under which entries and agents keep what must last.
 *
 * @module
 */

/** Prefix of all keys of the system. */
export const STORE_PREFIX = "dragonflyledge/";
/** Keys that the leader follows; others write them. */
export const INPUT_PREFIX = `${STORE_PREFIX}in/`;
/** Holder of the leadership, under its lease. */
export const LEADER_KEY = `${STORE_PREFIX}out/leader`;

const JOB_PREFIX = `${INPUT_PREFIX}job/`;
const CANCEL_PREFIX = `${INPUT_PREFIX}cancel/`;
const AGENT_PREFIX = `${INPUT_PREFIX}agent/`;
const ENTRY_PREFIX = `${INPUT_PREFIX}entry/`;
const PROGRESS_PREFIX = `${STORE_PREFIX}out/progress/`;

/** What a key holds, and of which job or process. */
export type StoreKey = {
  kind: "job" | "cancel" | "agent" | "entry" | "progress" | "leader" | "other";
  id: string;
};

const PREFIXES = [
  ["job", JOB_PREFIX],
  ["cancel", CANCEL_PREFIX],
  ["agent", AGENT_PREFIX],
  ["entry", ENTRY_PREFIX],
  ["progress", PROGRESS_PREFIX],
] as const;

/** Key of the request of a job. */
export const jobKey = (id: string) => JOB_PREFIX + id;
/** Key that exists once a job is cancelled. */
export const cancelKey = (id: string) => CANCEL_PREFIX + id;
/** Key of an agent's address. */
export const agentKey = (name: string) => AGENT_PREFIX + name;
/** Key of an entry's address. */
export const entryKey = (name: string) => ENTRY_PREFIX + name;
/** Key of a job's progress, which only the leader writes. */
export const progressKey = (id: string) => PROGRESS_PREFIX + id;

/** Tells what a key holds. */
export function parseStoreKey(key: string): StoreKey {
  if (key === LEADER_KEY) return { kind: "leader", id: "" };
  for (const [kind, prefix] of PREFIXES) {
    if (key.startsWith(prefix)) return { kind, id: key.slice(prefix.length) };
  }
  return { kind: "other", id: "" };
}
