/**
 * Keys of the store under which entries and agents keep durable records.
 *
 * @module
 */

/** Prefix of all keys of the system. */
export const STORE_PREFIX = "dragonflyledge/";
/** Prefix of the keys that the leader follows and other processes write. */
export const INPUT_PREFIX = `${STORE_PREFIX}in/`;
/** Key that holds the leader's name; it is bound to the leader's lease. */
export const LEADER_KEY = `${STORE_PREFIX}out/leader`;

const JOB_PREFIX = `${INPUT_PREFIX}job/`;
const CANCEL_PREFIX = `${INPUT_PREFIX}cancel/`;
const AGENT_PREFIX = `${INPUT_PREFIX}agent/`;
const ENTRY_PREFIX = `${INPUT_PREFIX}entry/`;
const PROGRESS_PREFIX = `${STORE_PREFIX}out/progress/`;

/** Kind of record under a key, and the job or process that it belongs to. */
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

/** Parses a key; the kind is `other` if it follows no known form. */
export function parseStoreKey(key: string): StoreKey {
  if (key === LEADER_KEY) return { kind: "leader", id: "" };
  for (const [kind, prefix] of PREFIXES) {
    if (key.startsWith(prefix)) return { kind, id: key.slice(prefix.length) };
  }
  return { kind: "other", id: "" };
}
