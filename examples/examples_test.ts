import { readFileSync } from "node:fs";
import { test } from "tap";
import type { Configuration, Inventory } from "@dragonflyledge/model";
import { checkFit, formatProblem } from "@dragonflyledge/schema";
import { formatSettingsProblem, readSettings } from "@dragonflyledge/settings";
import { nyabugogo, sahil } from "./mod.ts";

const DEPLOYMENTS: [string, Configuration, number][] = [
  ["nyabugogo", nyabugogo, 3],
  ["sahil", sahil, 4],
];

/**
 * Returns the inventories of 11 workers in racks of three. The racks are spread
 * over this number of failure domains.
 */
function createInventories(domains: number): Inventory[] {
  return Array.from({ length: 11 }, (_, index) => {
    const rack = Math.floor(index / 3);
    return {
      worker: `worker-${index}`,
      location: {
        region: "r",
        failureDomain: `d${rack % domains}`,
        rack: `${rack}`,
      },
      capacity: { accelerators: 8, cores: 32, memoryMiB: 131072 },
      service: "any",
      slots: 8,
      connections: 64,
    };
  });
}

// Guards against example configurations that do not fit the workers, so that
// entries would refuse them.
test("configurations fit 11 workers, also after the loss of one", (t) => {
  for (const [name, configuration, domains] of DEPLOYMENTS) {
    const all = createInventories(domains);
    for (const inventories of [all, all.slice(1)]) {
      const problems = checkFit({ configuration, inventories });
      t.same(
        problems.isErr() && problems.error.map(formatProblem),
        false,
        name,
      );
    }
    t.equal(configuration.teams.length, 4);
  }
  t.end();
});

// Guards against example settings that the daemons would refuse, or that name a
// service that is not configured.
test("settings are accepted and offer a configured service", (t) => {
  const read = (file: string) =>
    readFileSync(new URL(`../${file}`, import.meta.url), "utf8");
  for (const [name, configuration] of DEPLOYMENTS) {
    for (const file of [`${name}/entry-1.ini`, `${name}/entry-2.ini`]) {
      const result = readSettings({ text: read(file), file, role: "entry" });
      t.ok(result.isOk(), file);
    }
    const file = `${name}/agent.ini`;
    const agent = readSettings({ text: read(file), file, role: "agent" });
    t.same(agent.isErr() && agent.error.map(formatSettingsProblem), false);
    const { service } = agent._unsafeUnwrap().endpoint;
    t.ok(configuration.services.some((each) => each.name === service));
  }
  t.end();
});
