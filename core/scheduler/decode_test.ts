import fc from "fast-check";
import { test } from "tap";
import { decodeOrders, decodeReport } from "./decode.ts";
import type { AgentOrders, AgentReport } from "./messages.ts";

const report: AgentReport = {
  kind: "report",
  sentAt: 1,
  holder: "a i-1@1",
  leaseLeft: 1,
  openStarts: [{ task: "a.0.0.0", run: 1 }],
  worker: {
    key: "i-1@1",
    born: 1,
    service: "service",
    rack: "r1-1",
    labels: ["a"],
    millicores: 1,
    megabytes: 1,
    accelerators: 1,
    draining: false,
    remaining: 0,
    reachable: true,
  },
  listed: true,
  running: [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 0 }],
  ended: [
    { number: 1, task: "a.0.0.1", run: 1, ending: "done", checkpoint: "" },
  ],
  refused: [{ task: "a.0.0.2", run: 1, reason: "room" }],
  absent: [{ task: "a.0.0.3", run: 1 }],
  vacant: false,
  emptied: ["i-0@1"],
  listClock: 1,
  rate: { mean: 0.1, variance: 0.1 },
};
const orders: AgentOrders = {
  kind: "orders",
  epoch: 1,
  answersReport: 1,
  fence: { holder: "a i-1@1", number: 1 },
  worker: "i-1@1",
  starts: [{ task: "a.0.0.0", run: 1, spec: "", checkpoint: "" }],
  stops: [{ task: "a.0.0.1", run: 1 }],
  acknowledged: 1,
  rate: { mean: 0.1, variance: 0.1 },
};

/** Paths to all values in the message, such as ["ended", 0, "number"]. */
function pathsOf(
  value: unknown,
  path: (string | number)[] = [],
): typeof path[] {
  if (typeof value !== "object" || value === null) return [path];
  const inner = Object.entries(value).flatMap(([name, each]) =>
    pathsOf(each, [...path, name])
  );
  return path.length === 0 ? inner : [path, ...inner];
}

/** A copy of the message with another value at the path. */
function replaceAt<T>(
  message: T,
  path: (string | number)[],
  value: unknown,
): T {
  const copy = structuredClone(message);
  let target = copy as Record<string | number, unknown>;
  for (const name of path.slice(0, -1)) {
    target = target[name] as typeof target;
  }
  target[path.at(-1)!] = value;
  return copy;
}

// Guards against a stranger's message that ends a leader or an agent.
test("no value of another shape passes as a message", (t) => {
  fc.assert(fc.property(fc.anything(), (value) => {
    return decodeReport(value) === undefined &&
      decodeOrders(value) === undefined;
  }));
  t.end();
});

// Guards against a message with one malformed field that reaches a reducer.
test("a message with one malformed field is refused whole", (t) => {
  const wrong = [null, Number.NaN, () => {}];
  for (const path of pathsOf(report)) {
    for (const value of wrong) {
      const message = replaceAt(report, path, value);
      t.equal(decodeReport(message), undefined, path.join("."));
    }
  }
  for (const path of pathsOf(orders)) {
    t.equal(decodeOrders(replaceAt(orders, path, null)), undefined);
  }
  t.end();
});

// Guards against a decoder that refuses what the other side sends.
test("whole messages pass, also with further fields", (t) => {
  t.same(decodeReport(report), report);
  t.same(decodeOrders(orders), orders);
  t.ok(decodeReport({ ...report, worker: undefined, added: 1 }));
  t.end();
});

// Guards against an agent that follows no leader any more after one message
// with a number too large.
test("numbers that no process sends are refused", (t) => {
  for (const number of [1e300, 2 ** 60, -1, 1.5, Infinity, NaN]) {
    for (const path of [["epoch"], ["acknowledged"], ["starts", 0, "run"]]) {
      t.notOk(decodeOrders(replaceAt(orders, path, number)), `${path}`);
    }
    for (const path of [["worker", "born"], ["ended", 0, "number"]]) {
      t.notOk(decodeReport(replaceAt(report, path, number)), `${path}`);
    }
  }
  t.notOk(decodeReport(replaceAt(report, ["worker", "accelerators"], 1e300)));
  t.ok(decodeReport(report) && decodeOrders(orders));
  t.end();
});
