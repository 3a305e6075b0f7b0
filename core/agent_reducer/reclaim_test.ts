import { test } from "tap";
import {
  connectedAgent,
  kinds,
  messagesOfKind,
  reserve,
  sentTo,
} from "./setup_for_tests.ts";
import type { Agent } from "./setup_for_tests.ts";

/** Reserves for entry e2; returns the refusal's reason or the answer's kind. */
const outcome = (agent: Agent, message: ReturnType<typeof reserve>) => {
  const last = agent.send(message, "e2").findLast((one) =>
    one.kind !== "report"
  );
  return last?.kind === "reserveRefused" ? last.reason : last?.kind;
};
const run = (job: string) => ({ job, epoch: 1 });

/** An agent whose accelerators 0 and 1 are home of `a`, 2 and 3 of `b`. */
function lent(): Agent {
  const agent = connectedAgent({ a: [0, 1], b: [2, 3] });
  agent.connect("e2");
  return agent;
}

// Guards against an owner that gets its home back too late or not at all.
test("the owner's reservation checkpoints and stops the borrower", (t) => {
  const agent = lent();
  agent.run(reserve("lease", [[0], [1]], { team: "b" }));
  const own = reserve("own", [[0]], { revocable: false });
  const effects = agent.deliver(own, "e2");
  const expected = "reclaimNotice checkpointTask checkpointTask reserving";
  t.equal(kinds(effects), expected);
  const [notice] = messagesOfKind(sentTo(effects), "reclaimNotice");
  t.match(notice, { by: "a", remaining: 2000 });
  t.match(messagesOfKind(sentTo(effects, "e2"), "reserving"), [{
    remaining: 2000,
  }]);
  t.equal(
    kinds(
      agent.event({
        kind: "taskCheckpointed",
        task: { run: run("lease"), member: 0 },
      }),
    ),
    "stopTask",
    "stopped as soon as its checkpoint is done",
  );
  t.equal(kinds(agent.advance(1999)), "");
  t.ok(kinds(agent.advance(1)).includes("stopTask"), "stopped after the grace");
  t.equal(kinds(agent.advance(1000)), "stopTask stopTask", "repeated");
  const freed = sentTo(agent.end(run("lease")), "e2");
  t.match(messagesOfKind(freed, "reserved"), [{ run: run("own") }]);
  t.end();
});

// Guards against capacity that is reclaimed from work with a right to it.
test("only owners and urgent work reclaim capacity", (t) => {
  const urgent = { urgent: true };
  const b = { team: "b" };
  const pinned = { revocable: false };
  const cases: [string, object, object, number, string][] = [
    ["owner from a borrower", { team: "b" }, {}, 0, "reserving"],
    ["owner from an urgent one", { ...b, ...urgent }, {}, 0, "reserving"],
    ["anyone from the owner", {}, { team: "b" }, 0, "no-capacity"],
    ["owner from its own work", {}, {}, 0, "no-capacity"],
    ["anyone on nobody's home", { team: "b" }, {}, 4, "no-capacity"],
    ["urgent from deferrable", { team: "b" }, { ...urgent }, 4, "reserving"],
    ["urgent from an owner", {}, { team: "b", ...urgent }, 0, "no-capacity"],
    ["urgent from its own team", {}, { ...urgent }, 0, "reserving"],
    ["urgent from urgent", urgent, { team: "b", ...urgent }, 4, "no-capacity"],
    ["urgent from non-revocable", pinned, urgent, 4, "no-capacity"],
  ];
  for (const [name, holder, claimant, accelerator, expected] of cases) {
    const agent = lent();
    agent.run(reserve("holder", [[accelerator]], holder));
    const message = reserve("claimant", [[accelerator]], claimant);
    t.equal(outcome(agent, message), expected, name);
  }
  t.end();
});

// Guards against urgent work that preempts a team on what may be its own home.
test("without homes or configuration work preempts only its own team", (t) => {
  const urgent = reserve("u", [[4]], { urgent: true });
  for (const missing of ["homes", "configuration"] as const) {
    const agent = lent();
    agent.run(reserve("other", [[4]], { team: "b" }));
    agent.run(reserve("same", [[5]], { team: "a" }));
    agent.core.state[missing] = undefined;
    t.equal(outcome(agent, urgent), "no-capacity", missing);
    const own = reserve("v", [[5]], { urgent: true });
    t.equal(outcome(agent, own), "reserving", "work of its own team");
  }
  t.end();
});

// Guards against two reservations that wait for the same accelerator.
test("a pending reservation excludes others from its accelerators", (t) => {
  const agent = lent();
  agent.run(reserve("lease", [[0]], { team: "b" }));
  t.equal(outcome(agent, reserve("own", [[0], [4]])), "reserving");
  t.equal(outcome(agent, reserve("more", [[0]])), "no-capacity");
  t.equal(outcome(agent, reserve("free", [[4]])), "no-capacity");
  t.equal(outcome(agent, reserve("own", [[0], [4]])), "reserving", "repeated");
  agent.advance(4000);
  t.equal(outcome(agent, reserve("later", [[4]])), "reserved", "lapsed");
  t.equal(outcome(agent, reserve("wait", [[0]])), "reserving", "stopping");
  t.end();
});

// Guards against a borrower's uncommitted reservation that delays the owner.
test("an uncommitted reservation of a borrower is dropped at once", (t) => {
  const agent = lent();
  agent.send(reserve("lease", [[0]], { team: "b" }));
  const effects = agent.deliver(reserve("own", [[0]]), "e2");
  t.equal(kinds(effects), "reclaimNotice runState reserved");
  t.end();
});

// Guards against an owner that cannot use its free accelerators since borrowers
// elsewhere on the worker hold the cores.
test("the owner of a whole home also reclaims cores and memory", (t) => {
  const agent = lent();
  const perMember = { accelerators: 1, cores: 15, memoryMiB: 64 };
  agent.run(reserve("old", [[4]], { team: "b", perMember }));
  agent.advance(10);
  agent.run(reserve("young", [[5]], { team: "b", perMember }));
  t.equal(outcome(agent, reserve("c", [[6]], { perMember })), "no-capacity");
  t.equal(outcome(agent, reserve("own", [[0]], { perMember })), "reserving");
  t.match(agent.core.state.members.map((one) => [one.run.job, one.state]), [
    ["old", "running"],
    ["young", "checkpointing"],
  ]);
  t.match(messagesOfKind(sentTo(agent.end(run("young")), "e2"), "reserved"), [
    {},
  ]);
  t.end();
});
