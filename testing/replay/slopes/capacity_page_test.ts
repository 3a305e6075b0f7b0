import { readFileSync } from "node:fs";
import { test } from "tap";
import { measureBytes } from "./slopes.ts";
import { countJobWrites, measureRecords } from "./capacity.ts";
import { measureStoreCalls } from "./store_calls.ts";

interface Result {
  name: string;
  factors?: (string | number)[];
  over?: (string | number)[];
  terms?: (string | number)[];
  result: number;
  limit?: string;
  fits?: boolean;
}

interface Figures {
  slopes: Record<string, number>;
  counts: Record<string, number>;
  limits: Record<string, number>;
  results: Result[];
}

/** Results are rounded to three digits or to whole numbers. */
const ROUNDING = 0.006;

const page = readFileSync(
  new URL("../../../../docs/CAPACITY.md", import.meta.url),
  "utf8",
);

function readFigures(): Figures {
  const block = /^```json\n([\s\S]*?)^```/m.exec(page);
  return JSON.parse(block![1]!) as Figures;
}

function isNear(left: number, right: number): boolean {
  return Math.abs(left - right) <= ROUNDING * Math.abs(right);
}

/** Evaluates sums of products, such as `2 × 3 ÷ 4 + 1`. */
function evaluate(expression: string): number {
  const product = (term: string) =>
    term.split(/(?=[×÷])/).reduce((value, part) => {
      const number = Number(part.replace(/[×÷,\s]/g, ""));
      return part.startsWith("÷") ? value / number : value * number;
    }, 1);
  return expression.split("+").reduce((sum, term) => sum + product(term), 0);
}

// Guards against a result that does not follow from its slopes and counts, and
// against one that is said to fit a limit that it exceeds.
test("results follow from slopes, counts and limits", (t) => {
  const { slopes, counts, limits, results } = readFigures();
  const known = new Map(Object.entries({ ...slopes, ...counts, ...limits }));
  const valueOf = (key: string | number) =>
    typeof key === "number" ? key : known.get(key) ?? NaN;
  const product = (keys: (string | number)[]) =>
    keys.reduce<number>((value, key) => value * valueOf(key), 1);
  t.ok(results.length > 0);
  for (const { name, factors, over, terms, result, limit, fits } of results) {
    const value = terms
      ? terms.reduce<number>((sum, key) => sum + valueOf(key), 0)
      : product(factors!) / product(over ?? []);
    t.ok(isNear(result, value), `${name}: ${result}, not ${value}`);
    if (limit) t.equal(result <= limits[limit]!, fits, `${name} fits`);
    t.ok(page.includes(result.toLocaleString("en-US")), `${name} is told`);
    known.set(name, result);
  }
  t.end();
});

// Guards against a line whose printed figures do not give its result.
test("every line of arithmetic on the page is right", (t) => {
  const lines = [...page.matchAll(/`([\d][\d.,×÷+ ]*) = ([\d.,]+)`/g)];
  t.ok(lines.length > 50, `${lines.length} lines`);
  for (const [line, expression, result] of lines) {
    const value = evaluate(expression!);
    t.ok(isNear(Number(result!.replaceAll(",", "")), value), line);
  }
  t.end();
});

// Guards against messages and values that grow while the page stays.
test("the bytes on the page are those of today's messages", (t) => {
  const { slopes } = readFigures();
  const measured = [...measureBytes(), ...measureRecords()];
  const at = (name: string, size: number) =>
    measured.find((each) => each.name === name)!.points
      .find(([each]) => each === size)![1];
  const lineOf = (name: string) =>
    measured.find((each) => each.name === name)!.line;
  const { slope, intercept } = lineOf("report");
  t.ok(isNear(slopes.report!, slope * 15 + intercept));
  t.equal(slopes.heartbeat, at("heartbeat", 1));
  t.equal(slopes.renewal, at("renewal and answer", 15));
  t.equal(slopes.homesStored, at("homes, stored", 860));
  t.equal(slopes.homesFrame, at("homes, frame", 860));
  t.equal(slopes.configurationStored, at("configuration, stored", 35));
  t.equal(slopes.configurationFrame, at("configuration, frame", 35));
  t.equal(slopes.jobRecord, at("job record, stored", 0));
  t.end();
});

// Guards against new calls to the store that the page does not count.
test("the store calls on the page are those of today's entries", async (t) => {
  const { slopes } = readFigures();
  const seed = 1;
  t.comment(`seed ${seed}`);
  const [reads, writes, changeReads, changeWrites, keyed] =
    await measureStoreCalls(seed);
  t.ok(isNear(slopes.steadyReads!, reads!.line.slope));
  t.ok(isNear(slopes.steadyWrites!, writes!.line.slope));
  t.ok(isNear(slopes.changeReads!, changeReads!.points.at(-1)![1]));
  t.ok(isNear(slopes.changeWrites!, changeWrites!.points.at(-1)![1]));
  t.equal(slopes.keyedWrites, keyed!.line.slope);
  t.equal(slopes.jobWrites, countJobWrites(seed).line.slope);
});
