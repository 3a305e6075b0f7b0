// Stand-in of the platform's metadata store: items with revisions, leases,
// transactions, lists in pages and watches.

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;
const MAX_ENTRIES = 32;
const LEASE_CHECK_INTERVAL = 25;

/** Starts an empty store on a free port of `host`. */
export async function startStore({ host = "127.0.0.1" } = {}) {
  const items = new Map();
  const history = [];
  const leases = new Map();
  const waiting = new Set();
  let revision = 1;
  let nextLease = 1;

  function change(key, value, lease) {
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

  const wake = () => {
    for (const resume of [...waiting]) resume();
  };

  function endLease(id) {
    if (!leases.delete(id)) return;
    revision++;
    for (const item of [...items.values()]) {
      if (item.lease === id) change(item.key, undefined, 0);
    }
    wake();
  }

  function commit({ expected = [], writes = [], deletes = [] }) {
    if (expected.length + writes.length + deletes.length > MAX_ENTRIES) {
      return { status: 400 };
    }
    const oversized = writes.some(({ value }) =>
      Buffer.byteLength(value, "base64") > VALUE_BYTES
    );
    if (oversized) return { status: 413 };
    if (writes.some(({ key }) => /^(op|servers)\//.test(key))) {
      return { status: 403 };
    }
    const current = expected.map(({ key }) =>
      items.get(key) ?? { key, value: "", revision: 0, created: 0, lease: 0 }
    );
    if (expected.some((each, at) => each.revision !== current[at].revision)) {
      return { status: 412, body: { items: current } };
    }
    if (writes.some(({ lease }) => lease && !leases.has(lease))) {
      return { status: 404 };
    }
    revision++;
    for (const { key, value, lease = 0 } of writes) change(key, value, lease);
    for (const key of deletes) change(key, undefined, 0);
    wake();
    return { status: 200, body: { revision } };
  }

  function list(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const keys = [...items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      const item = items.get(key);
      bytes += item.value.length;
      if (page.length === PAGE_ITEMS) break;
      if (page.length > 0 && bytes > PAGE_BYTES) break;
      page.push(item);
    }
    const hasMore = page.length < keys.length;
    return {
      status: 200,
      body: { items: page, hasMore, storeRevision: revision },
    };
  }

  async function watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const end = Date.now() + Number(query.get("waitMs"));
    const find = () =>
      history.filter((each) =>
        each.revision > after && each.key.startsWith(prefix)
      );
    while (find().length === 0 && Date.now() < end) {
      await new Promise((resolve) => {
        const resume = () => {
          clearTimeout(timer);
          waiting.delete(resume);
          resolve();
        };
        const timer = setTimeout(resume, Math.max(1, end - Date.now()));
        waiting.add(resume);
      });
    }
    return {
      status: 200,
      body: { events: find(), storeRevision: revision },
    };
  }

  function answer({ path, query, body }) {
    const id = Number(path.split("/")[2]);
    if (path === "/kv-key") {
      const item = items.get(query.get("key") ?? "");
      return item
        ? { status: 200, body: { ...item, storeRevision: revision } }
        : { status: 404 };
    }
    if (path === "/kv-range") return list(query);
    if (path === "/kv-watch") return watch(query);
    if (path === "/kv-txn") return commit(body);
    if (path === "/kv-lease") {
      const ttl = Number(body.ttlMs);
      leases.set(nextLease, { ttl, end: Date.now() + ttl });
      return { status: 200, body: { lease: nextLease++, ttlMs: ttl } };
    }
    const lease = leases.get(id);
    if (!lease) return { status: 404 };
    if (path.startsWith("/kv-keep/")) lease.end = Date.now() + lease.ttl;
    else endLease(id);
    return { status: 200, body: { ttlMs: lease.ttl } };
  }

  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url ?? "/", "http://host");
    const call = {
      method: request.method,
      path: url.pathname,
      query: url.searchParams,
      body: text === "" ? {} : JSON.parse(text),
      peer: request.socket.remoteAddress,
    };
    const reply = await store.handle(call, () => answer(call));
    if (!reply || response.destroyed) return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  const expiry = setInterval(() => {
    for (const [id, { end }] of leases) if (end < Date.now()) endLease(id);
  }, LEASE_CHECK_INTERVAL);

  const store = {
    address: `${host}:${server.address().port}`,
    items,
    /** Carries a call out; a case may replace it to leave calls unanswered. */
    handle: (_call, carryOut) => carryOut(),
    /** Writes as the operator. */
    put: (key, value) => {
      revision++;
      change(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
      wake();
    },
    value: (key) => {
      const item = items.get(key);
      return item && Buffer.from(item.value, "base64");
    },
    stop: () => {
      clearInterval(expiry);
      server.closeAllConnections();
      server.close();
    },
  };
  return store;
}
