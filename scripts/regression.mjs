/**
 * Compares scores of the users' bench with those that were saved last.
 *
 * Usage: node scripts/regression.mjs [--save] FILE...
 * Each file holds the output of one `score`. Prints the worth of each day now
 * and as it was saved; `--save` replaces the saved figures.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "..");
const STORED = join(root, "measurements/regression.json");
/** Smaller drops of the worth of a day are not marked. */
const NOISE = 0.03;

/** Parses the output of one score: site, gate and the worth of each day. */
function parseScore(text) {
  const site = /^score on the standard days of (\S+)/m.exec(text)?.[1];
  if (!site) throw new Error("the file holds no finished score");
  const rows = text.matchAll(
    /^([a-z]+-[0-9a-z]+) +\d+\/\d+ +[-.\d]+ +([-.\d]+) /gm,
  );
  const days = Object.fromEntries(
    [...rows].map(([, day, worth]) => [
      day.startsWith("fresh-") ? "drawn" : day,
      Number(worth),
    ]),
  );
  return { site, gate: /^GATE (\w+)/m.exec(text)?.[1] ?? "unknown", days };
}

/** Mean worth of the standard days with trouble and high load. */
function meanOfTroubleDays(days) {
  const worths = Object.entries(days)
    .filter(([day]) => /^(trouble|scale)-/.test(day))
    .map(([, worth]) => worth);
  return worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
}

/** One line of the table; a drop beyond `NOISE` is marked. */
function formatRow(site, day, now, before) {
  const dropped = before !== undefined && now < before - NOISE;
  const shown = before === undefined ? "-" : before.toFixed(3);
  return `${site.padEnd(24)} ${day.padEnd(16)} ${now.toFixed(3).padStart(7)} ` +
    `${shown.padStart(7)}${dropped ? "  fell" : ""}`;
}

const { values, positionals } = parseArgs({
  options: { save: { type: "boolean", default: false } },
  allowPositionals: true,
});
const stored = JSON.parse(readFileSync(STORED, "utf8"));
console.log(`${"site".padEnd(24)} ${"day".padEnd(16)}     now  before`);
for (const path of positionals) {
  const { site, gate, days } = parseScore(readFileSync(path, "utf8"));
  const before = stored[site]?.days ?? {};
  for (const [day, worth] of Object.entries(days)) {
    console.log(formatRow(site, day, worth, before[day]));
  }
  const mean = meanOfTroubleDays(days);
  const meanBefore = stored[site] && meanOfTroubleDays(before);
  console.log(formatRow(site, "mean of trouble", mean, meanBefore));
  console.log(`${site.padEnd(24)} gate ${gate}`);
  stored[site] = { gate, days };
}
if (values.save) {
  writeFileSync(STORED, `${JSON.stringify(stored, undefined, 2)}\n`);
}
