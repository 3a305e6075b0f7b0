import { readFileSync } from "node:fs";
import { test } from "tap";
import { readPage } from "./page_for_tests.ts";

const ROOT = new URL("../../../", import.meta.url);
/** Fewer rows mean that the table was not found or was cut. */
const MIN_FAULTS = 20;

/** Returns the cells of each row of the table, without its header. */
function listRows(): string[][] {
  return readPage("FAULTS.md").split("\n")
    .filter((line) => line.startsWith("| "))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()))
    .slice(1)
    .filter((cells) => !/^-+$/.test(cells[0]!));
}

/**
 * Returns whether the file has a test with this title. The placeholders of a
 * title that is a template literal match any text.
 */
function hasTest(file: string, name: string): boolean {
  const text = readFileSync(new URL(file, ROOT), "utf8");
  const titles = [...text.matchAll(/\btest\(\s*(["'`])(.*?)\1/g)]
    .map((match) => match[2]!);
  return titles.some((each) => {
    const parts = each.split(/\$\{[^}]*\}/).map((part) =>
      part.replace(/[.*+?^${}()|[\]\\]/g, "\\$&")
    );
    return new RegExp(`^${parts.join(".+")}$`).test(name);
  });
}

// Guards against a row of the table whose test was renamed, moved or deleted.
test("each test that docs/FAULTS.md names exists", (t) => {
  const rows = listRows();
  t.ok(rows.length >= MIN_FAULTS, `${rows.length} faults`);
  for (const [fault, , , tests] of rows) {
    if (tests === "none yet") continue;
    for (const entry of tests!.split("; ")) {
      const [, file, name] = /^`(\S+_test\.ts)`: (.+)$/.exec(entry) ?? [];
      t.ok(file && hasTest(file, name!), `${fault}: ${entry}`);
    }
  }
  t.end();
});

// Guards against a row of the table whose source file was renamed or deleted.
test("each source file that docs/FAULTS.md names exists", (t) => {
  for (const [fault, mechanism] of listRows()) {
    const files = [...mechanism!.matchAll(/`([a-z_/]+\.ts)`/g)]
      .map((match) => match[1]!);
    t.ok(files.length > 0, `${fault} names a file`);
    for (const file of files) {
      t.ok(readFileSync(new URL(file, ROOT)).length > 0, file);
    }
  }
  t.end();
});
