/**
 * All slopes: bytes, processor time and memory over sizes.
 *
 * @module
 */

import { createAgentLoad } from "./agent_load.ts";
import { createEntryLoad } from "./entry_load.ts";
import {
  createAttempt,
  createHeartbeat,
  createReport,
  frameSize,
} from "./messages.ts";
import { slope } from "./slope.ts";
import type { Slope } from "./slope.ts";
import { memoryOf, timeOf } from "./timing.ts";

const WORKERS = [11, 100, 860];
const TASKS = [0, 4000, 13_000];
const MEMBERS = [1, 8, 16, 64];
const TASKS_PER_WORKER = 15;
const CALLS = 2000;

/** Bytes of frames. They do not vary by machine. */
export function measureBytes(): Slope[] {
  return [
    slope(
      "heartbeat",
      "B",
      "members",
      MEMBERS,
      () => frameSize(createHeartbeat()),
    ),
    slope(
      "report",
      "B",
      "members",
      MEMBERS,
      (count) => frameSize(createReport(1, count)),
    ),
    slope(
      "attempt",
      "B",
      "body bytes",
      [0, 1000, 10_000, 60_000],
      (bytes) => frameSize(createAttempt("01JG0000010000000001", bytes)),
    ),
  ];
}

/** Processor time of events of an entry. */
export function measureEntryTimes(seed: number): Slope[] {
  const byWorkers = (name: string, run: Run) =>
    slope(name, "us", "workers", WORKERS, (workers) => {
      const tasks = workers * TASKS_PER_WORKER;
      return run(createEntryLoad({ workers, tasks, seed }));
    });
  const byTasks = (name: string, run: Run) =>
    slope(
      name,
      "us",
      "tasks",
      TASKS,
      (tasks) => run(createEntryLoad({ workers: 860, tasks, seed })),
    );
  return [
    byWorkers("entry report", timeReports),
    byWorkers("entry request, whole", timeRequests),
    byWorkers("entry tick", timeTicks),
    byTasks("entry report", timeReports),
    byTasks("entry request, whole", timeRequests),
    byTasks("entry tick", timeTicks),
  ];
}

type Load = ReturnType<typeof createEntryLoad>;
type Run = (load: Load) => number;

const timeReports: Run = (load) =>
  timeOf(CALLS, (index) => load.report(index % load.workers));
const timeRequests: Run = (load) => timeOf(CALLS, () => load.request());
const timeTicks: Run = (load) => timeOf(CALLS, () => load.tick());

/** Processor time of events of an agent. */
export function measureAgentTimes(): Slope[] {
  const load = (members: number) => createAgentLoad({ members });
  return [
    slope("agent tick", "us", "members", MEMBERS, (members) => {
      const agent = load(members);
      return timeOf(CALLS, () => agent.tick());
    }),
    slope("agent request, whole", "us", "members", MEMBERS, (members) => {
      const agent = load(members);
      return timeOf(CALLS, () => agent.request());
    }),
    slope("agent renewal", "us", "members", MEMBERS, (members) => {
      const agent = load(members);
      return timeOf(CALLS, () => agent.renew());
    }),
  ];
}

/** Heap of the state of an entry. */
export function measureMemory(seed: number): Slope[] {
  return [
    slope(
      "entry state",
      "B",
      "workers",
      WORKERS,
      (workers) => memoryOf(() => createEntryLoad({ workers, tasks: 0, seed })),
    ),
    slope(
      "entry state",
      "B",
      "tasks",
      TASKS,
      (tasks) => memoryOf(() => createEntryLoad({ workers: 860, tasks, seed })),
    ),
    slope(
      "entry state",
      "B",
      "requests",
      [200, 800, 1900],
      (requests) =>
        memoryOf(() => {
          const load = createEntryLoad({ workers: 11, tasks: 0, seed });
          load.open(requests);
          return load;
        }),
    ),
  ];
}
