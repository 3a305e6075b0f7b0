import { test } from "tap";
import {
  CURRENT_CONFIGURATION,
  FILES,
  runCommand,
} from "./command_for_tests.ts";
import { findUnusedAddress, startFakeEntry } from "./fake_entry_for_tests.ts";

// Guards against a command that fails because one entry is down, and against a
// job that is submitted twice.
test("the next entry is tried if one is down or refuses", async (t) => {
  const dead = await findUnusedAddress();
  const busy = await startFakeEntry(t, {
    "POST /v1/jobs": [503, { reason: "x" }],
  });
  const broken = await startFakeEntry(t, {
    "POST /v1/jobs": "break",
    "PUT /v1/configuration": "break",
  });
  const good = await startFakeEntry(t, {
    "POST /v1/jobs": [202, { id: "job-1" }],
    "PUT /v1/configuration": [200, { version: 8 }],
  });
  const entryOptions = (...urls: string[]) =>
    urls.map((url) => `--entry ${url}`).join(" ");
  const files = { ...FILES, "j.json": "{}" };
  const job = await runCommand(
    `jobs submit j.json ${entryOptions(dead, busy.url, good.url)}`,
    files,
  );
  t.match(job, { code: 0, output: "Job job-1 is accepted.\n" });
  const put = await runCommand(
    `config submit c.json --expect 7 ${entryOptions(broken.url, good.url)}`,
    files,
  );
  t.match(put, { code: 0, output: /version 8 is accepted/ });
  const silent = await startFakeEntry(t, { "GET /v1/status": "silence" });
  const status = `status --timeout 0.05 ${
    entryOptions(silent.url, broken.url)
  }`;
  t.match(await runCommand(status), { code: 7, errors: /answered 404/ });
  const none = await runCommand(`status ${entryOptions(dead, dead)}`);
  t.match(none, { code: 5, errors: /no entry accepted .*ECONNREFUSED/ });
  t.equal(good.lines().filter((line) => line === "POST /v1/jobs").length, 1);
  const lost = await runCommand(
    `jobs submit j.json ${entryOptions(broken.url, good.url)}`,
    files,
  );
  t.match(lost, { code: 8, errors: /may have taken effect/ });
  // A 502 means that the outcome is unknown: no other entry is tried, and the
  // message names the job.
  const uncertainEntry = await startFakeEntry(t, {
    "POST /v1/jobs": [502, { outcome: "unknown", reason: "x", hint: "job-2" }],
  });
  const open = await runCommand(
    `jobs submit j.json ${entryOptions(uncertainEntry.url, good.url)}`,
    files,
  );
  t.match(open, { code: 8, errors: /answered 502.*job-2/ });
  t.equal(good.lines().filter((line) => line === "POST /v1/jobs").length, 1);
});

// Guards against the exit codes for "nothing changed" after an attempt that may
// have been stored.
test("a submission with unknown outcome is never reported as not made", async (t) => {
  const broken = await startFakeEntry(t, { "PUT /v1/configuration": "break" });
  const down = await startFakeEntry(t, { "PUT /v1/configuration": [503, {}] });
  const later = await startFakeEntry(t, {
    "PUT /v1/configuration": [409, { current: 7, author: "amina" }],
    "GET /v1/configuration": [200, CURRENT_CONFIGURATION],
  });
  const submit = (expect: number, ...urls: string[]) => {
    const entries = urls.map((url) => `--entry ${url}`).join(" ");
    return runCommand(
      `config submit c.json --expect ${expect} ${entries}`,
      FILES,
    );
  };
  t.match(await submit(7, broken.url, down.url), { code: 8 });
  t.match(await submit(7, down.url, down.url), { code: 5 });
  t.match(await submit(5, broken.url, later.url), {
    code: 8,
    errors: /may have become version 6/,
  });
  t.match(await submit(6, broken.url, later.url), { code: 4 });
  t.match(await submit(5, later.url), { code: 4 });
  const differences = [{ path: "teams[lab].weight", before: 1, after: 2 }];
  const told = await startFakeEntry(t, {
    "PUT /v1/configuration": [409, { current: 9, author: "b", differences }],
  });
  t.match(await submit(8, told.url), {
    code: 4,
    errors: /version 9 by b .*not version 8[^]*teams\[lab\]\.weight/,
  });
});
