import { readdirSync, readFileSync } from "node:fs";
import { test } from "tap";
import { readPage } from "./page_for_tests.ts";

const MODEL_DIRECTORY = new URL("../../../core/model/", import.meta.url);

/** Words in names that have their usual meaning and need no explanation. */
const ORDINARY_WORDS = new Set(
  `abort accepted answer answered arrived assert audit broken call cancel
  cancelled changed checkpointed clock code configuration connected count
  create created deadline default delay dial disconnect ended entries error
  existing exit failed failure failures fields for found frame gone hour id
  in interval item kibibyte kind left level limit load loaded location log
  lost margin max mebibyte message milliseconds minute name notice now of
  part peer per piece prefix protocol query random ratio read record refused
  renew renewed requested reserve reserved reserving resources respond result
  ok loss step written second seen send settle size spec start started state stop store
  submission submitted table target timer update usage value version versions
  work write failed`.split(/\s+/),
);

/**
 * Returns the words in the exported names of core/model and in the kinds of its
 * messages and events.
 */
function listWords(): Set<string> {
  const words = new Set<string>();
  const files = readdirSync(MODEL_DIRECTORY)
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"));
  for (const file of files) {
    const text = readFileSync(new URL(file, MODEL_DIRECTORY), "utf8");
    const pattern =
      /export (?:interface|type|const|function|class) (\w+)|\bkind: "([\w-]+)"/g;
    for (const [, exported, kind] of text.matchAll(pattern)) {
      const spaced = (exported ?? kind)!
        .replace(/([a-z])([A-Z])/g, "$1 $2")
        .toLowerCase();
      for (const word of spaced.split(/[\s_-]+/)) words.add(word);
    }
  }
  return words;
}

// Guards against names in core/model that the glossary does not explain.
test("docs/glossary.md explains the words in names of core/model", (t) => {
  const glossary = new Set(readPage("glossary.md").toLowerCase().match(/\w+/g));
  const unknown = [...listWords()].filter((word) =>
    !ORDINARY_WORDS.has(word) && !glossary.has(word) &&
    !glossary.has(word.replace(/s$/, ""))
  );
  t.same(unknown, []);
  t.end();
});

// Guards against a project term of the design page that the glossary lacks.
test("docs/glossary.md has the terms of the design page", (t) => {
  const design = readPage("design.md");
  const line = design.split("\n")
    .find((each) => each.includes("Terms used in code:")) ?? "";
  const terms = /Terms used in code: ([^;]+); .*?: ([^.]+)\./.exec(line);
  t.ok(terms, "the design page lists the terms");
  const glossary = readPage("glossary.md").toLowerCase();
  const listed = `${terms![1]}, ${terms![2]}`.split(", ");
  t.ok(listed.length >= 14, `${listed.length} terms`);
  for (const term of listed) t.ok(glossary.includes(term), term);
  t.end();
});
