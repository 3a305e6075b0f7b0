/**
 * Configurations of the programs under test.
 *
 * @module
 */

/** Service of all workers and queues. */
export const SERVICE = "planning";
/** Key of the configured team that has a guarantee of 8 accelerators. */
export const TEAM_KEY = "key-1";
/** Key of the configured team without a guarantee. */
export const BORROWER_KEY = "key-2";
/** Host name of all configured queues. */
export const QUEUE_HOST = "jobs.example";
/** Length of the path prefixes of queues that nobody calls. */
const IDLE_PREFIX_LENGTH = 100;
/** Failures of a task after which a job of the configured queues fails. */
export const MAX_ATTEMPTS = 3;

/** API key of the team with a guarantee that only one version has. */
export function versionKey(version: number): string {
  return `key-of-version-${version}`;
}

/**
 * Returns a configuration whose queue "v<version>" and one of whose API keys no
 * other version has, so that a call tells whether the version is in force. There
 * are `idleQueues` more queues, which nobody calls; each adds about 220 bytes.
 */
export function createConfiguration(version: number, idleQueues = 0) {
  const queue = {
    host: QUEUE_HOST,
    service: SERVICE,
    priority: 1,
    maxAttempts: MAX_ATTEMPTS,
  };
  return {
    version,
    routes: [
      { ...queue, name: "plans", prefix: "/plans/", priority: 0 },
      { ...queue, name: "batch", prefix: "/batch/" },
      { ...queue, name: `v${version}`, prefix: `/v${version}/` },
      ...Array.from({ length: idleQueues }, (_, index) => ({
        ...queue,
        name: `idle-${index}`,
        prefix: `/${`idle-${index}`.padEnd(IDLE_PREFIX_LENGTH, "-")}/`,
      })),
    ],
    services: [{ name: SERVICE }],
    limits: {},
    tenants: [
      {
        name: "team",
        apiKeys: [TEAM_KEY, versionKey(version)],
        guaranteed: { gpu: 8 },
      },
      { name: "borrower", apiKeys: [BORROWER_KEY] },
    ],
  };
}
