import { readFileSync } from "node:fs";
import { test } from "tap";
import {
  formatSettingsProblem,
  listSettings,
  readSettings,
  settingsError,
} from "./mod.ts";
import type { Role } from "./mod.ts";

const AGENT = `
[identity]
id = worker-1 ; beside the endpoint
region = kigali
failure-domain = kigali-a
rack = a-1
[entries]
seeds = 10.0.0.1:7000, entry.example:7001,[fd00::1]:7002
[worker]
url = http://127.0.0.1:9000
accelerators = 8
cores = 32
memory-mib = 131072
[endpoint]
url = http://127.0.0.1:9001
service = fryer-line-planning
slots = 8
connections = 64
`;
const ENTRY = `
[identity]
id = entry-1
region = kigali
failure-domain = kigali-a
rack = a-1
[listen]
host = 0.0.0.0
port = 7000
http-port = 8080
[store]
url = http://10.0.0.9:2379
`;

/** Returns the problems of the settings as lines; none if they are valid. */
function problemLines(text: string, role: Role): string[] {
  const result = readSettings({ text, file: "x.ini", role });
  return result.isOk() ? [] : result.error.map(formatSettingsProblem);
}

// Guards against numbers that stay text, and against missing defaults.
test("complete settings are read with defaults", (t) => {
  const file = "x.ini";
  const agent = readSettings({ text: AGENT, file, role: "agent" })
    ._unsafeUnwrap();
  t.equal(agent.identity.failureDomain, "kigali-a");
  t.equal(agent.identity.id, "worker-1");
  t.equal(agent.worker.memoryMib, 131072);
  t.same(agent.entries.seeds, [
    { host: "10.0.0.1", port: 7000 },
    { host: "entry.example", port: 7001 },
    { host: "fd00::1", port: 7002 },
  ]);
  t.equal(agent.metrics.host, undefined);
  const entry = readSettings({ text: ENTRY, file, role: "entry" })
    ._unsafeUnwrap();
  t.equal(entry.store.prefix, "/dragonflyledge/");
  t.equal(entry.limits.bodyLimit, 524288);
  t.equal(entry.log.level, "info");
  t.equal(entry.listen.httpPort, 8080);
  t.end();
});

// Guards against a bad key that is ignored, or reported without its place.
test("each bad key is reported with file, section, key and value", (t) => {
  const cases: [string, Role, RegExp][] = [
    [AGENT.replace("cores", "cpus"), "agent", /\[worker\] cpus = "32" .*cores/],
    [AGENT.replace("= 32", "= many"), "agent", /cores = "many" .*to 4096$/],
    [AGENT.replace("= 32", "= -1"), "agent", /cores = "-1"/],
    [AGENT.replace("= 32", "= 1e3"), "agent", /cores = "1e3"/],
    [AGENT.replace("= 32", "="), "agent", /cores = "" is not/],
    [AGENT.replace("= 32", "= true"), "agent", /cores = true/],
    [AGENT.replace(":7001", ""), "agent", /seeds = .*host:port, sep/],
    [AGENT.replace(":7001", ":70010"), "agent", /seeds/],
    [AGENT.replace(":9001", ":9001/x"), "agent", /\[endpoint\] url.*no path/],
    [AGENT.replace("http:", "ftp:"), "agent", /\[worker\] url/],
    [AGENT + "slots = 9", "agent", /slots = \["8","9"\].*given once/],
    [AGENT + "[tls]\nkey = k", "agent", /\[tls\] = \["key"\].*\[identity\]/],
    [AGENT + "[worker] ; again\nslots = 9", "agent", /\[worker\] slots = "9"/],
    [AGENT + "[worker] ; again\ncores = 9", "agent", /cores = \["32","9"\]/],
    [AGENT + "[identity.x]\nid = 1", "agent", /\[identity\.x\] = \["id"\]/],
    [AGENT + "[empty]", "agent", /\[empty\] = \[\] is not allowed/],
    ["top = 1\n" + AGENT, "agent", /\[\] top = "1".*within the sections/],
    [ENTRY.replace("port = 7000", ""), "entry", /\[listen\] port is missing/],
    [ENTRY + "prefix = x/", "entry", /\[store\] prefix = "x\/"/],
    [ENTRY + "[log]\nlevel = loud", "entry", /level = "loud".*debug, info/],
    [ENTRY + "[limits]\nbody-limit = 524289", "entry", /to 524288$/],
    [ENTRY + "[worker]\ncores = 1", "entry", /\[worker\]/],
    [ENTRY.replace("entry-1", "a b"), "entry", /\[identity\] id = "a b"/],
  ];
  for (const [text, role, expected] of cases) {
    const found = problemLines(text, role);
    t.ok(found.some((line) => expected.test(line)), found.join("\n"));
    t.ok(found.every((line) => line.startsWith("x.ini: [")));
  }
  t.end();
});

// Guards against reports of only the first problem of several.
test("an empty file reports every required key at once", (t) => {
  for (const role of ["entry", "agent"] as const) {
    const required = listSettings()
      .filter((key) => key.role === role && key.fallback === "required");
    t.equal(problemLines("", role).length, required.length);
  }
  const problems = readSettings({ text: "", file: "x.ini", role: "entry" })
    ._unsafeUnwrapErr();
  t.match(settingsError(problems), { code: "DFL_SETTINGS", peer: "x.ini" });
  t.end();
});

// Guards against documentation that differs from what the daemons accept.
test("docs/SETTINGS.md lists exactly the keys of the schema", (t) => {
  const file = new URL("../../../docs/SETTINGS.md", import.meta.url);
  const documented = readFileSync(file, "utf8").split("\n")
    .filter((line) => /^\| (entry|agent) /.test(line))
    .map((line) => line.split("|").map((cell) => cell.trim()).slice(1, -1));
  const expected = listSettings().map((key) => [
    key.role,
    key.section,
    `\`${key.key}\``,
    key.allowed,
    key.fallback === "required" ? key.fallback : `\`${key.fallback}\``,
    key.meaning,
  ]);
  t.same(documented, expected);
  t.end();
});
