import { test } from "tap";
import { deploymentOf } from "../deployment.ts";
import { outcomeOf } from "../measure/measures.ts";
import type { Execution, RunRecord } from "../record.ts";
import { readTrace } from "../trace/trace.ts";
import { createPolicies, replayBaseline } from "./mod.ts";

const { trace } = readTrace("sahil_surge");

function replay(policyIndex: number): RunRecord {
  return replayBaseline({ trace, policy: createPolicies()[policyIndex]! });
}

/** Counts the executions that ran at the same time, at most. */
function countMostAtOnce(executions: Execution[]): number {
  const changes = executions
    .flatMap((each) => [[each.start, 1], [each.end, -1]] as const)
    .sort((left, right) => left[0] - right[0] || left[1] - right[1]);
  let running = 0;
  let most = 0;
  for (const [, change] of changes) {
    running += change;
    most = Math.max(most, running);
  }
  return most;
}

// Guards against a baseline with more capacity than the system it is
// compared to, and against one that loses requests.
test("baselines use no more than the slots and answer every request", (t) => {
  const { inventories } = deploymentOf(trace.deployment);
  createPolicies().forEach(({ name }, index) => {
    const requests = [...replay(index).requests.values()];
    t.same(requests.filter((each) => outcomeOf(each) === "open"), [], name);
    for (const { worker, slots } of inventories) {
      const executions = requests.flatMap((each) => each.executions)
        .filter((each) => each.worker === worker);
      t.ok(countMostAtOnce(executions) <= slots, `${name} on ${worker}`);
    }
  });
  t.end();
});

// Guards against a first-fit baseline that starts requests out of order.
test("first fit starts requests in the order of their arrival", (t) => {
  const started = [...replay(0).requests.values()]
    .filter((each) => each.executions.length > 0)
    .map((each) => each.executions[0]!.start);
  // Requests of the same instant may start in the other order, since they
  // travel to different servers.
  const swapped = started.filter((start, index) =>
    index > 0 && start < started[index - 1]! - 1
  );
  t.same(swapped, []);
  t.end();
});

// Guards against a session policy that moves a client to another server
// during its session.
test("the requests of a session go to one server", (t) => {
  const index = createPolicies().findIndex((each) => each.name === "session");
  const used = new Map<number, { worker: string; at: number }>();
  for (const request of replay(index).requests.values()) {
    const worker = request.executions[0]?.worker;
    if (worker === undefined) continue;
    const last = used.get(request.client);
    if (last && request.sentAt - last.at < 9_000) {
      t.equal(worker, last.worker);
    }
    used.set(request.client, { worker, at: request.sentAt });
  }
  t.end();
});
