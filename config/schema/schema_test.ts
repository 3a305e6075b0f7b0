import { test } from "tap";
import fc from "fast-check";
import type { Configuration, Inventory, Shape } from "@dragonflyledge/model";
import {
  canonicalJson,
  checkFit,
  diffConfigurations,
  formatChange,
  formatProblem,
  parseConfiguration,
} from "./mod.ts";

const SEED = 20261204;

function team(name: string, guarantees: Shape[] = []) {
  const digest = Buffer.from(name.padEnd(32, ".")).toString("hex");
  const tokenDigests = [digest.slice(0, 64)];
  return { name, tokenDigests, guarantees, acceleratorQuota: 88, weight: 1 };
}

function exampleConfiguration(): Configuration {
  return {
    version: 3,
    teams: [
      team("fry-floor", [{ accelerators: 4, adjacency: "worker", count: 2 }]),
      team("quality-lab"),
    ],
    classes: [{
      name: "shift-plan",
      urgent: true,
      slotShare: 1,
      defaultDeadline: 2000,
      queueLimit: 100,
    }],
    services: [{ name: "planning", path: "/plan", bodyLimit: 1024 }],
  };
}

/** Returns the problems of the example document after a change to it. */
// deno-lint-ignore no-explicit-any -- faults are written by path into copies
function broken(change: (copy: any) => void): string[] {
  const copy = structuredClone(exampleConfiguration());
  change(copy);
  const result = parseConfiguration({ value: copy });
  return result.isOk() ? [] : result.error.map(formatProblem);
}

// Guards against a fault that is accepted, or reported without its place,
// its value or what to write instead.
test("each fault is refused with team, field, value and remedy", (t) => {
  t.same(broken(() => {}), []);
  const cases: [Parameters<typeof broken>[0], RegExp][] = [
    [(c) => c.teams[0].wieght = 2, /^teams\[fry-floor\]\.wieght: unk.*weight/],
    [(c) => c.extra = 1, /^extra: unknown key.*version, teams/],
    [(c) => c.teams[1].weight = 0, /^teams\[quality-lab\]\.weight: .*found 0/],
    [
      (c) => delete c.teams[0].weight,
      /^teams\[fry-floor\]\.weight: is missing/,
    ],
    [
      (c) => c.teams[0].name = "Fry Floor",
      /^teams\[Fry Floor\]\.name: .*lower/,
    ],
    [(c) => c.teams[0].tokenDigests = ["ab"], /tokenDigests\[0\].*64 lower-/],
    [(c) => c.teams[0].tokenDigests = [], /tokenDigests: .*at least one/],
    [(c) => c.teams[1].name = "fry-floor", /name: is used more than once/],
    [
      (c) => c.classes.push(c.classes[0]),
      /^classes\[shift-plan\]\.name: is us/,
    ],
    [(c) => c.services.push(c.services[0]), /^services\[planning\]\.name: is/],
    [(c) => c.classes[0].urgent = false, /no urgent class/],
    [(c) => c.classes[0].slotShare = 0, /slotShare: .*above 0 and at most 1/],
    [(c) => c.classes[0].slotShare = 1.1, /slotShare: .*found 1.1/],
    [(c) => c.classes[0].queueLimit = 0.5, /queueLimit: .*whole number/],
    [(c) => c.classes[0].defaultDeadline = "2s", /Deadline: .*milliseconds/],
    [(c) => c.services[0].bodyLimit = 524289, /bodyLimit: .*524288 \(512 KiB/],
    [(c) => c.services[0].path = "plan", /path: .*starts with \//],
    [
      (c) => c.teams[0].guarantees[0].accelerators = 65,
      /accelerators: .*to 64/,
    ],
    [
      (c) => c.teams[0].guarantees[0].accelerators = 3,
      /rs: is no aligned block/,
    ],
    [(c) => c.teams[0].guarantees[0].adjacency = "row", /worker, rack, any/],
    [(c) => c.teams[0].acceleratorQuota = 7, /Quota: is below the 8 accel/],
    [(c) => c.version = -1, /^version: is not allowed/],
    [(c) => c.teams = null, /^teams: .*found null.*list of teams/],
    [(c) => c.teams[1].tokenDigests = c.teams[0].tokenDigests, /of team fry-f/],
    [
      (c) =>
        c.services = Array.from({ length: 4000 }, (_, i) => ({
          name: `s${i}`,
          path: `/${"p".repeat(100)}`,
          bodyLimit: 1,
        })),
      /^document: has too many bytes/,
    ],
  ];
  for (const [change, expected] of cases) {
    const lines = broken(change);
    t.match(lines.join("\n"), expected);
    t.equal(lines.length, 1, lines.join("\n"));
  }
  for (const value of [undefined, null, 3, "text", []]) {
    t.ok(parseConfiguration({ value }).isErr(), String(value));
  }
  t.end();
});

// Guards against reports of only the first fault of several.
test("all faults are reported at once", (t) => {
  const lines = broken((copy) => {
    copy.teams[0].weight = -1;
    copy.classes[0].slotShare = 2;
    copy.services[0].port = 80;
  });
  t.equal(lines.length, 3);
  t.end();
});

function workers(count: number, accelerators = 8): Inventory[] {
  return Array.from({ length: count }, (_, index) => ({
    worker: `w${index}`,
    location: {
      region: "r",
      failureDomain: "d",
      rack: `rack-${Math.floor(index / 3)}`,
    },
    capacity: { accelerators, cores: 32, memoryMiB: 131072 },
    service: "planning",
    slots: 8,
    connections: 64,
  }));
}

function fitProblems(guarantees: Shape[], count = 3): string {
  const configuration = {
    ...exampleConfiguration(),
    teams: [team("lab", guarantees)],
  };
  const result = checkFit({ configuration, inventories: workers(count) });
  return result.isOk() ? "" : result.error.map(formatProblem).join("\n");
}

// Guards against guarantees of capacity that does not exist.
test("guarantees beyond the workers, blocks or racks are refused", (t) => {
  const worker = (accelerators: number, count: number): Shape => {
    return { accelerators, adjacency: "worker", count };
  };
  const rack = (accelerators: number, count: number): Shape => {
    return { accelerators, adjacency: "rack", count };
  };
  t.equal(fitProblems([worker(4, 4), worker(8, 1)]), "");
  t.equal(fitProblems([worker(1, 8), worker(8, 2)]), "");
  t.equal(fitProblems([rack(16, 1), worker(8, 1)]), "");
  t.equal(fitProblems([{ accelerators: 24, adjacency: "any", count: 1 }]), "");
  t.match(
    fitProblems([worker(8, 4)]),
    /guarantees of 32 .*\(lab 32\) exceed the 24/,
  );
  t.match(
    fitProblems([worker(16, 1)]),
    /only 0 of 1 shapes of 16 .* one worker/,
  );
  t.match(fitProblems([rack(24, 2), rack(16, 1)], 8), /^$/);
  t.match(fitProblems([rack(24, 2), worker(8, 3)], 9), /^$/);
  t.match(fitProblems([rack(16, 2), worker(8, 2)], 7), /^$/);
  t.match(fitProblems([rack(24, 1), rack(16, 2)], 7), /only 1 of 2 .*16/);
  t.match(fitProblems([rack(24, 3)], 9), /^$/);
  t.match(fitProblems([rack(24, 3)], 10), /^$/);
  t.match(fitProblems([rack(32, 1)], 9), /only 0 of 1 .* one rack/);
  t.match(fitProblems([worker(1, 1)], 0), /exceed the 0 of 0 workers/);
  t.end();
});

const name = fc.stringMatching(/^[a-z][a-z0-9]{0,6}$/);
const teams = fc.uniqueArray(name, { minLength: 1, maxLength: 8 }).map((
  names,
) => names.map((each) => team(each)));

// Guards against equal documents with different text, and against content that
// is lost.
test("canonical JSON ignores order and parses to the same document", (t) => {
  t.comment(`seed ${SEED}`);
  const property = fc.property(teams, (list) => {
    const first = { ...exampleConfiguration(), teams: list };
    const { teams, ...rest } = first;
    const second = { teams: [...teams].reverse(), ...rest };
    const text = canonicalJson(first);
    const again = parseConfiguration({ value: JSON.parse(text) });
    return text === canonicalJson(second) &&
      canonicalJson(again._unsafeUnwrap()) === text &&
      diffConfigurations({ before: first, after: second }).length === 0;
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
  t.match(
    canonicalJson({ b: 1, a: [] }),
    /^\{\n {2}"a": \[\],\n {2}"b": 1\n\}$/,
  );
  t.end();
});

// Guards against a difference that is missing from the list, or against the
// version in it. An operator whose submission conflicts is shown this list.
test("differences name path, before and after in one line each", (t) => {
  const after = exampleConfiguration();
  after.version = 4;
  after.teams = [{ ...after.teams[0]!, weight: 2 }, team("dispatch")];
  after.classes[0]!.urgent = false;
  const lines = diffConfigurations({ before: exampleConfiguration(), after })
    .map(formatChange);
  t.ok(lines.includes("~ teams[fry-floor].weight: 1 -> 2"));
  t.ok(lines.includes("~ classes[shift-plan].urgent: true -> false"));
  t.ok(lines.includes('+ teams[dispatch].name: "dispatch"'));
  t.ok(lines.includes("- teams[quality-lab].acceleratorQuota: 88"));
  t.notMatch(lines.join(), /version/);
  t.notMatch(lines.join(), /\n/);
  t.end();
});
