import { readFileSync } from "node:fs";
import { test } from "tap";

const ROOT = new URL("../../../../", import.meta.url);
const MIN_ROWS = 8;

/** Figures of the busiest process at each size, and the one carried on. */
function readSweep(): Map<string, string[]> {
  const text = readFileSync(new URL("measurements/sweep.txt", ROOT), "utf8");
  const rows = text.matchAll(
    /^([a-z].+?) {2,}\S+ \/ (\S+) +\S+ \/ (\S+) +\S+ \/ (\S+) +-?[\d.]+ +(\S+)$/gm,
  );
  return new Map([...rows].map(([, name, ...figures]) => [name!, figures]));
}

/** Rows of the page's table of the sweep, as cells. */
function readPageRows(): string[][] {
  const page = readFileSync(new URL("docs/CAPACITY.md", ROOT), "utf8");
  const section = page.slice(page.indexOf("## 10."));
  return section.split("\n")
    .filter((line) => line.startsWith("| ") && !/^\| (-|quantity)/.test(line))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
}

// Guards against a figure on the page that no sweep has shown, and against a
// verdict that does not follow from figure and limit.
test("the page's figures are those of the sweep", (t) => {
  const sweep = readSweep();
  const rows = readPageRows();
  t.ok(rows.length >= MIN_ROWS, `${rows.length} rows`);
  for (const [name = "", ...cells] of rows) {
    t.same(cells.slice(0, 4), sweep.get(name), name);
    const [figure, limit, verdict] = cells.slice(3);
    if (limit === "") continue;
    const fits = Number(figure) <= Number(limit);
    t.equal(verdict, fits ? "fits" : "**does not fit**", `${name}: verdict`);
  }
  t.end();
});

// Guards against a share served on the page that no sweep has shown.
test("the shares served are those of the sweep", (t) => {
  const text = readFileSync(new URL("measurements/sweep.txt", ROOT), "utf8");
  const page = readFileSync(new URL("docs/CAPACITY.md", ROOT), "utf8");
  const line = /^Served: .*$/m.exec(page)?.[0] ?? "";
  for (const size of ["30", "100", "300"]) {
    const served = new RegExp(`^sweep-${size} +\\S+ +\\S+ +\\S+ +(\\S+)`, "m")
      .exec(text)?.[1];
    t.ok(served && line.includes(served), `${size} machines: ${served}`);
  }
  t.end();
});
