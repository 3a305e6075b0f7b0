import { test } from "tap";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { createRandom } from "@dragonflyledge/model";
import { createGuardedRecords } from "./guarded_records.ts";

// Guards against an entry that cannot stop while the store does not answer. On
// a busy machine a process once took more than 15 s to stop.
test("closing takes at most 3 s while the store does not answer", async (t) => {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const records = createGuardedRecords({
    store,
    closeStore: () => Promise.resolve(),
    prefix: "/test/",
    id: "e1",
    incarnation: 1,
    address: "127.0.0.1:1",
    httpAddress: "127.0.0.1:2",
    clock,
    timer: clock,
    random: createRandom(1),
    observer: { log: () => {}, count: () => {} },
  });
  records.follow({
    onConfiguration: () => {},
    onHomes: () => {},
    onEntries: () => {},
    onLease: () => {},
  });
  await clock.run(1000);
  store.faults.hang = true;
  records.appendAudit({
    kind: "drain",
    team: "",
    worker: "w1",
    job: "",
    reason: "test",
    actor: "e1",
    detail: {},
  });
  let closed = false;
  void records.close().then(() => closed = true);
  await clock.run(3000);
  t.ok(closed);
});
