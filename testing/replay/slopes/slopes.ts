/**
 * Slopes of messages, events and state: bytes, processor time and memory.
 *
 * @module
 */

import { createAgentLoad } from "./agent_load.ts";
import { createEntryLoad } from "./entry_load.ts";
import type { EntryLoad } from "./entry_load.ts";
import {
  createAttempt,
  createHeartbeat,
  createReport,
  frameSize,
} from "./messages.ts";
import { measureSlope } from "./slope.ts";
import type { Slope } from "./slope.ts";
import { memoryOf, timeOf } from "./timing.ts";

const WORKERS = [11, 100, 860];
const TASKS = [0, 4000, 13_000];
const MEMBERS = [1, 8, 16, 64];
const TASKS_PER_WORKER = 15;
/** Calls in each batch whose time is taken. */
const CALLS = 2000;

/** Bytes of frames, which do not vary by machine. */
export function measureBytes(): Slope[] {
  return [
    measureSlope({
      name: "heartbeat",
      unit: "B",
      over: "members",
      sizes: MEMBERS,
      measure: () => frameSize(createHeartbeat()),
    }),
    measureSlope({
      name: "report",
      unit: "B",
      over: "members",
      sizes: MEMBERS,
      measure: (count) => frameSize(createReport(1, count)),
    }),
    measureSlope({
      name: "attempt",
      unit: "B",
      over: "body bytes",
      sizes: [0, 1000, 10_000, 60_000],
      measure: (bytes) =>
        frameSize(createAttempt("01JG0000010000000001", bytes)),
    }),
  ];
}

/** Processor time of events of an entry. */
export function measureEntryTimes(seed: number): Slope[] {
  const byWorkers = (name: string, measure: Measurement) =>
    measureSlope({
      name,
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => {
        const tasks = workers * TASKS_PER_WORKER;
        return measure(createEntryLoad({ workers, tasks, seed }));
      },
    });
  const byTasks = (name: string, measure: Measurement) =>
    measureSlope({
      name,
      unit: "us",
      over: "tasks",
      sizes: TASKS,
      measure: (tasks) =>
        measure(createEntryLoad({ workers: 860, tasks, seed })),
    });
  return [
    byWorkers("entry report", timeReports),
    byWorkers("entry request, whole", timeRequests),
    byWorkers("entry tick", timeTicks),
    byTasks("entry report", timeReports),
    byTasks("entry request, whole", timeRequests),
    byTasks("entry tick", timeTicks),
  ];
}

/** Measures one quantity on an entry. */
type Measurement = (load: EntryLoad) => number;

const timeReports: Measurement = (load) =>
  timeOf(CALLS, (index) => load.report(index % load.workers));
const timeRequests: Measurement = (load) => timeOf(CALLS, () => load.request());
const timeTicks: Measurement = (load) => timeOf(CALLS, () => load.tick());

/** Processor time of events of an agent. */
export function measureAgentTimes(): Slope[] {
  const load = (members: number) => createAgentLoad({ members });
  return [
    measureSlope({
      name: "agent tick",
      unit: "us",
      over: "members",
      sizes: MEMBERS,
      measure: (members) => {
        const agent = load(members);
        return timeOf(CALLS, () => agent.tick());
      },
    }),
    measureSlope({
      name: "agent request, whole",
      unit: "us",
      over: "members",
      sizes: MEMBERS,
      measure: (members) => {
        const agent = load(members);
        return timeOf(CALLS, () => agent.request());
      },
    }),
    measureSlope({
      name: "agent renewal",
      unit: "us",
      over: "members",
      sizes: MEMBERS,
      measure: (members) => {
        const agent = load(members);
        return timeOf(CALLS, () => agent.renew());
      },
    }),
  ];
}

/** Heap of the state of an entry. */
export function measureMemory(seed: number): Slope[] {
  return [
    measureSlope({
      name: "entry state",
      unit: "B",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) =>
        memoryOf(() => createEntryLoad({ workers, tasks: 0, seed })),
    }),
    measureSlope({
      name: "entry state",
      unit: "B",
      over: "tasks",
      sizes: TASKS,
      measure: (tasks) =>
        memoryOf(() => createEntryLoad({ workers: 860, tasks, seed })),
    }),
    measureSlope({
      name: "entry state",
      unit: "B",
      over: "requests",
      sizes: [200, 800, 1900],
      measure: (requests) =>
        memoryOf(() => {
          const load = createEntryLoad({ workers: 11, tasks: 0, seed });
          load.open(requests);
          return load;
        }),
    }),
  ];
}
