import { test } from "tap";
import { chooseVictims } from "./choose_victims.ts";
import { measureFragmentation } from "./fragmentation.ts";
import { buildHeldMember, buildInventories, buildViews } from "./testing.ts";

// Guards against a measure that counts free accelerators as usable although they
// are scattered and form no aligned block.
test("scattered free accelerators lower the measure", (t) => {
  const views = buildViews(buildInventories(2), {
    w000: [buildHeldMember("j1", "b", [0, 1, 4, 5])],
    w001: [buildHeldMember("j2", "b", [0, 1, 2, 3], { revocable: false })],
  });
  const homes = {
    version: 1,
    configurationVersion: 1,
    homes: ["w000", "w001"].map((worker, instance) => ({
      team: "a",
      shape: 0,
      instance,
      parts: [{ worker, accelerators: [0, 1] }],
    })),
    unplaced: [],
  };
  t.same(
    measureFragmentation({ workers: views, homes, memberAccelerators: 4 }),
    {
      largestGang: 0.5,
      placeableGuarantees: 0.5,
    },
  );
  t.end();
});

// Guards against stopping two gangs where stopping one of them frees enough.
test("a gang that has to be stopped anyway is chosen again", (t) => {
  const run = (job: string) => ({ job, epoch: 1 });
  const options = [
    { victims: [run("a")], rank: 0 },
    { victims: [run("b")], rank: 1 },
    { victims: [run("a")], rank: 2 },
  ];
  const { chosen, victims } = chooseVictims({
    needed: 2,
    options,
    lostWork: () => 10,
  });
  t.same(chosen.map((option) => option.rank), [0, 2]);
  t.same(victims, [run("a")]);
  t.end();
});
