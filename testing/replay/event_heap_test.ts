import fc from "fast-check";
import { test } from "tap";
import { createEventHeap } from "./event_heap.ts";

const seed = 4711;

// Guards against tasks that run out of order, which would break determinism.
test("tasks run by time, equal times in the order of insertion", (t) => {
  t.comment(`seed ${seed}`);
  fc.assert(
    fc.property(fc.array(fc.nat(20)), (times) => {
      const heap = createEventHeap();
      const seen: [number, number][] = [];
      times.forEach((time, index) =>
        heap.at(time, () => seen.push([heap.now, index]))
      );
      heap.run(100);
      const expected = times.map((time, index): [number, number] => [
        time,
        index,
      ]).sort((a, b) => a[0] - b[0] || a[1] - b[1]);
      t.same(seen, expected);
    }),
    { seed },
  );
  t.end();
});

// Guards against a task that runs before its time or in the past.
test("a run stops at its time and never goes back", (t) => {
  const heap = createEventHeap();
  let ran = 0;
  heap.after(10, () => heap.at(5, () => ran = heap.now));
  heap.run(9);
  t.equal(heap.now, 9);
  heap.run(30);
  t.equal(ran, 10);
  t.equal(heap.now, 30);
  t.end();
});
