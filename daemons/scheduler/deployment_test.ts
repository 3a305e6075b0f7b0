import { test } from "tap";
import { createLevels } from "@dragonflyledge/log";
import { createDeploymentHolder } from "./deployment.ts";

const configuration = (version: number) =>
  new TextEncoder().encode(JSON.stringify({ version }));

// Guards against a withdrawn key that is valid again, since an older
// configuration arrives from a peer or with a late answer of the store.
test("a lower version of the configuration is ignored", (t) => {
  const lines: string[] = [];
  const newer: number[] = [];
  const holder = createDeploymentHolder({
    onNewer: ({ version }) => newer.push(version),
    log: createLevels({
      write: (_level, text) => lines.push(text),
      part: () => {
        throw new Error("no other part");
      },
    }),
  });
  for (const version of [8, 11, 11, 8]) holder.apply(configuration(version));
  t.same(newer, [8, 11]);
  t.equal(holder.current()?.version, 11);
  t.equal(holder.stored()?.version, 11);
  t.same(lines, [
    "Configuration in force.",
    "Configuration in force.",
    "Configuration ignored.",
  ]);
  t.end();
});
