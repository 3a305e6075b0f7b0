import fc from "fast-check";
import { test } from "tap";
import { createIndexedHeap } from "./indexed_heap.ts";
import { createRequestQueue, type QueuedRequest } from "./request_queue.ts";

const item = (id: string, team = "a", deadline = 100): QueuedRequest => ({
  id,
  service: "s",
  team,
  class: "c",
  deadline,
});
const terms = { urgent: false, weight: 1, limit: 1000 };

/**
 * Takes `count` requests from the queue, each with an estimated run time of 10
 * and the observed one that `cost` returns, and returns the requests.
 */
function serve(
  queue: ReturnType<typeof createRequestQueue>,
  count: number,
  cost = () => 10,
) {
  return Array.from({ length: count }, () => {
    const next = queue.next("s", () => true)!;
    queue.adjustCharge(queue.take(next, 10), cost());
    return next;
  });
}

// Guards against a heap that loses its order when other items than the first
// are removed.
test("the heap agrees with sorting under removals", (t) => {
  const seed = 5;
  t.comment(`seed ${seed}`);
  fc.assert(
    fc.property(
      fc.array(fc.record({ at: fc.nat(50), drop: fc.boolean() })),
      (items) => {
        const heap = createIndexedHeap<typeof items[0]>({
          before: (left, right) => left.at < right.at,
        });
        items.forEach((each) => heap.push(each));
        items.filter((each) => each.drop).forEach((each) => heap.remove(each));
        const left = items.filter((each) => !each.drop).map((each) => each.at);
        const out: number[] = [];
        for (let top = heap.peek(); top; top = heap.peek()) {
          out.push(top.at);
          heap.remove(top);
        }
        return out.join() === left.sort((a, b) => a - b).join();
      },
    ),
    { seed, numRuns: 300 },
  );
  t.end();
});

// Guards against deferrable work that is served before urgent work, and
// against a team's work with a late deadline before that with an early one.
test("urgent work is first, then the earliest deadline of a team", (t) => {
  const queue = createRequestQueue();
  queue.push(item("late", "a", 300), terms);
  queue.push(item("early", "a", 200), terms);
  queue.push(item("urgent", "a", 900), { ...terms, urgent: true });
  const order = serve(queue, 3).map((each) => each.id);
  t.same(order, ["urgent", "early", "late"]);
  t.end();
});

// Guards against a burst of one team that delays the work of others.
test("teams are served by weight, whatever the length of their queues", (t) => {
  const queue = createRequestQueue();
  for (let n = 0; n < 300; n++) queue.push(item(`a${n}`, "a"), terms);
  for (let n = 0; n < 60; n++) {
    queue.push(item(`b${n}`, "b"), { ...terms, weight: 2 });
  }
  const teams = serve(queue, 60).map((each) => each.team);
  const share = teams.filter((team) => team === "b").length;
  t.ok(share >= 39 && share <= 41, `${share} of 60 for twice the weight`);
  t.end();
});

// Guards against a team that gets more than its share because its work runs
// longer than estimated.
test("shares count observed run time", (t) => {
  const queue = createRequestQueue();
  for (let n = 0; n < 100; n++) {
    queue.push(item(`a${n}`, "a"), terms);
    queue.push(item(`b${n}`, "b"), terms);
  }
  const count = { a: 0, b: 0 };
  for (let n = 0; n < 80; n++) {
    const next = queue.next("s", () => true)!;
    count[next.team as "a" | "b"]++;
    queue.adjustCharge(queue.take(next, 10), next.team === "a" ? 30 : 10);
  }
  t.ok(Math.abs(count.b - 3 * count.a) <= 4, JSON.stringify(count));
  t.end();
});

// Guards against one very long run that keeps its team from service for as
// long.
test("only 30 s of earlier run time count against a team that was idle", (t) => {
  const queue = createRequestQueue();
  queue.push(item("a0", "a"), terms);
  serve(queue, 1, () => 3_600_000);
  queue.push(item("a1", "a"), terms);
  for (let n = 0; n < 40; n++) queue.push(item(`b${n}`, "b"), terms);
  const teams = serve(queue, 32, () => 1000).map((each) => each.team);
  t.ok(teams.includes("a"));
  t.end();
});

// Guards against unlimited queues, and against cancelled or expired requests
// that stay queued.
test("queues are limited, and cancelled and expired requests are removed", (t) => {
  const queue = createRequestQueue();
  const first = item("1", "a", 10);
  t.ok(queue.push(first, { ...terms, limit: 2 }));
  t.ok(queue.push(item("2", "a", 20), { ...terms, limit: 2 }));
  t.notOk(queue.push(item("3"), { ...terms, limit: 2 }));
  t.ok(queue.push(item("4", "b"), { ...terms, limit: 2 }));
  t.ok(queue.remove(first));
  t.notOk(queue.remove(first));
  t.same(queue.expire(20).map((each) => each.id), ["2"]);
  t.equal(queue.size, 1);
  t.equal(queue.sizeOf("a", "c"), 0);
  t.end();
});

// Guards against a class at its slot limit that blocks the work behind it.
test("a request that is not admissible does not block the next", (t) => {
  const queue = createRequestQueue();
  queue.push(item("1", "a"), terms);
  queue.push(item("2", "b"), terms);
  t.equal(queue.next("s", (each) => each.team === "b")?.id, "2");
  t.end();
});

// Guards against requests that are refused because of another team's burst.
test("the number ahead of a request follows its team's share", (t) => {
  const queue = createRequestQueue();
  for (let n = 0; n < 100; n++) queue.push(item(`a${n}`, "a"), terms);
  const own = queue.countAhead(item("new", "a", 200), terms);
  const other = queue.countAhead(item("new", "b", 200), terms);
  t.equal(own, 100);
  t.equal(other, 1);
  t.end();
});
