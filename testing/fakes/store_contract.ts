/**
 * Tests of the contract of the `Store` interface, run against every
 * implementation.
 *
 * @module
 */

import type { Change, Item, Store, Write } from "@dragonflyledge/store";
import type { MemoryStore } from "./memory_store.ts";

/** The assertions of a tap test that the contract uses. */
export interface ContractTest {
  equal(found: unknown, wanted: unknown): unknown;
  same(found: unknown, wanted: unknown): unknown;
}

/**
 * The store under test, and the in-memory store that holds its data and faults.
 */
export interface ContractSubject {
  store: Store;
  memory: MemoryStore;
}

type ContractCase = (
  t: ContractTest,
  subject: ContractSubject,
) => Promise<void>;

/**
 * Resolves when `holds` returns true. It has no time limit of its own; that of
 * the calling test applies.
 */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 1));
}

const put = (key: string, value: string, revision = 0): Write => {
  return { key, value, revision };
};

/** Test cases by their titles, which state the rule that they check. */
export const storeContract: Record<string, ContractCase> = {
  // Guards against an absent key that is read as an error or as an empty value.
  "an absent key is read as undefined": async (t, { store }) => {
    t.equal((await store.get("/a"))._unsafeUnwrap(), undefined);
    t.same((await store.list("/"))._unsafeUnwrap(), []);
  },

  // Guards against text that is changed by base64 encoding, and against
  // listings that miss keys beyond ASCII because prefixes are compared by
  // bytes.
  "any text can be stored in keys and values": async (t, { store }) => {
    const text = 'crêpe "\u0000" 🍋\n';
    const key = `/ключ/${encodeURIComponent(text)}ÿ`;
    await store.write([put(key, text), put("/empty", "")]);
    t.equal((await store.get(key))._unsafeUnwrap()?.value, text);
    t.equal((await store.get("/empty"))._unsafeUnwrap()?.value, "");
    const [found] = (await store.list("/ключ/"))._unsafeUnwrap();
    t.equal(found?.key, key);
  },

  // Guards against two writers that both believe they won.
  "of two creations one is stored, and the other gets the winner's value":
    async (
      t,
      { store },
    ) => {
      const [first, second] = await Promise.all([
        store.write([put("/a", "one")]),
        store.write([put("/a", "two")]),
      ]);
      const results = [first, second].map((r) => r._unsafeUnwrap()[0]!);
      t.same(results.map((r) => r.kind).sort(), ["conflict", "stored"]);
      const lost = results.find((r) => r.kind === "conflict");
      const current = (await store.get("/a"))._unsafeUnwrap();
      t.same(lost, { kind: "conflict", current });
    },

  // Guards against a batch in which one conflict reverts or hides other writes.
  "each write of a call has its own condition": async (t, { store }) => {
    const created = await store.write([put("/a", "1"), put("/b", "1")]);
    const [a, b] = created._unsafeUnwrap();
    if (a?.kind !== "stored" || b?.kind !== "stored") throw new Error("kind");
    const mixed = await store.write([
      put("/a", "2", a.revision),
      put("/b", "2"),
      { key: "/gone", value: undefined, revision: 9 },
      put("/c", "1"),
    ]);
    t.same(mixed._unsafeUnwrap().map((r) => r.kind), [
      "stored",
      "conflict",
      "conflict",
      "stored",
    ]);
    const [, conflict, gone] = mixed._unsafeUnwrap();
    t.same(conflict, {
      kind: "conflict",
      current: { key: "/b", value: "1", revision: b.revision },
    });
    t.same(gone, { kind: "conflict", current: undefined });
    const values = (await store.list("/"))._unsafeUnwrap();
    t.same(values.map((item) => item.key + item.value), ["/a2", "/b1", "/c1"]);
  },

  // Guards against a deletion that ignores the revision it requires.
  "a deletion conflicts if its revision does not match": async (
    t,
    { store },
  ) => {
    const [made] = (await store.write([put("/a", "1")]))._unsafeUnwrap();
    if (made?.kind !== "stored") throw new Error("kind");
    const stale = { key: "/a", value: undefined, revision: made.revision - 1 };
    const [kept] = (await store.write([stale]))._unsafeUnwrap();
    t.equal(kept?.kind, "conflict");
    const right = { key: "/a", value: undefined, revision: made.revision };
    t.equal((await store.write([right]))._unsafeUnwrap()[0]?.kind, "stored");
    t.equal((await store.get("/a"))._unsafeUnwrap(), undefined);
  },

  // Guards against a listing that contains keys beside its prefix, or that is
  // not sorted.
  "a listing contains exactly the keys of its prefix, sorted": async (
    t,
    { store },
  ) => {
    await store.write(["/b/2", "/b/1", "/b0", "/a/1"].map((k) => put(k, k)));
    const listing = (await store.listAt("/b/"))._unsafeUnwrap();
    t.same(listing.items.map((item: Item) => item.key), ["/b/1", "/b/2"]);
    const keys = (await store.listKeys("/b/"))._unsafeUnwrap();
    t.same(keys, listing.items.map(({ key, revision }) => ({ key, revision })));
    const reading = (await store.getAt("/none"))._unsafeUnwrap();
    t.equal(reading.at, listing.at);
  },

  // Guards against keys that remain after their lease lapsed, and against a
  // lapsed lease that can still be renewed or used.
  "a lapsed lease loses its keys and can't be renewed": async (
    t,
    { store, memory },
  ) => {
    const lease = (await store.grantLease(60_000))._unsafeUnwrap();
    await store.write([{ ...put("/a", "1"), lease }, put("/b", "1")]);
    t.equal((await store.renewLease(lease))._unsafeUnwrap(), 60_000);
    memory.lapse(lease);
    const renewal = await store.renewLease(lease);
    t.equal(renewal._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
    const left = (await store.list("/"))._unsafeUnwrap();
    t.same(left.map((item) => item.key), ["/b"]);
    const late = await store.write([{ ...put("/c", "1"), lease }]);
    t.equal(late._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
  },

  // Guards against a clean shutdown after which others have to wait until the
  // lease lapses.
  "a revoked lease loses its keys at once": async (t, { store }) => {
    const lease = (await store.grantLease(60_000))._unsafeUnwrap();
    await store.write([{ ...put("/a", "1"), lease }]);
    t.equal((await store.revokeLease(lease)).isOk(), true);
    t.equal((await store.get("/a"))._unsafeUnwrap(), undefined);
    const again = await store.revokeLease(lease);
    t.equal(again._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
  },

  // Guards against changes that a watch misses, repeats or reorders.
  "a watch reports each change under its prefix once, in order": async (
    t,
    { store },
  ) => {
    const seen: Change[] = [];
    let started = false;
    const watch = store.watch({
      prefix: "/w/",
      onStart: () => started = true,
      onChange: (changes) => seen.push(...changes),
      onEnd: () => {},
    });
    await until(() => started);
    const made = await store.write([put("/w/a", "1"), put("/x", "1")]);
    const [stored] = made._unsafeUnwrap();
    if (stored?.kind !== "stored") throw new Error("kind");
    const { revision } = stored;
    await store.write([{ key: "/w/a", value: undefined, revision }]);
    await until(() => seen.length >= 2);
    t.same(seen.map(({ key, value }) => ({ key, value })), [
      { key: "/w/a", value: "1" },
      { key: "/w/a", value: undefined },
    ]);
    t.equal(seen[1]!.revision > seen[0]!.revision, true);
    watch.stop();
  },

  // Guards against a watch that ends without calling `onEnd`, so that its
  // holder waits for changes forever.
  "a watch that ends calls onEnd once": async (t, { store, memory }) => {
    let ended = 0;
    let started = false;
    store.watch({
      prefix: "/",
      onStart: () => started = true,
      onChange: () => {},
      onEnd: () => ended++,
    });
    await until(() => started);
    memory.endWatches();
    await until(() => ended > 0);
    t.equal(ended, 1);
  },

  // Guards against a lost answer that is reported as a refusal by the store.
  "a write whose answer is lost has taken effect": async (
    t,
    { store, memory },
  ) => {
    memory.faults.lostAnswers = 1;
    const result = await store.write([put("/a", "1")]);
    t.equal(result._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE");
    t.equal((await store.get("/a"))._unsafeUnwrap()?.value, "1");
  },

  // Guards against a call that waits while the store is down, or that still
  // fails when it is up again.
  "calls fail while the store is down, and succeed afterwards": async (
    t,
    { store, memory },
  ) => {
    memory.faults.down = true;
    const result = await store.get("/a");
    t.equal(result._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE");
    memory.faults.down = false;
    t.equal((await store.get("/a")).isOk(), true);
  },

  // Guards against calls that the platform's service would refuse as a whole.
  "duplicate keys and too many writes in one call are refused": async (
    t,
    { store },
  ) => {
    const twice = await store.write([put("/a", "1"), put("/a", "2")]);
    t.equal(twice.isErr(), true);
    const many = Array.from({ length: 129 }, (_, n) => put(`/${n}`, "1"));
    t.equal((await store.write(many)).isErr(), true);
    t.equal((await store.write(many.slice(1))).isOk(), true);
  },
};
