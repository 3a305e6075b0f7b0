import { readFileSync } from "node:fs";
import { test } from "tap";
import { readPage } from "./page_for_tests.ts";

const ROOT = new URL("../../../", import.meta.url);
/** Pages with tables whose cells name tests and source files. */
const PAGES = [
  { page: "FAULTS.md", minRows: 20, filesAt: 1, testsAt: 3 },
  { page: "MESSAGES.md", minRows: 35, filesAt: 4, testsAt: 3 },
];

/** Returns the cells of each row of the page's tables, without headers. */
function listRows(page: string): string[][] {
  const rows = readPage(page).split("\n")
    .filter((line) => line.startsWith("| "))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
  const isRule = (cells: string[] | undefined) => /^-+$/.test(cells?.[0] ?? "");
  return rows.filter((cells, index) =>
    !isRule(cells) && !isRule(rows[index + 1])
  );
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

for (const { page, minRows, filesAt, testsAt } of PAGES) {
  // Guards against a row of a table whose test was renamed, moved or deleted.
  test(`each test that docs/${page} names exists`, (t) => {
    const rows = listRows(page);
    // Fewer rows mean that the tables were not found or were cut.
    t.ok(rows.length >= minRows, `${rows.length} rows`);
    for (const cells of rows) {
      const tests = cells[testsAt]!;
      if (tests === "none yet") continue;
      for (const entry of tests.split("; ")) {
        const [, file, name] = /^`(\S+_test\.ts)`: (.+)$/.exec(entry) ?? [];
        t.ok(file && hasTest(file, name!), `${cells[0]}: ${entry}`);
      }
    }
    t.end();
  });

  // Guards against a row of a table whose source file was renamed or deleted.
  test(`each source file that docs/${page} names exists`, (t) => {
    for (const cells of listRows(page)) {
      const files = [...cells[filesAt]!.matchAll(/`([a-z_/]+\.ts)`/g)]
        .map((match) => match[1]!);
      t.ok(files.length > 0, `${cells[0]} names a file`);
      for (const file of files) {
        t.ok(readFileSync(new URL(file, ROOT)).length > 0, file);
      }
    }
    t.end();
  });
}
