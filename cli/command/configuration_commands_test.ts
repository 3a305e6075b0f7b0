import { test } from "tap";
import { printConfiguration } from "@dragonflyledge/declare";
import {
  CURRENT_CONFIGURATION,
  exampleConfiguration,
  FILES,
  runCommand,
  TOKEN,
} from "./command_for_tests.ts";
import { startFakeEntry } from "./fake_entry_for_tests.ts";

// Guards against a refused configuration whose error does not say which member
// is wrong and why.
test("config print and check work without an entry", async (t) => {
  const printed = await runCommand("config print teams.js");
  t.equal(printed.output, printConfiguration(exampleConfiguration()));
  const worker = {
    location: { region: "r", failureDomain: "d", rack: "1" },
    capacity: { accelerators: 2 },
  };
  const files = {
    ...FILES,
    "bad.json": '{"version":1,"teams":[{"name":"lab"}],"x":1}',
    "text.json": "{",
    "w.json": JSON.stringify([worker, worker]),
    "w2.json": "[{}]",
  };
  t.match(await runCommand("config check c.json", files), { code: 0 });
  t.match(await runCommand("config check bad.json", files), {
    code: 3,
    errors: /teams\[lab\]\.weight: is missing[^]*x: unknown key/,
  });
  t.match(await runCommand("config check text.json", files), { code: 3 });
  t.match(await runCommand("config check c.json --inventories w.json", files), {
    code: 3,
    errors: /teams\[lab\]\.guarantees\[0\]: only 0 of 1/,
  });
  t.match(
    await runCommand("config check c.json --inventories w2.json", files),
    {
      code: 3,
    },
  );
});

// Guards against a submission without its version condition, which could
// overwrite the change of another operator.
test("config submit sends the expected version and prints the new one", async (t) => {
  const entry = await startFakeEntry(t, {
    "PUT /v1/configuration": [200, { version: 8 }],
    "GET /v1/configuration": [200, CURRENT_CONFIGURATION],
    "GET /v1/configuration/history": [200, {
      history: [{ version: 7, author: "amina", at: "2026-12-04T06:00:00Z" }],
    }],
  });
  const files = { ...FILES, token: `${TOKEN}\n` };
  const diff = await runCommand(
    `config diff c.json --entry ${entry.url}`,
    FILES,
  );
  t.match(diff.output, /Version 7 .*1 diff[^]*~ teams\[lab\]\.weight: 1 -> 2/);
  const line = `config submit c.json --expect 7 --entry ${entry.url}`;
  const done = await runCommand(`${line} --token-file token`, files, {});
  t.match(done, { code: 0, output: "Configuration version 8 is accepted.\n" });
  const put = entry.seen.at(-1);
  t.equal(put?.headers["if-match"], "7");
  t.equal(put?.headers["authorization"], `Bearer ${TOKEN}`);
  t.equal(JSON.parse(put?.body ?? "").version, 8);
  t.same(JSON.parse((await runCommand(`${line} --json`, FILES)).output), {
    version: 8,
  });
  const history = await runCommand(`config history --entry ${entry.url}`);
  t.match(history.output, /^VERSION +AUTHOR[^]* 7 +amina/);
});

// Guards against a version conflict after which the operator does not learn who
// made the other change and how the configurations differ.
test("the loser of a race is told who won and what differs", async (t) => {
  const entry = await startFakeEntry(t, {
    "PUT /v1/configuration": [409, { current: 7, author: "amina" }],
    "GET /v1/configuration": [200, CURRENT_CONFIGURATION],
  });
  const line = `config submit c.json --expect 6 --entry ${entry.url}`;
  const lost = await runCommand(line, FILES);
  t.equal(lost.code, 4);
  t.match(lost.errors, /version 7 by amina is in force, not version 6/);
  t.match(lost.errors, /~ teams\[lab\]\.weight: 1 -> 2/);
  t.match(lost.errors, /--expect 7[^]*DFL_CONFIGURATION_CONFLICT/);
  const same = { "c.json": printConfiguration(exampleConfiguration()) };
  t.match(await runCommand(line, same), {
    code: 0,
    output: /7 holds this document/,
  });
});

// Guards against a refused configuration or an unknown outcome that is reported
// as a conflict with the change of another operator.
test("a refused configuration and an unknown outcome are not conflicts", async (t) => {
  const refusing = await startFakeEntry(t, {
    "PUT /v1/configuration": [422, { problems: ["teams[lab]: no room"] }],
  });
  const line = "config submit c.json --expect 7 --entry";
  t.match(await runCommand(`${line} ${refusing.url}`, FILES), {
    code: 3,
    errors: /teams\[lab\]: no room/,
  });
  const lost = await startFakeEntry(t, {
    "PUT /v1/configuration": [502, {
      outcome: "unknown",
      error: { code: "DFL_STORE_UNAVAILABLE", message: "the store is away" },
    }],
  });
  t.match(await runCommand(`${line} ${lost.url}`, FILES), {
    code: 8,
    errors: /the store is away/,
  });
});
