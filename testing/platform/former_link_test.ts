import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { startPrograms } from "./mod.ts";
import { waitUntil } from "./wait.ts";

const START_TIMEOUT = 20_000;
/** Time in ms in which a lost agent's runs start elsewhere. */
const LOSS_TIMEOUT = 20_000;
/** Time in ms in which orders are sent, or are carried out. */
const ORDER_TIME = 1000;
/** Accelerators of a worker; each task takes a whole worker. */
const WHOLE = 8;
const JOB = "000000000000cafe";
const gang = {
  spec: "",
  steps: [{ count: 2, cpu: 1000, memMb: 1, gpu: WHOLE, gang: true }],
};

// Guards against a task that runs twice: the leader gave a silent agent up and
// started the gang elsewhere, and the agent's former link delivers the first
// start after the new link has renewed the grant.
test("a start that a former link delivers starts nothing twice", async (t) => {
  const present = new Map<string, Set<number>>();
  const twice: string[] = [];
  const programs = await startPrograms({
    entries: 1,
    agents: 3,
    duration: 0,
    observer: {
      accelerators: () => WHOLE,
      endingAt: () => undefined,
      started: ({ worker, run: { task, run } }) => {
        const runs = present.get(task) ?? new Set();
        present.set(task, runs.add(run));
        if (runs.size > 1) twice.push(`${task} ${[...runs]} on ${worker}`);
      },
      ended: ({ run: { task, run } }) => present.get(task)?.delete(run),
      acknowledged: () => {},
    },
  });
  t.teardown(() => programs.stop());
  const { agents, workers } = programs;
  const entry = programs.entries[0]!;
  const agent = agents[0]!;
  const { links } = agent.relays;
  const find = (lines: string[], ...words: string[]) =>
    lines.filter((line) => words.every((word) => line.includes(word)));
  const until = (what: string, limit: number, condition: () => boolean) =>
    waitUntil(what, limit, () => Promise.resolve(condition()));
  t.teardown(() => {
    if (t.passing()) return;
    const shown = /lost|placed|Start |Grant |Orders/;
    for (const { name, lines } of [entry, agent]) {
      for (const line of lines) {
        if (shown.test(line)) t.comment(`${name} ${line}`);
      }
    }
  });

  // Only the first two workers can hold run 1.
  workers[2]!.resize(WHOLE / 2);
  await until(
    "every agent has a leader and an answer of its worker",
    START_TIMEOUT,
    () => agents.every(({ lines }) => find(lines, "Grant begun.").length > 0),
  );
  await sleep(ORDER_TIME);
  links.hold("to-target");
  const { status } = await programs.call(entry, "POST", `/plans/${JOB}`, gang);
  t.equal(status, 200);
  await until(
    "the other member of run 1 starts",
    START_TIMEOUT,
    () => workers[1]!.started.length === 1,
  );
  links.hold("both");
  links.mute(true);
  workers[2]!.resize(WHOLE);
  await until(
    "run 2 starts elsewhere",
    LOSS_TIMEOUT,
    () => workers[1]!.started.length === 2 && workers[2]!.started.length === 1,
  );
  t.same(workers[0]!.started, [], "the start was held");

  const grants = find(agent.lines, "Grant begun.").length;
  links.mute(false);
  await until(
    "the new link renews the grant",
    START_TIMEOUT,
    () => find(agent.lines, "Grant begun.").length > grants,
  );
  links.release();
  await until(
    "the former link has delivered all",
    START_TIMEOUT,
    () => find(agent.lines, "connection ended.", '"link":1').length === 1,
  );
  await sleep(ORDER_TIME);
  const lost = find(entry.lines, "Run lost.", `"run":1`, "agent lost");
  t.equal(lost.length, 1, "the leader had sent the start");
  t.same(workers[0]!.started, [], "the start is not carried out");
  t.same(twice, [], "no task has two runs at once");
});
