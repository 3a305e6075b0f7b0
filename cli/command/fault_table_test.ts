import { readFileSync } from "node:fs";
import { test } from "tap";
import { readPage } from "./page_for_tests.ts";

const ROOT = new URL("../../../", import.meta.url);
const MIN_FAULTS = 20;

/** Cells of the rows of the table, without its head. */
function listRows(): string[][] {
  return readPage("FAULTS.md").split("\n")
    .filter((line) => line.startsWith("| "))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()))
    .slice(1)
    .filter((cells) => !/^-+$/.test(cells[0]!));
}

/** Whether the file has a test of this name, also one named by a template. */
function hasTest(file: string, name: string): boolean {
  const text = readFileSync(new URL(file, ROOT), "utf8");
  const names = [...text.matchAll(/\btest\(\s*(["'`])(.*?)\1/g)]
    .map((match) => match[2]!);
  return names.some((each) => {
    const parts = each.split(/\$\{[^}]*\}/).map((part) =>
      part.replace(/[.*+?^${}()|[\]\\]/g, "\\$&")
    );
    return new RegExp(`^${parts.join(".+")}$`).test(name);
  });
}

// Guards against a promise whose test was renamed, moved or deleted.
test("each test of docs/FAULTS.md exists", (t) => {
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

// Guards against a mechanism whose source file was renamed or deleted.
test("each file of docs/FAULTS.md exists", (t) => {
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
