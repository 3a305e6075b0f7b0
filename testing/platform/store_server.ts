/**
 * Stand-in of the platform's metadata store, with faults that tests inject.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { startJsonServer } from "./json_server.ts";
import type { JsonCall, JsonReply } from "./json_server.ts";

interface StoredItem {
  key: string;
  value: string;
  revision: number;
  created: number;
  lease: number;
}

type StoredChange = StoredItem | {
  key: string;
  revision: number;
  deleted: true;
};

/** A running store. The faults may be set at any time. */
export interface StoreServer {
  /** Host and port, as "host:port". */
  address: string;
  /** While true, calls get no answer and have no effect. */
  silent: boolean;
  /** While true, calls are refused with 503. */
  busy: boolean;
  /** Milliseconds before each answer. */
  delay: number;
  /** Share of the writes that get no answer though they take effect, 0 to 1. */
  lost: number;
  /**
   * Milliseconds after which a write without an answer takes effect, if its
   * condition still holds then.
   */
  lostWriteDelay: number;
  /** Stored addresses, each with the one that readers get in its place. */
  readonly relayedAddresses: Map<string, string>;
  /** Drops the history; watches from an older revision end with 410. */
  compact(): void;
  /** Writes a value as JSON, without a condition. */
  put(key: string, value: unknown): void;
  /** Writes any bytes, without a condition. */
  putBytes(key: string, value: Uint8Array): void;
  /** Deletes a key, without a condition. */
  remove(key: string): void;
  /** Returns the stored text of a key; undefined if there is none. */
  get(key: string): string | undefined;
  stop(): Promise<void>;
}

/** Time between two checks for expired leases, in milliseconds. */
const LEASE_CHECK_INTERVAL = 50;

/** Starts an empty store; `random` draws which writes get no answer. */
export async function startStore(
  { random = Math.random }: { random?: () => number } = {},
): Promise<StoreServer> {
  const items = new Map<string, StoredItem>();
  const history: StoredChange[] = [];
  const leases = new Map<number, { ttl: number; end: number }>();
  const waiting = new Set<() => void>();
  let revision = 1;
  let nextLease = 1;
  /** Changes up to this revision are no longer in the history. */
  let compactedRevision = 0;

  function applyChange(
    key: string,
    value: string | undefined,
    lease = 0,
  ): void {
    const old = items.get(key);
    if (value === undefined) {
      if (!old) return;
      items.delete(key);
      history.push({ key, revision, deleted: true });
      return;
    }
    const item = {
      key,
      value,
      revision,
      created: old?.created ?? revision,
      lease,
    };
    items.set(key, item);
    history.push(item);
  }

  function withRelayedAddress<T extends StoredChange>(item: T): T {
    if (!("value" in item)) return item;
    const text = Buffer.from(item.value, "base64").toString();
    const relayed = store.relayedAddresses.get(text);
    if (relayed === undefined) return item;
    return { ...item, value: Buffer.from(relayed).toString("base64") };
  }

  function wakeWatches(): void {
    for (const resume of waiting) resume();
  }

  function endLease(id: number): void {
    if (!leases.delete(id)) return;
    revision++;
    for (const item of [...items.values()]) {
      if (item.lease === id) applyChange(item.key, undefined);
    }
    wakeWatches();
  }

  function commit(body: Record<string, unknown>): JsonReply {
    const expected = body.expected as { key: string; revision: number }[];
    const writes = body.writes as {
      key: string;
      value: string;
      lease?: number;
    }[];
    const held = expected.every(({ key, revision }) =>
      (items.get(key)?.revision ?? 0) === revision
    );
    if (!held) {
      const current = expected.map(({ key }) =>
        items.get(key) ?? { key, revision: 0 }
      );
      return { status: 412, body: { items: current } };
    }
    if (writes.some(({ lease }) => lease && !leases.has(lease))) {
      return { status: 404 };
    }
    revision++;
    for (const { key, value, lease } of writes) applyChange(key, value, lease);
    for (const key of body.deletes as string[]) applyChange(key, undefined);
    wakeWatches();
    return { status: 200, body: { revision } };
  }

  async function watch(query: URLSearchParams): Promise<JsonReply> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after < compactedRevision) return { status: 410 };
    const find = () =>
      history.filter((each) =>
        each.revision > after && each.key.startsWith(prefix)
      );
    if (find().length === 0) await nextChange(Number(query.get("waitMs")));
    if (after < compactedRevision) return { status: 410 };
    const events = find().map(withRelayedAddress);
    return { status: 200, body: { events, storeRevision: revision } };
  }

  function nextChange(limit: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(handle);
        waiting.delete(finish);
        resolve();
      };
      const handle = setTimeout(finish, limit);
      waiting.add(finish);
    });
  }

  async function handle(call: JsonCall): Promise<JsonReply> {
    if (store.silent) return undefined;
    if (store.busy) return { status: 503 };
    if (call.path === "/kv-txn" && random() < store.lost) {
      setTimeout(() => void answer(call), store.lostWriteDelay);
      return undefined;
    }
    const reply = await answer(call);
    if (store.delay > 0) {
      await new Promise((resolve) => setTimeout(resolve, store.delay));
    }
    return store.silent ? undefined : reply;
  }

  async function answer(call: JsonCall): Promise<JsonReply> {
    const { path, query, body } = call;
    const lease = Number(path.split("/")[2]);
    if (path === "/kv-key") {
      const item = items.get(query.get("key") ?? "");
      return item
        ? { status: 200, body: withRelayedAddress(item) }
        : { status: 404 };
    }
    if (path === "/kv-range") {
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get("prefix") ?? ""))
        .map(withRelayedAddress);
      return {
        status: 200,
        body: { items: found, hasMore: false, storeRevision: revision },
      };
    }
    if (path === "/kv-watch") return await watch(query);
    if (path === "/kv-txn") return commit(body);
    if (path === "/kv-lease") {
      const ttl = Number(body.ttlMs);
      leases.set(nextLease, { ttl, end: Date.now() + ttl });
      return { status: 200, body: { lease: nextLease++, ttlMs: ttl } };
    }
    const known = leases.get(lease);
    if (!known) return { status: 404 };
    if (path.startsWith("/kv-keep/")) known.end = Date.now() + known.ttl;
    else endLease(lease);
    return { status: 200, body: { ttlMs: known.ttl } };
  }

  function putBytes(key: string, value: Uint8Array): void {
    revision++;
    applyChange(key, Buffer.from(value).toString("base64"));
    wakeWatches();
  }

  const server = await startJsonServer(handle);
  const expiry = setInterval(() => {
    for (const [id, { end }] of leases) if (end < Date.now()) endLease(id);
  }, LEASE_CHECK_INTERVAL);
  const store: StoreServer = {
    address: server.address,
    silent: false,
    busy: false,
    delay: 0,
    lost: 0,
    lostWriteDelay: 0,
    relayedAddresses: new Map(),
    compact: () => {
      history.length = 0;
      compactedRevision = revision;
      wakeWatches();
    },
    put: (key, value) => putBytes(key, Buffer.from(JSON.stringify(value))),
    putBytes,
    remove: (key) => {
      revision++;
      applyChange(key, undefined);
      wakeWatches();
    },
    get: (key) => {
      const item = items.get(key);
      return item && Buffer.from(item.value, "base64").toString();
    },
    stop: () => {
      clearInterval(expiry);
      return server.stop();
    },
  };
  return store;
}
