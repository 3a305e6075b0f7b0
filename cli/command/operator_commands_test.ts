import { test } from "tap";
import { runCommand } from "./command_for_tests.ts";
import { startFakeEntry } from "./fake_entry_for_tests.ts";
import { runProgram } from "./mod.ts";

const STATUS = {
  entry: "entry-1",
  at: "2026-12-04T06:00:00Z",
  teams: [{
    name: "a-team-with-a-long-name-that-is-never-cut",
    guaranteed: 72,
    held: 64,
    borrowed: 8,
    lent: 16,
    queued: 3,
  }],
  workers: [
    { worker: "w1", state: "ok", slots: 8 },
    { worker: "w2", state: "leaving", slots: 2 },
  ],
  entries: [{ id: "entry-1", httpAddress: "10.0.0.1:8080" }],
  versions: { configuration: 7, homes: 9 },
  ages: { store: 120 },
};

// Guards against output with shortened team names, or wider than 80 columns.
test("status fits 80 columns and is complete as JSON", async (t) => {
  const entry = await startFakeEntry(t, { "GET /v1/status": [200, STATUS] });
  const { output } = await runCommand(`status --entry ${entry.url}`);
  t.ok(output.split("\n").every((line) => line.length <= 80), output);
  t.match(output, /GUARANTEED +HELD +BORROWED +LENT +QUEUED\n/);
  t.match(output, /\na-team-\S+-never-cut\n +72 +64 +8 +16 +3\n/);
  t.match(output, /Workers: 2 \(ok 1, leaving 1\)/);
  t.match(output, /configuration 7, homes 9/);
  const all = await runCommand(`status --workers --entry ${entry.url}`);
  t.match(all.output, /w2 +leaving +2/);
  const json = await runCommand(`status --json --entry ${entry.url}`);
  t.same(JSON.parse(json.output), STATUS);
});

// Guards against commands that call a wrong path or method, and against control
// characters of an answer that reach the terminal.
test("jobs, audit and drain call their paths and print the answers", async (t) => {
  const spec = { team: "lab", class: "plan", members: 4 };
  const job = { id: "j/1", state: "queued", spec, reason: "\u001b[2Jx" };
  const entry = await startFakeEntry(t, {
    "GET /v1/jobs": [200, { jobs: [job] }],
    "GET /v1/jobs/j%2F1": [200, { ...job, why: ["needs 4", "3 are free"] }],
    "DELETE /v1/jobs/j%2F1": [202, ""],
    "GET /v1/audit?team=lab&since=2026-12-04T06%3A00%3A00.000Z": [200, {
      records: [{ kind: "reclaim", team: "lab", actor: "entry-1" }],
    }],
    "POST /v1/workers/w1/drain": [202, {}],
    "POST /v1/workers/w2/drain": [403, { message: "operators only" }],
    "GET /v1/configuration/history": [200, "<html>"],
  });
  const ask = (line: string) => runCommand(`${line} --entry ${entry.url}`);
  const list = await ask("jobs list");
  t.match(list.output, /j\/1 +queued +lab +plan +4 +- +\?\[2Jx/);
  t.match(await ask("jobs show j/1"), { output: /id: j\/1[^]*members: 4/ });
  t.match(await ask("jobs why j/1"), {
    output: "j/1 is queued.\nneeds 4\n3 are free\n",
  });
  t.match(await ask("jobs cancel j/1"), { code: 0 });
  const audit = await ask("audit --team lab --since 2026-12-04T06:00Z");
  t.match(audit.output, /^reclaim +team=lab +actor=entry-1$/m);
  t.match(await ask("drain w1"), { output: "Worker w1 is draining.\n" });
  t.match(await ask("drain w2"), { code: 6, errors: /403: operators only/ });
  t.match(await ask("jobs show none"), { code: 7 });
  t.match(await ask("config history"), { code: 1, errors: /than JSON/ });
});

// Guards against `audit --follow` repeating or missing records: polls overlap,
// since the lower bound of the time is inclusive.
test("audit --follow prints each record once", async (t) => {
  const first = { time: "2026-12-04T06:00:00.000Z", kind: "drain" };
  const second = { time: "2026-12-04T06:00:01.000Z", kind: "home" };
  const answers = [[first], [first], [first, second]];
  const paths: string[] = [];
  let output = "";
  const code = await runProgram({
    arguments: "audit --follow --json --entry http://127.0.0.1:1".split(" "),
    dependencies: {
      write: (text) => output += text,
      writeError: (text) => t.fail(text),
      readFile: () => Promise.reject(new Error("no file")),
      loadModule: () => Promise.reject(new Error("no module")),
      send: ({ url }) => {
        paths.push(new URL(url).search);
        const body = JSON.stringify({ records: answers[paths.length - 1] });
        return Promise.resolve({ status: 200, body });
      },
      wait: () => Promise.resolve(paths.length < answers.length),
      environment: { DRAGONFLYLEDGE_TOKEN: "x" },
    },
  });
  t.equal(code, 0);
  t.same(output.trim().split("\n").map((line) => JSON.parse(line)), [
    first,
    second,
  ]);
  t.match(paths, ["", /since=2026-12-04T06/, /since=2026-12-04T06/]);
});
