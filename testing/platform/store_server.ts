/**
 * Stand-in of the platform's metadata store.
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

/** A running store. */
export interface StoreServer {
  address: string;
  /** While true, calls get no answer and do nothing. */
  silent: boolean;
  /** While true, calls are refused with 503. */
  busy: boolean;
  /** Milliseconds before each answer. */
  delay: number;
  /** Share of the writes that are done and get no answer, 0 to 1. */
  lost: number;
  /** Milliseconds after which a lost write is done, if it still can be. */
  lostWriteDelay: number;
  /** Addresses that readers see in place of those that were written. */
  readonly relayedAddresses: Map<string, string>;
  /** Drops the history and ends waiting watches. */
  compact(): void;
  put(key: string, value: unknown): void;
  get(key: string): string | undefined;
  stop(): Promise<void>;
}

const LEASE_CHECK_INTERVAL = 50;

/** Starts an empty store. */
export async function startStore(
  { random = Math.random }: { random?: () => number } = {},
): Promise<StoreServer> {
  const items = new Map<string, StoredItem>();
  const history: StoredChange[] = [];
  const leases = new Map<number, { ttl: number; end: number }>();
  const waiting = new Set<() => void>();
  let revision = 1;
  let nextLease = 1;
  /** Changes up to this revision are no longer known. */
  let forgotten = 0;

  function change(key: string, value: string | undefined, lease = 0): void {
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

  function relay<T extends StoredChange>(item: T): T {
    if (!("value" in item)) return item;
    const text = Buffer.from(item.value, "base64").toString();
    const relayed = store.relayedAddresses.get(text);
    if (relayed === undefined) return item;
    return { ...item, value: Buffer.from(relayed).toString("base64") };
  }

  function wake(): void {
    for (const task of waiting) task();
  }

  function endLease(id: number): void {
    if (!leases.delete(id)) return;
    revision++;
    for (const item of [...items.values()]) {
      if (item.lease === id) change(item.key, undefined);
    }
    wake();
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
    for (const { key, value, lease } of writes) change(key, value, lease);
    for (const key of body.deletes as string[]) change(key, undefined);
    wake();
    return { status: 200, body: { revision } };
  }

  async function watch(query: URLSearchParams): Promise<JsonReply> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after < forgotten) return { status: 410 };
    const find = () =>
      history.filter((each) =>
        each.revision > after && each.key.startsWith(prefix)
      );
    if (find().length === 0) await nextChange(Number(query.get("waitMs")));
    if (after < forgotten) return { status: 410 };
    const events = find().map(relay);
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
      return item ? { status: 200, body: relay(item) } : { status: 404 };
    }
    if (path === "/kv-range") {
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get("prefix") ?? ""))
        .map(relay);
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
      forgotten = revision;
      wake();
    },
    put: (key, value) => {
      revision++;
      change(key, Buffer.from(JSON.stringify(value)).toString("base64"));
      wake();
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
