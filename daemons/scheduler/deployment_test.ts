import { test } from "tap";
import { createLevels } from "@dragonflyledge/log";
import { createDeploymentHolder } from "./deployment.ts";

const configuration = (version: number) =>
  new TextEncoder().encode(JSON.stringify({ version }));

const BOUND = 3000;

/** Creates a holder that knows the state of the store as of a time. */
function createHolder(known: { now: number; freshAt: number }) {
  const lines: string[] = [];
  const newer: number[] = [];
  const holder = createDeploymentHolder({
    age: () => known.now - known.freshAt,
    bound: BOUND,
    onNewer: ({ version }) => newer.push(version),
    log: createLevels({
      write: (_level, text) => lines.push(text),
      part: () => {
        throw new Error("no other part");
      },
    }),
  });
  return { holder, lines, newer };
}

// Guards against a withdrawn key that is valid again, since an older
// configuration arrives from a peer or with a late answer of the store.
test("a lower version of the configuration is ignored", (t) => {
  const { holder, lines, newer } = createHolder({ now: 0, freshAt: 0 });
  for (const version of [8, 11, 11, 8]) holder.apply(configuration(version));
  t.same(newer, [8, 11]);
  t.equal(holder.current()?.version, 11);
  t.same(lines, [
    "Configuration in force.",
    "Configuration in force.",
    "Configuration ignored.",
  ]);
  t.end();
});

// Guards against an entry that decides by a configuration although a newer one
// may have been due.
test("a configuration decides for longer than its bound", (t) => {
  const known = { now: 0, freshAt: -Infinity };
  const { holder } = createHolder(known);
  t.notOk(holder.isConfirmed(), "there is none");
  holder.apply(configuration(8));
  t.notOk(holder.isConfirmed(), "the store has not shown it");
  known.freshAt = 0;
  known.now = BOUND;
  t.ok(holder.isConfirmed());
  known.now = BOUND + 1;
  t.notOk(holder.isConfirmed());
  known.freshAt = known.now;
  t.ok(holder.isConfirmed());
  t.end();
});

// Guards against an older configuration after a peer answered by a newer one,
// while a late answer of the store shows no change.
test("a configuration decides after a newer one was used", (t) => {
  const { holder } = createHolder({ now: 0, freshAt: 0 });
  holder.apply(configuration(8));
  holder.noteUsed(11);
  t.notOk(holder.isConfirmed());
  t.equal(holder.newestUsed(), 11);
  holder.noteUsed(9);
  holder.apply(configuration(10));
  t.notOk(holder.isConfirmed());
  holder.apply(configuration(11));
  t.ok(holder.isConfirmed());
  holder.apply(configuration(12));
  t.equal(holder.newestUsed(), 12);
  t.end();
});
