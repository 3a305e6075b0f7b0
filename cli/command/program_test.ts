import { execFile } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { test } from "tap";
import { FILES, runCommand } from "./command_for_tests.ts";
import { COMMANDS } from "./commands/list.ts";
import { EXIT_CODES } from "./mod.ts";

// Guards against commands, examples or exit codes that the help omits, and help
// wider than 80 columns.
test("help lists commands, examples and exit codes", async (t) => {
  const { code, output } = await runCommand("--help");
  t.equal(code, 0);
  for (const { code, meaning } of Object.values(EXIT_CODES)) {
    t.ok(output.includes(`  ${code}  ${meaning}`));
  }
  t.match(output, /Examples:\n.*config print/);
  const fit = output.split("\n").every((line) => line.length <= 80);
  t.ok(fit, "80 columns");
  t.equal(COMMANDS.length, 19);
  t.equal((await runCommand("config submit --help")).code, 0);
});

// Guards against wrong arguments that are sent to an entry or end with code 0.
test("wrong arguments are refused with code 2", async (t) => {
  const dead = "--entry http://127.0.0.1:1";
  for (
    const line of [
      "no-such-command",
      "config",
      "config submit c.json",
      `config submit c.json ${dead} --expect 1.5`,
      `config submit c.json ${dead} --expect -1`,
      `status ${dead} --timeout 0`,
      `status ${dead} --token-file absent`,
      `audit ${dead} --since yesterday`,
      "status",
      "status --entry 127.0.0.1:8080",
      "config print absent.js",
      "config check absent.json",
    ]
  ) {
    const { code, output, errors } = await runCommand(line, FILES);
    t.equal(code, 2, `${line}: ${errors}`);
    t.equal(output, "");
    t.not(errors, "");
  }
  const { code, errors } = await runCommand(`status ${dead}`, {}, {});
  t.equal(code, 2);
  t.match(errors, /no token.*\nhint: Set DRAGONFLYLEDGE_TOKEN/);
});

// Guards against an executable that does not start or loses the exit code.
test("the executable prints help and ends with the exit code", async (t) => {
  const main = fileURLToPath(new URL("main.js", import.meta.url));
  const start = (...rest: string[]) =>
    promisify(execFile)(process.execPath, [main, ...rest]);
  t.match((await start("--help")).stdout, /Usage: dragonflyledge/);
  await t.rejects(start("config", "check", "absent"), { code: 2 });
});
