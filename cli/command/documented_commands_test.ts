import { readdirSync, readFileSync } from "node:fs";
import type { Command } from "commander";
import { test } from "tap";
import { createProgram } from "./program.ts";
import { sendRequest } from "./send_request.ts";
import { listBlocks, splitCommandLine } from "./page_for_tests.ts";

const ROOT = new URL("../../../", import.meta.url);
/** A command line in a code block, which backslashes may continue. */
const COMMAND_LINE =
  /^\s*(?:dragonflyledge|node cli\/command\/dist\/main\.js) ((?:[^\n\\]|\\\n)*)/gm;
/** A command line in inline code. */
const INLINE_COMMAND = /`dragonflyledge ([^`\n]+)`/g;

/** Returns the paths of the pages that show commands to run. */
function listPages(): string[] {
  const docs = readdirSync(new URL("docs/", ROOT))
    .filter((name) => name.endsWith(".md") && name !== "design.md")
    .map((name) => `docs/${name}`);
  return [...docs, "README.md", "examples/README.md", "cli/command/README.md"];
}

/**
 * Returns the command lines of a page without the name of the program and
 * without shell redirections.
 */
function listCommands(page: string): string[] {
  const text = readFileSync(new URL(page, ROOT), "utf8");
  const fenced = listBlocks(text).filter(({ language }) => language === "sh");
  const indented = text.match(/^ {4}.*$/gm) ?? [];
  const code = [...fenced.map((block) => block.text), ...indented].join("\n");
  return [...code.matchAll(COMMAND_LINE), ...text.matchAll(INLINE_COMMAND)]
    .map((match) => match[1]!.replace(/ > \S+\s*$/, "").trim());
}

/** Returns a program whose commands only call `onRun`. */
function createRecordingProgram(onRun: () => void): Command {
  const ignore = () => {};
  const program = createProgram({
    write: ignore,
    writeError: ignore,
    readFile: () => Promise.reject(new Error("not read in this test")),
    loadModule: () => Promise.reject(new Error("not loaded in this test")),
    send: sendRequest,
    environment: {},
  });
  const visit = (command: Command) => {
    if (command.commands.length === 0) command.action(onRun);
    command.commands.forEach(visit);
  };
  program.commands.forEach(visit);
  return program;
}

/** Returns the command that the first words name. */
function findCommand(program: Command, words: string[]): Command {
  let command = program;
  for (const word of words) {
    const next = command.commands.find((each) => each.name() === word);
    if (next === undefined) return command;
    command = next;
  }
  return command;
}

// Guards against pages with commands or options that the program rejects.
test("each documented command line is accepted", async (t) => {
  let count = 0;
  for (const page of listPages()) {
    for (const line of listCommands(page)) {
      count++;
      const words = splitCommandLine(line);
      let ran = 0;
      const program = createRecordingProgram(() => ran++);
      const help = findCommand(program, words).helpInformation();
      for (const word of words.filter((each) => each.startsWith("--"))) {
        t.ok(help.includes(word), `${page}: ${line}: the help has ${word}`);
      }
      if (words.includes("--help")) continue;
      const error = await program.parseAsync(words, { from: "user" })
        .then(() => undefined, (error: Error) => error.message);
      t.equal(error, undefined, `${page}: ${line}`);
      t.equal(ran, 1, `${page}: ${line} names a command`);
    }
  }
  t.ok(count >= 30, `${count} command lines`);
});

// Guards against commands that are missing from the page for operators.
test("docs/OPERATIONS.md shows every command for operators", (t) => {
  const shown = listCommands("docs/OPERATIONS.md");
  const program = createRecordingProgram(() => {});
  const names: string[] = [];
  const visit = (command: Command, prefix: string) => {
    const name = `${prefix}${command.name()}`;
    if (command.commands.length === 0) names.push(name);
    command.commands.forEach((each) => visit(each, `${name} `));
  };
  program.commands.forEach((each) => visit(each, ""));
  const developerCommands = ["dev", "demo"];
  for (
    const name of names.filter((each) => !developerCommands.includes(each))
  ) {
    t.ok(shown.some((line) => `${line} `.startsWith(`${name} `)), name);
  }
  t.end();
});

// Guards against a page that recommends alarms on metrics that do not exist.
test("docs/OPERATIONS.md names only metrics of docs/METRICS.md", (t) => {
  const read = (name: string) =>
    readFileSync(new URL(`docs/${name}`, ROOT), "utf8");
  const known = read("METRICS.md");
  const families =
    /`((?:requests|slots|accelerators|jobs|store|configuration|sessions|workers|invariants|metrics)\.[a-z_]+)`/g;
  const named = [...read("OPERATIONS.md").matchAll(families)]
    .map((match) => match[1]!);
  t.ok(named.length >= 15, `${named.length} names`);
  for (const name of named) t.ok(known.includes(`\`${name}\``), name);
  t.end();
});
