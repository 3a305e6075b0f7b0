import { test } from "tap";
import { createManualClock } from "./manual_clock.ts";

// Guards against tasks that run out of order, or that see a time other than
// their due time.
test("tasks run in order, each at its due time", async (t) => {
  const clock = createManualClock();
  const seen: string[] = [];
  clock.after(20, () => seen.push(`late ${clock.now()}`));
  clock.after(10, () => {
    seen.push(`early ${clock.now()}`);
    clock.after(5, () => seen.push(`nested ${clock.now()}`));
  });
  clock.after(15, () => seen.push("cancelled"))();
  await clock.run(30);
  t.same(seen, ["early 10", "nested 15", "late 20"]);
  t.equal(clock.now(), 30);
  t.equal(clock.pending(), 0);
});
