import { test } from "tap";
import {
  configuration,
  printConfiguration,
  service,
  shape,
  team,
  tokenDigest,
  workClass,
} from "./mod.ts";

const tokenDigests = [tokenDigest("example-token-of-the-lab")];
const urgent = { urgent: true, slotShare: 1, queueLimit: 10 };

// Guards against errors that do not say which field of which team is wrong.
test("errors name team and field and say what to write", (t) => {
  const cases: [() => unknown, RegExp][] = [
    [
      () => team({ name: "lab", tokenDigests, guarantees: [], weight: 0 }),
      /^teams\[lab\]\.weight: .*found 0\); write a number above 0/,
    ],
    [
      () => team({ name: "lab", tokenDigests: [], guarantees: [] }),
      /^teams\[lab\]\.tokenDigests: .*at least one token digest/,
    ],
    [
      () => shape({ accelerators: 3, adjacency: "worker" }),
      /^shape\.accelerators: is no aligned block.*adjacency rack or any/,
    ],
    [
      () => workClass({ name: "plan", ...urgent, defaultDeadline: 0 }),
      /^classes\[plan\]\.defaultDeadline: .*milliseconds/,
    ],
    [
      () => service({ name: "plan", path: "plan" }),
      /^services\[plan\]\.path: .*starts with \//,
    ],
    [
      () => configuration({ teams: [], classes: [], services: [] }),
      /^classes: has no urgent class.*urgent: true/,
    ],
  ];
  for (const [declare, message] of cases) {
    t.throws(declare, { code: "DFL_CONFIGURATION", message });
  }
  t.end();
});

// Guards against weak tokens, and against errors that show a token.
test("tokens are digested, weak ones are refused unquoted", (t) => {
  t.match(tokenDigests[0], /^[0-9a-f]{64}$/);
  t.throws(() => tokenDigest("short"), { code: "DFL_CONFIGURATION" });
  t.throws(() => tokenDigest("with spaces in the middle of it"));
  try {
    tokenDigest("hunter2");
  } catch (error) {
    t.notMatch(String(error), /hunter2/);
  }
  t.end();
});

// Guards against a printed document that differs from the declared one.
test("a declaration prints as the document it declares", (t) => {
  const guarantees = [shape({ accelerators: 4, adjacency: "worker" })];
  const declared = configuration({
    teams: [team({ name: "lab", tokenDigests, guarantees })],
    classes: [workClass({ name: "plan", ...urgent, defaultDeadline: 900 })],
    services: [service({ name: "planning", path: "/plan" })],
  });
  const printed = printConfiguration(declared);
  t.same(JSON.parse(printed), declared);
  t.equal(declared.teams[0]?.acceleratorQuota, 4);
  t.ok(printed.endsWith("}\n"));
  t.end();
});
