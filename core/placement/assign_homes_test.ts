import { test } from "tap";
import fc from "fast-check";
import type { Configuration, Shape } from "@dragonflyledge/model";
import { assignHomes } from "./assign_homes.ts";
import { isAlignedBlock } from "./find_block.ts";
import { buildInventories } from "./testing.ts";

function buildConfiguration(teams: Record<string, Shape[]>): Configuration {
  return {
    version: 1,
    classes: [],
    services: [],
    teams: Object.entries(teams).map(([name, guarantees]) => ({
      name,
      guarantees,
      tokenDigests: [],
      acceleratorQuota: 1000,
      weight: 1,
    })),
  };
}

const buildShape = (
  accelerators: number,
  count: number,
  adjacency: Shape["adjacency"] = "worker",
): Shape => ({ accelerators, count, adjacency });

// Guards against homes of one team that are all in one failure domain, whose
// loss would take all its guarantees at once.
test("homes of a team are spread over failure domains", (t) => {
  const inventories = buildInventories(9);
  const configuration = buildConfiguration({ a: [buildShape(4, 3)] });
  const { homes } = assignHomes({ configuration, inventories, version: 1 });
  const domains = homes.map((home) =>
    inventories.find((one) => one.worker === home.parts[0]?.worker)?.location
      .failureDomain
  );
  t.equal(new Set(domains).size, 3);
  t.end();
});

// Guards against a shape larger than a worker whose home is spread over several
// racks or takes parts of workers.
test("a shape larger than a worker gets whole workers of one rack", (t) => {
  const inventories = buildInventories(9);
  const configuration = buildConfiguration({
    a: [buildShape(1, 1), buildShape(24, 1, "rack")],
  });
  const { homes, unplaced } = assignHomes({
    configuration,
    inventories,
    version: 1,
  });
  const large = homes.find((home) => home.shape === 1);
  const racks = large?.parts.map((part) =>
    inventories.find((one) => one.worker === part.worker)?.location.rack
  );
  t.same(unplaced, []);
  t.equal(new Set(racks).size, 1);
  t.same(large?.parts.map((part) => part.accelerators.length), [8, 8, 8]);
  t.end();
});

// Guards against a shape that gets no home because valid smaller homes keep half
// of each worker.
test("smaller homes move if a large shape gets no home otherwise", (t) => {
  const inventories = buildInventories(2, 1);
  const small = buildConfiguration({ a: [buildShape(4, 2)] });
  const former = assignHomes({ configuration: small, inventories, version: 1 });
  former.homes.forEach((home, index) => {
    home.parts = [{ worker: `w00${index}`, accelerators: [0, 1, 2, 3] }];
  });
  const { unplaced } = assignHomes({
    configuration: buildConfiguration({
      a: [buildShape(4, 2)],
      b: [buildShape(8, 1)],
    }),
    inventories,
    previous: former,
    version: 2,
  });
  t.same(unplaced, []);
  t.end();
});

// Guards against homes that overlap, are not aligned, have the wrong size or use
// a lost worker, shapes that are missing from the table, tables that depend on
// the order of the workers, and moves of homes that are still valid.
test("tables are valid, deterministic and stable (seed 11)", (t) => {
  const sizes = fc.constantFrom(1, 2, 3, 4, 8, 16);
  const adjacency = fc.constantFrom("worker", "rack", "any") as fc.Arbitrary<
    Shape["adjacency"]
  >;
  const guarantee = fc.record({
    accelerators: sizes,
    count: fc.nat(4),
    adjacency,
  });
  const teams = fc.dictionary(
    fc.constantFrom("a", "b", "c"),
    fc.array(guarantee, { maxLength: 3 }),
  );
  fc.assert(
    fc.property(teams, fc.nat(17), (shapes, gone) => {
      const configuration = buildConfiguration(shapes);
      const inventories = buildInventories(18);
      const first = assignHomes({ configuration, inventories, version: 1 });
      const again = assignHomes({
        configuration,
        inventories: [...inventories].reverse(),
        previous: first,
        version: 2,
      });
      if (first.unplaced.length === 0) t.same(again.homes, first.homes);
      const third = assignHomes({
        configuration,
        inventories,
        previous: again,
        version: 3,
      });
      t.same(third.homes, again.homes, "homes stay if nothing has changed");
      const left = inventories.filter((_, index) => index !== gone);
      const last = assignHomes({
        configuration,
        inventories: left,
        previous: first,
        version: 3,
      });
      const count = Object.values(shapes).flat().reduce(
        (sum, one) => sum + one.count,
        0,
      );
      const taken = new Set<string>();
      for (const home of last.homes) {
        const wanted = shapes[home.team]?.[home.shape];
        let size = 0;
        for (const part of home.parts) {
          size += part.accelerators.length;
          const known = left.some((one) => one.worker === part.worker);
          if (!known) throw new Error(`home on lost worker ${part.worker}`);
          for (const index of part.accelerators) {
            const key = `${part.worker}/${index}`;
            if (taken.has(key)) throw new Error(`${key} has two owners`);
            taken.add(key);
          }
          const aligned = isAlignedBlock(part.accelerators);
          if (wanted?.adjacency === "worker" && !aligned) {
            throw new Error("home is not an aligned block");
          }
        }
        if (size !== wanted?.accelerators) throw new Error("wrong size");
      }
      if (last.homes.length + last.unplaced.length !== count) {
        throw new Error("a shape is missing from the table");
      }
    }),
    { seed: 11, numRuns: 200 },
  );
  t.end();
});

// Guards against an assignment that leaves shapes without homes at the target
// size of a cluster.
test("all shapes of 35 teams get homes on 860 workers", (t) => {
  const inventories = buildInventories(860, 4, 2);
  const teams = Object.fromEntries(
    Array.from({ length: 35 }, (_, index) => [
      `t${index}`,
      [
        buildShape(1, 10),
        buildShape(2, 8),
        buildShape(4, 2, "rack"),
        buildShape(6, 1, "rack"),
      ],
    ]),
  );
  const table = assignHomes({
    configuration: buildConfiguration(teams),
    inventories,
    version: 1,
  });
  t.same(table.unplaced, []);
  t.equal(table.homes.length, 35 * 21);
  t.end();
});
