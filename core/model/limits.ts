/**
 * Limits and intervals. Times are in milliseconds, sizes in bytes.
 *
 * @module
 */

/** Version that both peers of a session must speak; see `Hello.protocol`. */
export const PROTOCOL_VERSION = 1;

export const KIBIBYTE = 1024;
export const MEBIBYTE = 1024 * KIBIBYTE;
export const SECOND = 1000;
export const MINUTE = 60 * SECOND;
export const HOUR = 60 * MINUTE;

/** Largest frame on the wire. */
export const FRAME_LIMIT = MEBIBYTE;
/** Largest piece of an endpoint's answer in one `AttemptAnswer`. */
export const ANSWER_PIECE_SIZE = 64 * KIBIBYTE;
/** Interval at which each end of a session sends a heartbeat. */
export const HEARTBEAT_INTERVAL = 1 * SECOND;
/** A session ends when nothing was received from the peer for this long. */
export const SESSION_TIMEOUT = 3 * SECOND;
/** Interval of an agent's reports while nothing changes on its worker. */
export const REPORT_INTERVAL = 5 * SECOND;
/** Length of an entry's lease in the store. */
export const ENTRY_LEASE = 6 * SECOND;
/** Interval at which an entry renews its lease in the store. */
export const ENTRY_RENEWAL_INTERVAL = 2 * SECOND;
/** Wait after the lapse of an entry's lease before others take over its jobs. */
export const TAKEOVER_MARGIN = 2 * SECOND;
/** Length of a gang's lease; agents stop members whose lease has lapsed. */
export const GANG_LEASE = 10 * SECOND;
/** Interval at which an entry renews the leases of its gangs. */
export const GANG_RENEWAL_INTERVAL = 2 * SECOND;
/** A reservation lapses unless it is committed within this time. */
export const RESERVATION_TIMEOUT = 4 * SECOND;
/** Time that revocable members get to checkpoint before they are stopped. */
export const RECLAIM_GRACE = 2 * SECOND;
/**
 * Stated target: urgent work of a team starts within this time on a home that
 * has to be reclaimed.
 */
export const URGENT_START_TARGET = 4100;
/** Stated target: a configuration is in force everywhere within this time. */
export const CONFIGURATION_TARGET = 4 * SECOND;
/** Stated target: no work starts on a leaving worker after this time. */
export const LEAVING_TARGET = 3 * SECOND;
/**
 * Time after the loss of an agent's session before its worker counts as lost.
 * Then its homes move, and it no longer counts as a place for queued jobs.
 */
export const WORKER_LOSS_DELAY = 10 * SECOND;
/**
 * Longest deadline of a request. Agents remember attempts for longer than this,
 * so that a late repeat of an attempt is not run again.
 */
export const MAX_REQUEST_DEADLINE = 10 * MINUTE;
/** Claims of idempotency keys are stored for at least this long. */
export const CLAIM_RETENTION = 24 * HOUR;
/** Most entries with which an agent holds sessions. */
export const MAX_ENTRIES_PER_AGENT = 4;
/** Most members that a gang job may have. */
export const MAX_GANG_MEMBERS = 64;
/** A job that failed on this many workers is not started again. */
export const MAX_WORKER_FAILURES_PER_JOB = 3;
/** Longest time for which an agent with repeated session losses is excluded. */
export const MAX_DAMPING_DURATION = 60 * SECOND;
/** Retries allowed for each first attempt. */
export const RETRY_RATIO = 0.1;
/** Retries that are allowed even without recent first attempts. */
export const RETRY_RESERVE = 10;
/** Largest value of one key in the store. */
export const STORE_VALUE_LIMIT = MEBIBYTE;
/** Prefix of all keys in the store unless the settings name another. */
export const DEFAULT_PREFIX = "/dragonflyledge/";
