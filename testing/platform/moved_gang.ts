/**
 * A gang of two whose first run does not reach one agent, and whose second run
 * starts elsewhere, for tests of orders that arrive late.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Test } from "tap";
import { startPrograms } from "./mod.ts";
import { waitUntil } from "./wait.ts";

/** Time in ms in which programs start, or a lost run starts elsewhere. */
const STEP_TIMEOUT = 20_000;
/** Time in ms in which orders are sent, or are carried out. */
export const ORDER_TIME = 1000;
/** Accelerators of a worker; each task takes a whole worker. */
const WHOLE = 8;
const PATH = "/plans/000000000000cafe";
const GANG = {
  spec: "",
  steps: [{ count: 2, cpu: 1000, memMb: 1, gpu: WHOLE, gang: true }],
};
/** Log lines that are shown when a test fails. */
const SHOWN = /lost|placed|Start |Grant |Orders|Nothing|again/;

/** Returns the lines that hold all of the words. */
export function find(lines: string[], ...words: string[]): string[] {
  return lines.filter((line) => words.every((word) => line.includes(word)));
}

/** Polls until the condition holds; throws if it does not in time. */
export function until(what: string, condition: () => boolean): Promise<void> {
  return waitUntil(what, STEP_TIMEOUT, () => Promise.resolve(condition()));
}

/**
 * Starts an entry and three agents. The first two workers are the only ones
 * that have room for the gang. Its runs go on until they are stopped.
 */
export async function startMovedGang(t: Test) {
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
  t.teardown(() => {
    if (t.passing()) return;
    for (const { name, lines } of [entry, agent]) {
      const shown = lines.filter((line) => SHOWN.test(line));
      for (const line of shown) t.comment(`${name} ${line}`);
    }
  });
  workers[2]!.resize(WHOLE / 2);
  await until(
    "every agent has a leader and an answer of its worker",
    () => agents.every(({ lines }) => find(lines, "Grant begun.").length > 0),
  );
  await sleep(ORDER_TIME);

  return {
    entry,
    /** The agent that run 1 does not reach, and its worker. */
    agent,
    worker: workers[0]!,
    /** Tasks of which two runs were at work, with the later worker. */
    twice,
    /** Hands the gang in, holding the orders to the agent. */
    submit: async () => {
      agent.relays.links.hold("to-target");
      const { status } = await programs.call(entry, "POST", PATH, GANG);
      t.equal(status, 200);
      await until(
        "the other member of run 1 starts",
        () => workers[1]!.started.length === 1,
      );
    },
    /** Makes room on the third worker, and waits for run 2. */
    awaitMove: async () => {
      workers[2]!.resize(WHOLE);
      await until(
        "run 2 starts elsewhere",
        () =>
          workers[1]!.started.length === 2 && workers[2]!.started.length === 1,
      );
      t.same(workers[0]!.started, [], "the start was held");
    },
    /** Checks that the start was held and then not carried out. */
    check: async (reason: string) => {
      await sleep(ORDER_TIME);
      const lost = find(entry.lines, "Run lost.", `"run":1`, reason);
      t.equal(lost.length, 1, "the leader had sent the start");
      const ignored = find(agent.lines, "Orders ignored.", ".0.0.").length;
      t.ok(ignored > 0, "the start has arrived");
      t.same(workers[0]!.started, [], "the start is not carried out");
      t.same(twice, [], "no task has two runs at once");
    },
  };
}
