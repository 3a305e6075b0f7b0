import { test } from "tap";
import fc from "fast-check";
import type { HomesTable, JobSpec } from "@dragonflyledge/model";
import { isAlignedBlock } from "./find_block.ts";
import { indexHomes } from "./index_homes.ts";
import { placeGang } from "./place_gang.ts";
import {
  buildHeldMember,
  buildInventories,
  buildSpec,
  buildViews,
} from "./testing.ts";
import type { HeldMember } from "./worker_view.ts";

const ALL_ACCELERATORS = [0, 1, 2, 3, 4, 5, 6, 7];

/**
 * Returns the index for homes of whole workers: `owners[i]` is the team of worker
 * i, or undefined for no home.
 */
function assignWholeWorkers(
  owners: (string | undefined)[],
  accelerators = ALL_ACCELERATORS,
) {
  const homes: HomesTable["homes"] = owners.flatMap((team, instance) => {
    if (team === undefined) return [];
    const parts = [{ worker: `w00${instance}`, accelerators }];
    return [{ team, shape: 0, instance, parts }];
  });
  const table = { version: 1, configurationVersion: 1, homes, unplaced: [] };
  return indexHomes({ homes: table });
}

/**
 * Places a gang on workers with these owners and held members. The loss of
 * stopping a job is the number in its id.
 */
function placeJob(
  spec: JobSpec,
  owners: (string | undefined)[],
  held: Record<string, HeldMember[]> = {},
  urgent = false,
) {
  return placeGang({
    spec,
    run: { job: "j", epoch: 1 },
    urgent,
    workers: buildViews(buildInventories(owners.length), held),
    homes: assignWholeWorkers(owners),
    lostWork: (run) => Number(run.job.slice(1)),
  });
}

const workersOf = (result: ReturnType<typeof placeJob>) =>
  result.map((plan) => plan.workers.map((one) => one.worker)).unwrapOr([]);

// Guards against borrowing from another team while accelerators of the own homes
// or without a home are free, and against borrowing for work that is not
// revocable.
test("own homes come first, then unassigned and then borrowed capacity", (t) => {
  const owners = ["b", undefined, "a"];
  const full = (team: string, revocable: boolean) =>
    buildHeldMember("1", team, ALL_ACCELERATORS, { revocable });
  const a = [full("a", false)];
  t.same(workersOf(placeJob(buildSpec(1, 8), owners)), ["w002"]);
  t.same(workersOf(placeJob(buildSpec(1, 8), owners, { w002: a })), ["w001"]);
  t.same(workersOf(placeJob(buildSpec(1, 8), owners, { w002: a, w001: a })), [
    "w000",
  ]);
  const fixed = buildSpec(1, 8, { revocable: false });
  const blocked = placeJob(fixed, owners, { w002: a, w001: a });
  t.equal(blocked._unsafeUnwrapErr().kind, "not-now");
  t.end();
});

// Guards against a team that waits while revocable work of other teams uses its
// home, and against stopping the gang with more lost work.
test("a home is reclaimed from the borrower with the least lost work", (t) => {
  const held = {
    w000: [buildHeldMember("j9", "b", ALL_ACCELERATORS)],
    w001: [buildHeldMember("j5", "b", ALL_ACCELERATORS)],
  };
  const plan = placeJob(buildSpec(1, 8), ["a", "a"], held)._unsafeUnwrap();
  t.same(plan.workers.map((one) => [one.worker, one.reclaims]), [
    ["w001", true],
  ]);
  t.same(plan.victims, [{ job: "j5", epoch: 1 }]);
  t.end();
});

// Guards against urgent work that waits for deferrable revocable work to end,
// against deferrable work that preempts, and against preemption in the homes of
// other teams.
test("only urgent work preempts deferrable revocable work", (t) => {
  const held = { w000: [buildHeldMember("j1", "b", ALL_ACCELERATORS)] };
  t.ok(placeJob(buildSpec(1, 8), [undefined], held, true).isOk());
  t.ok(placeJob(buildSpec(1, 8), [undefined], held, false).isErr());
  t.ok(placeJob(buildSpec(1, 8), ["b"], held, true).isErr());
  const own = { w000: [buildHeldMember("j1", "a", ALL_ACCELERATORS)] };
  t.ok(placeJob(buildSpec(1, 8), ["a"], own, true).isOk());
  t.ok(placeJob(buildSpec(1, 8), ["a"], own, false).isErr());
  t.end();
});

// Guards against small gangs that are put on idle workers or racks, which large
// gangs need whole.
test("small gangs are put on partly used workers and racks", (t) => {
  const held = { w004: [buildHeldMember("j1", "b", [0, 1, 2])] };
  const free = Array<undefined>(6).fill(undefined);
  const one = placeJob(buildSpec(1, 2), free, held)._unsafeUnwrap();
  t.same(one.workers, [{
    worker: "w004",
    members: [{ member: 0, accelerators: [4, 5] }],
    reclaims: false,
  }]);
  t.same(workersOf(placeJob(buildSpec(1, 8), free, held)), ["w003"]);
  t.end();
});

// Guards against refusing a gang that would fit later, and against keeping one
// that never fits in the queue.
test("a gang that never fits is told apart from one that does not fit now", (t) => {
  const owners = [undefined, undefined, undefined, undefined];
  const rack = buildSpec(4, 8, { adjacency: "rack" });
  t.equal(placeJob(rack, owners)._unsafeUnwrapErr().kind, "never");
  const many = buildSpec(1, 8, {
    perMember: { accelerators: 8, cores: 33, memoryMiB: 1 },
  });
  t.equal(placeJob(many, owners)._unsafeUnwrapErr().kind, "never");
  const held = {
    w000: [buildHeldMember("j1", "b", [0], { revocable: false })],
  };
  const error = placeJob(buildSpec(4, 8), owners, held)._unsafeUnwrapErr();
  t.match(error, { kind: "not-now", reason: /4 members.*3 of 4 fit now/ });
  t.end();
});

// Guards against plans that exceed the capacity of a worker, break the adjacency
// of the gang, or use accelerators that the gang must not use.
test("plans respect capacity, adjacency and ownership (seed 12)", (t) => {
  const member = fc.record({
    worker: fc.nat(5),
    index: fc.nat(7),
    revocable: fc.boolean(),
    urgent: fc.boolean(),
    team: fc.constantFrom("a", "b"),
  });
  const spec = fc.record({
    members: fc.integer({ min: 1, max: 6 }),
    accelerators: fc.constantFrom(0, 1, 2, 3, 4, 8),
    cores: fc.integer({ min: 1, max: 16 }),
    adjacency: fc.constantFrom("worker", "rack", "any"),
    revocable: fc.boolean(),
    urgent: fc.boolean(),
  });
  const owner = fc.constantFrom("a", "b", undefined);
  const owners = fc.array(owner, { minLength: 6, maxLength: 6 });
  let placed = 0;
  fc.assert(
    fc.property(spec, fc.array(member), owners, (wanted, members, teams) => {
      const held: Record<string, HeldMember[]> = {};
      members.forEach((one, index) => {
        const worker = `w00${one.worker}`;
        const list = held[worker] ??= [];
        if (list.some((other) => other.accelerators[0] === one.index)) return;
        list.push(buildHeldMember(`j${index}`, one.team, [one.index], one));
      });
      const full = buildSpec(wanted.members, wanted.accelerators, {
        adjacency: wanted.adjacency as JobSpec["adjacency"],
        revocable: wanted.revocable,
      });
      full.perMember.cores = wanted.cores;
      const result = placeJob(full, teams, held, wanted.urgent);
      if (result.isErr()) return;
      placed++;
      const racks = new Set<number>();
      let count = 0;
      for (const part of result.value.workers) {
        const index = Number(part.worker.slice(1));
        racks.add(Math.floor(index / 3));
        count += part.members.length;
        if (part.members.length * wanted.cores > 32) throw new Error("cores");
        for (const { accelerators } of part.members) {
          if (accelerators.length !== wanted.accelerators) {
            throw new Error("wrong number of accelerators");
          }
          const needsNoBlock = wanted.adjacency !== "worker" ||
            accelerators.length === 0;
          if (!needsNoBlock && !isAlignedBlock(accelerators)) {
            throw new Error("accelerators are not an aligned block");
          }
          for (const accelerator of accelerators) {
            const isForeign = teams[index] === "b";
            if (isForeign && !wanted.revocable) throw new Error("borrowing");
            const holder = held[part.worker]?.find((one) =>
              one.accelerators[0] === accelerator
            );
            if (holder === undefined) continue;
            if (isForeign || !holder.revocable) throw new Error("wrong victim");
          }
        }
      }
      if (wanted.adjacency === "rack" && racks.size > 1) {
        throw new Error("members in more than one rack");
      }
      if (count !== wanted.members) throw new Error("wrong number of members");
    }),
    { seed: 12, numRuns: 1000 },
  );
  t.ok(placed > 300, `placed ${placed}`);
  t.end();
});
