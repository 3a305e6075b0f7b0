import { test } from "tap";
import { compare } from "./compare.ts";
import { formatTable, formatVerdicts } from "./table.ts";
import { checkTargets } from "./targets.ts";
import { readTrace } from "../trace/trace.ts";

// Guards against a table that does not fit a terminal.
test("the table is at most 100 columns wide", (t) => {
  const { trace } = readTrace("nyabugogo_floor");
  const early = (each: { at: number }) => each.at < 25_000;
  const rows = compare({
    trace: { ...trace, requests: trace.requests.filter(early), jobs: [] },
    seed: 1,
  });
  const text = `${formatTable(rows)}\n${formatVerdicts(checkTargets(rows))}`;
  for (const line of text.split("\n")) t.ok(line.length <= 100, line);
  t.equal(rows.length, 6);
  t.end();
});
