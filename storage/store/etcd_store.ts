/**
 * Implementation of the store interface over the etcd v3 JSON gateway.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  ErrorCode,
  type Milliseconds,
  SECOND,
  StepError,
  type Timer,
} from "@dragonflyledge/model";
import {
  decodeInt64,
  decodeItems,
  decodeStoreRevision,
  decodeWriteResults,
  encodePrefixRange,
  encodeText,
  encodeWrites,
  expectObject,
} from "./etcd_codec.ts";
import { createEtcdConnections } from "./etcd_connections.ts";
import { startEtcdWatch } from "./etcd_watch.ts";
import { MAX_WRITES_PER_CALL, type Store, type Write } from "./store.ts";

/** Store over the etcd gateway. */
export interface EtcdStore extends Store {
  /** Ends all watches, without calling `onEnd`, and all connections. */
  close(): Promise<void>;
}

/**
 * Creates a store that calls the gateway at `url`.
 *
 * @param fields.timeout longest time until an answer begins, and between two parts
 *   of it; default 1 s
 * @param fields.watchLifetime time after which a watch ends, so that its owner
 * starts a new one; default 15 s
 * @param fields.connections maximum number of connections, including one for
 * each watch; default 32
 */
export function createEtcdStore(
  {
    url,
    timer,
    timeout = 1 * SECOND,
    watchLifetime = 15 * SECOND,
    connections: limit = 32,
  }: {
    url: string;
    timer: Timer;
    timeout?: Milliseconds;
    watchLifetime?: Milliseconds;
    connections?: number;
  },
): EtcdStore {
  const connections = createEtcdConnections({
    url,
    timeout,
    timer,
    connections: limit,
  });
  const watches = new Set<{ stop(): void }>();

  /**
   * Makes a call and decodes its answer. An answer that cannot be decoded fails
   * with the code `malformed`.
   */
  async function callAndDecode<T>(
    path: string,
    body: unknown,
    decode: (answer: unknown) => T,
    malformed: ErrorCode = ErrorCode.StoreAnswer,
  ): Promise<Result<T, StepError>> {
    const answer = await connections.call(path, body);
    if (answer.isErr()) return err(answer.error);
    try {
      return ok(decode(JSON.parse(answer.value)));
    } catch (cause) {
      if (cause instanceof StepError) return err(cause);
      const message = `malformed answer: ${(cause as Error).message}`;
      return err(connections.fail(malformed, path, message, cause));
    }
  }

  const getAt: Store["getAt"] = (key) =>
    callAndDecode("/v3/kv/range", { key: encodeText(key) }, (answer) => {
      const [item] = decodeItems(answer);
      if (item && item.key !== key) throw new Error("it is for another key");
      return { item, at: decodeStoreRevision(answer) };
    });

  const listAt: Store["listAt"] = (prefix) =>
    callAndDecode("/v3/kv/range", encodePrefixRange(prefix), (answer) => {
      const items = decodeItems(answer);
      if (items.some((item) => !item.key.startsWith(prefix))) {
        throw new Error("an item is outside the listed prefix");
      }
      return { items, at: decodeStoreRevision(answer) };
    });

  const listKeys: Store["listKeys"] = (prefix) =>
    callAndDecode(
      "/v3/kv/range",
      { ...encodePrefixRange(prefix), keys_only: true },
      (answer) =>
        decodeItems(answer).map(({ key, revision }) => ({ key, revision })),
    );

  function write(writes: Write[]): ReturnType<Store["write"]> {
    const keys = new Set(writes.map((write) => write.key));
    if (keys.size < writes.length || writes.length > MAX_WRITES_PER_CALL) {
      const message =
        `a call takes at most ${MAX_WRITES_PER_CALL} writes of distinct keys`;
      const error = connections.fail(ErrorCode.Usage, "write", message);
      return Promise.resolve(err(error));
    }
    // After a malformed answer it is unknown whether the writes took effect.
    return callAndDecode(
      "/v3/kv/txn",
      encodeWrites(writes),
      (answer) => decodeWriteResults(answer, writes),
      ErrorCode.StoreUnavailable,
    );
  }

  function decodeRenewal(answer: unknown): Milliseconds {
    const remaining = decodeInt64(
      expectObject(expectObject(answer).result).TTL,
    );
    if (remaining > 0) return remaining * SECOND;
    const message = "the lease does not exist";
    throw connections.fail(
      ErrorCode.StoreAnswer,
      "/v3/lease/keepalive",
      message,
    );
  }

  return {
    getAt,
    listAt,
    listKeys,
    write,
    get: async (key) => (await getAt(key)).map((reading) => reading.item),
    list: async (prefix) =>
      (await listAt(prefix)).map((listing) => listing.items),
    grantLease: (length) =>
      callAndDecode(
        "/v3/lease/grant",
        { TTL: String(Math.ceil(length / SECOND)), ID: "0" },
        (answer) => {
          const id = expectObject(answer).ID;
          if (typeof id !== "string" || !/^\d+$/.test(id)) {
            throw new Error("the new lease has no valid ID");
          }
          return id;
        },
      ),
    renewLease: (lease) =>
      callAndDecode("/v3/lease/keepalive", { ID: lease }, decodeRenewal),
    revokeLease: (lease) =>
      callAndDecode("/v3/lease/revoke", { ID: lease }, () => undefined),
    watch(fields) {
      const watch = startEtcdWatch({
        ...fields,
        onEnd(error) {
          watches.delete(watch);
          fields.onEnd(error);
        },
        connections,
        timer,
        timeout,
        lifetime: watchLifetime,
      });
      watches.add(watch);
      return {
        stop() {
          watches.delete(watch);
          watch.stop();
        },
      };
    },
    close() {
      watches.forEach((watch) => watch.stop());
      return connections.close();
    },
  };
}
