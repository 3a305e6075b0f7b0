/**
 * Access to the records of an entry through a guarded store.
 *
 * @module
 */

import { createAuditTrail, readAudit } from "@dragonflyledge/audit";
import type {
  Clock,
  EntryId,
  Milliseconds,
  Random,
  StepError,
  Timer,
} from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";
import {
  createClaims,
  createConfigurationRecords,
  createGuardedStore,
  createHomesRecords,
  createJobRecords,
  createPresence,
  createValueWriter,
  followPrefix,
} from "@dragonflyledge/store";
import type { Store } from "@dragonflyledge/store";
import type { RecordHandlers, Records } from "./records.ts";

/** A call that would have to wait longer for the call budget fails instead. */
const MAX_BUDGET_WAIT: Milliseconds = SECOND;
/**
 * Time for resolving a lost answer when a claim or job is written. It is less
 * than the default of the writer, because a caller waits for the result.
 */
const CALLER_WRITE_TIMEOUT: Milliseconds = 2 * SECOND;
/** Time in which the presence is ended and the audit trail is written. */
const CLOSE_TIMEOUT: Milliseconds = 3 * SECOND;
/** Delay before a failed read of a followed value is tried again. */
const READ_RETRY_DELAY: Milliseconds = SECOND;
const DEFAULT_WRITES_PER_SECOND = 50;
const DEFAULT_READS_PER_SECOND = 200;

/** What the records of one entry need, whatever store they are in. */
export interface EntryRecordFields {
  /** All keys start with it. */
  prefix: string;
  id: EntryId;
  incarnation: number;
  /** Address for agents. */
  address: string;
  /** Address for callers and operators. */
  httpAddress: string;
  /** Budget of calls to the store; 50 by default. */
  writesPerSecond?: number;
  /** Same for reads; 200 by default. */
  readsPerSecond?: number;
  clock: Clock;
  timer: Timer;
  random: Random;
  observer: Observer;
}

/**
 * Creates the access to the records of one entry in `store`. `closeStore` is
 * called at the end of `close`.
 */
export function createGuardedRecords(
  fields: EntryRecordFields & {
    store: Store;
    closeStore: () => Promise<void>;
  },
): Records {
  const { prefix, id, clock, timer, random, observer } = fields;
  const time = { clock, timer, random };
  const store = createGuardedStore({
    store: fields.store,
    ...time,
    budget: {
      writesPerSecond: fields.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
      readsPerSecond: fields.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      maxWait: MAX_BUDGET_WAIT,
    },
  });
  const identity = `${id}.${fields.incarnation}`;
  const writer = createValueWriter({ store, ...time, identity });
  const claims = createClaims({ store, writer, prefix, clock });
  const jobs = createJobRecords({ writer, prefix });
  const configurations = createConfigurationRecords({ writer, prefix });
  const homes = createHomesRecords({ writer, prefix });
  const audit = createAuditTrail({ store, prefix, entry: id, clock, timer });
  const closers: (() => Promise<unknown> | void)[] = [];

  function follow(handlers: RecordHandlers): void {
    const presence = createPresence({
      store,
      prefix,
      entry: {
        id,
        incarnation: fields.incarnation,
        address: fields.address,
        httpAddress: fields.httpAddress,
      },
      ...time,
      onValid: handlers.onLease,
      onEntries: handlers.onEntries,
      onError: (error) => logFailure("presence", error),
    });
    closers.push(() => presence.leave());
    followValue(`${prefix}config/current`, async () => {
      const read = await configurations.read();
      const record = read.unwrapOr(undefined);
      if (record) handlers.onConfiguration(record.configuration);
      return read.isOk();
    });
    followValue(`${prefix}homes`, async () => {
      const read = await homes.read();
      const table = read.unwrapOr(undefined);
      if (table) handlers.onHomes(table);
      return read.isOk();
    });
  }

  /** Reads a value after each change of its key, and retries a failed read. */
  function followValue(key: string, read: () => Promise<boolean>): void {
    let cancel = () => {};
    let closed = false;
    const readUntilDone = async () => {
      cancel();
      if (closed || await read() || closed) return;
      cancel = timer.after(READ_RETRY_DELAY, () => void readUntilDone());
    };
    const following = followPrefix({
      store,
      prefix: key,
      timer,
      random,
      onChange: () => void readUntilDone(),
      onReady: () => void readUntilDone(),
      onError: (error) => logFailure("follow", error),
    });
    closers.push(() => {
      closed = true;
      cancel();
      following.stop();
    });
  }

  function logFailure(step: string, error: StepError): void {
    observer.log("debug", "Store call failed.", {
      step,
      reason: error.message,
    });
  }

  /** Waits at most `CLOSE_TIMEOUT`, so that the entry ends without a store. */
  async function close(): Promise<void> {
    const closing = [...closers.map((closer) => closer()), audit.stop()];
    await new Promise<void>((resolve) => {
      const cancel = timer.after(CLOSE_TIMEOUT, resolve);
      void Promise.all(closing).then(() => {
        cancel();
        resolve();
      });
    });
    await fields.closeStore();
  }

  return {
    createClaims: (list) => claims.claim(list, CALLER_WRITE_TIMEOUT),
    settleClaim: async (claim) =>
      (await claims.settle([claim])).map((results) => results[0]!),
    readClaim: ({ team, key }) => claims.read(team, key),
    writeJob: async (job) =>
      (await jobs.write([job], CALLER_WRITE_TIMEOUT)).map((results) =>
        results[0]!
      ),
    readJob: (job) => jobs.read(job),
    listJobs: () => jobs.list(),
    readConfiguration: () => configurations.read(),
    submitConfiguration: (record) => configurations.submit(record),
    listConfigurations: () => configurations.history(),
    writeHomes: (table) => homes.write(table),
    follow,
    statistics: () => {
      const { get, list, write, lease, watch } = store.counters;
      const calls = { get, list, write, lease, watch };
      return { calls, breaker: store.breakerState() };
    },
    appendAudit: (record) => audit.record(record),
    readAudit: (filter) => readAudit({ store, prefix, filter }),
    close,
  };
}
