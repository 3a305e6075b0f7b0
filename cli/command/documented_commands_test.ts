import { readdirSync, readFileSync } from "node:fs";
import type { Command } from "commander";
import { test } from "tap";
import { createProgram } from "./program.ts";
import { sendRequest } from "./send_request.ts";
import { listBlocks, splitCommandLine } from "./page_for_tests.ts";

const ROOT = new URL("../../../", import.meta.url);
const COMMAND_LINE =
  /^\s*(?:dragonflyledge|node cli\/command\/dist\/main\.js) ((?:[^\n\\]|\\\n)*)/gm;
const INLINE_COMMAND = /`dragonflyledge ([^`\n]+)`/g;

/** Pages that tell people which commands to run. */
function listPages(): string[] {
  const docs = readdirSync(new URL("docs/", ROOT))
    .filter((name) => name.endsWith(".md") && name !== "design.md")
    .map((name) => `docs/${name}`);
  return [...docs, "README.md", "examples/README.md", "cli/command/README.md"];
}

/** Command lines of a page, without redirections of the shell. */
function listCommands(page: string): string[] {
  const text = readFileSync(new URL(page, ROOT), "utf8");
  const fenced = listBlocks(text).filter(({ language }) => language === "sh");
  const indented = text.match(/^ {4}.*$/gm) ?? [];
  const code = [...fenced.map((block) => block.text), ...indented].join("\n");
  return [...code.matchAll(COMMAND_LINE), ...text.matchAll(INLINE_COMMAND)]
    .map((match) => match[1]!.replace(/ > \S+\s*$/, "").trim());
}

/** Returns the program whose commands do nothing but note that they ran. */
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

/** Finds the command that the words name. */
function findCommand(program: Command, words: string[]): Command {
  let command = program;
  for (const word of words) {
    const next = command.commands.find((each) => each.name() === word);
    if (next === undefined) return command;
    command = next;
  }
  return command;
}

// Guards against pages whose commands the program does not accept.
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
      const fault = await program.parseAsync(words, { from: "user" })
        .then(() => undefined, (error: Error) => error.message);
      t.equal(fault, undefined, `${page}: ${line}`);
      t.equal(ran, 1, `${page}: ${line} names a command`);
    }
  }
  t.ok(count >= 30, `${count} command lines`);
});

// Guards against commands that no operator finds on the page.
test("docs/OPERATIONS.md shows every command of operators", (t) => {
  const shown = listCommands("docs/OPERATIONS.md");
  const program = createRecordingProgram(() => {});
  const names: string[] = [];
  const visit = (command: Command, prefix: string) => {
    const name = `${prefix}${command.name()}`;
    if (command.commands.length === 0) names.push(name);
    command.commands.forEach((each) => visit(each, `${name} `));
  };
  program.commands.forEach((each) => visit(each, ""));
  const trials = ["dev", "demo"];
  for (const name of names.filter((each) => !trials.includes(each))) {
    t.ok(shown.some((line) => `${line} `.startsWith(`${name} `)), name);
  }
  t.end();
});

// Guards against alarms on metrics that do not exist.
test("docs/OPERATIONS.md names metrics of docs/METRICS.md only", (t) => {
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
