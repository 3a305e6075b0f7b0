/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { startJsonServer } from "./json_server.mjs";

/** Milliseconds before each answer. */
const ANSWER_DELAY = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const LEASE_CHECK_INTERVAL = 20;

/** Starts a store that holds `configuration` under op/config. */
export async function startStore({ host, port, configuration }) {
  const items = new Map();
  const history = [];
  const leases = new Map();
  const waiting = new Set();
  let revision = 1;
  let nextLease = 1;

  function change(key, value, lease = 0) {
    const old = items.get(key);
    if (value === undefined) {
      if (!old) return;
      items.delete(key);
      history.push({ key, revision, deleted: true });
      return;
    }
    const created = old?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    history.push(item);
  }

  function wake() {
    for (const resume of [...waiting]) resume();
  }

  function endLease(id) {
    if (!leases.delete(id)) return;
    revision++;
    for (const item of [...items.values()]) {
      if (item.lease === id) change(item.key, undefined);
    }
    wake();
  }

  function commit({ expected = [], writes = [], deletes = [] }) {
    const keys = [...writes.map(({ key }) => key), ...deletes];
    if (keys.some((key) => /^(op|servers)\//.test(key))) return { status: 403 };
    const holds = expected.every((each) =>
      (items.get(each.key)?.revision ?? 0) === each.revision
    );
    if (!holds) {
      const current = expected.flatMap(({ key }) => items.get(key) ?? []);
      return { status: 412, body: { items: current } };
    }
    if (writes.some(({ lease }) => lease && !leases.has(lease))) {
      return { status: 404 };
    }
    revision++;
    for (const { key, value, lease } of writes) change(key, value, lease);
    for (const key of deletes) change(key, undefined);
    wake();
    return { status: 200, body: { revision } };
  }

  function list(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    for (const item of found) {
      if (page.length === PAGE_ITEMS || bytes > PAGE_BYTES) break;
      page.push(item);
      bytes += item.value.length;
    }
    const hasMore = page.length < found.length;
    return {
      status: 200,
      body: { items: page, hasMore, storeRevision: revision },
    };
  }

  async function watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const find = () =>
      history.filter((each) =>
        each.revision > after && each.key.startsWith(prefix)
      );
    const end = Date.now() + Number(query.get("waitMs"));
    while (find().length === 0 && Date.now() < end) {
      await nextChange(end - Date.now());
    }
    return { status: 200, body: { events: find(), storeRevision: revision } };
  }

  function nextChange(limit) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timeout);
        waiting.delete(finish);
        resolve();
      };
      const timeout = setTimeout(finish, limit);
      waiting.add(finish);
    });
  }

  async function handle({ method, path, query, body }) {
    if (path === "/kv-watch") return await watch(query);
    await sleep(ANSWER_DELAY);
    if (path === "/kv-key") {
      const item = items.get(query.get("key"));
      return item
        ? { status: 200, body: { ...item, storeRevision: revision } }
        : { status: 404 };
    }
    if (path === "/kv-range") return list(query);
    if (path === "/kv-txn") return commit(body);
    if (path === "/kv-lease") {
      const ttlMs = Math.max(1000, body.ttlMs);
      leases.set(nextLease, { ttlMs, end: Date.now() + ttlMs });
      return { status: 200, body: { lease: nextLease++, ttlMs } };
    }
    const id = Number(path.split("/")[2]);
    const lease = leases.get(id);
    if (!lease) return { status: 404 };
    if (method === "DELETE") endLease(id);
    else lease.end = Date.now() + lease.ttlMs;
    return { status: 200, body: { ttlMs: lease.ttlMs } };
  }

  const text = Buffer.from(JSON.stringify(configuration)).toString("base64");
  change("op/config", text);
  const server = await startJsonServer({ host, port, handle });
  const timer = setInterval(() => {
    for (const [id, { end }] of leases) if (end < Date.now()) endLease(id);
  }, LEASE_CHECK_INTERVAL);
  return {
    close: () => {
      clearInterval(timer);
      server.close();
    },
  };
}
