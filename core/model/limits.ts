/**
 * Limits and intervals. Times are in milliseconds, sizes in bytes.
 *
 * @module
 */

export const PROTOCOL_VERSION = 1;

export const KIBIBYTE = 1024;
export const MEBIBYTE = 1024 * KIBIBYTE;
export const SECOND = 1000;
export const MINUTE = 60 * SECOND;
export const HOUR = 60 * MINUTE;

export const FRAME_LIMIT = MEBIBYTE;
export const ANSWER_PIECE_SIZE = 64 * KIBIBYTE;
export const HEARTBEAT_INTERVAL = 1 * SECOND;
/** A peer that is silent for this long is given up. */
export const SESSION_TIMEOUT = 3 * SECOND;
/** Interval of reports of a worker on which nothing changes. */
export const REPORT_INTERVAL = 5 * SECOND;
export const ENTRY_LEASE = 6 * SECOND;
export const ENTRY_RENEWAL_INTERVAL = 2 * SECOND;
/** Wait after the lapse of an owner's lease before its jobs are taken over. */
export const TAKEOVER_MARGIN = 2 * SECOND;
export const GANG_LEASE = 10 * SECOND;
export const GANG_RENEWAL_INTERVAL = 2 * SECOND;
export const RESERVATION_TIMEOUT = 4 * SECOND;
/** Time that borrowers get to checkpoint before they are stopped. */
export const RECLAIM_GRACE = 2 * SECOND;
/** Stated target: an owner's urgent work starts within this time. */
export const URGENT_START_TARGET = 4100;
/** Stated target: a configuration is in force everywhere within this time. */
export const CONFIGURATION_TARGET = 4 * SECOND;
export const LEAVING_TARGET = 3 * SECOND;
export const WORKER_LOSS_DELAY = 10 * SECOND;
/** Agents remember attempts for longer than this. */
export const MAX_REQUEST_DEADLINE = 10 * MINUTE;
export const CLAIM_RETENTION = 24 * HOUR;
export const MAX_ENTRIES_PER_AGENT = 4;
export const MAX_GANG_MEMBERS = 64;
export const MAX_WORKER_FAILURES_PER_JOB = 3;
export const MAX_DAMPING_DURATION = 60 * SECOND;
/** Retries allowed for each first attempt. */
export const RETRY_RATIO = 0.1;
/** Retries that are allowed even without recent first attempts. */
export const RETRY_RESERVE = 10;
export const STORE_VALUE_LIMIT = MEBIBYTE;
export const DEFAULT_PREFIX = "/dragonflyledge/";
