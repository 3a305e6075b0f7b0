/**
 * Slopes from which `docs/CAPACITY.md` computes totals: stored values, homes,
 * placement, jobs and idle processes.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { EntryPresence, JobRecord, JobSpec } from "@dragonflyledge/model";
import { assignHomes, indexHomes, placeGang } from "@dragonflyledge/placement";
import type { WorkerView } from "@dragonflyledge/placement";
import { createAgentLoad } from "./agent_load.ts";
import { createEntryLoad } from "./entry_load.ts";
import { createJobLoad } from "./job_load.ts";
import { createMembers, frameSize } from "./messages.ts";
import { measureSlope } from "./slope.ts";
import type { Slope } from "./slope.ts";
import { createConfiguration, createInventories, SIZES } from "./target.ts";
import type { Size } from "./target.ts";
import { timeOf } from "./timing.ts";

const WORKERS = SIZES.map(({ workers }) => workers);
const MEMBERS = [1, 8, 15, 64];
const GANGS = [1, 8, 64];
const TEAMS = [2, 10, 35];
const TASKS_PER_WORKER = 15;
const ENTRY_TICKS_PER_SECOND = 100;
const AGENT_TICKS_PER_SECOND = 50;

const sizeOf = (workers: number): Size =>
  SIZES.find((size) => size.workers === workers)!;

/** Size of a stored value in bytes: JSON with the identity of the write. */
function storedSize(value: unknown): number {
  const write = "entry-1.1764831600000.123456";
  return Buffer.byteLength(JSON.stringify({ write, value }));
}

function createTable(size: Size) {
  const configuration = createConfiguration(size);
  const inventories = createInventories(size.workers);
  return assignHomes({ configuration, inventories, version: 60_000 });
}

/** Bytes of stored values and of the messages that carry them. */
export function measureRecords(): Slope[] {
  const tables = new Map(
    SIZES.map((size) => [size.workers, createTable(size)]),
  );
  const configuration = (teams: number) =>
    createConfiguration({ teams, workers: 860 });
  const table = (workers: number) => tables.get(workers)!;
  const run = { job: "01JG0000010000000001", epoch: 3 };
  return [
    measureSlope({
      name: "homes, stored",
      unit: "B",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => storedSize(table(workers)),
    }),
    measureSlope({
      name: "homes, frame",
      unit: "B",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => frameSize({ kind: "homes", homes: table(workers) }),
    }),
    measureSlope({
      name: "configuration, stored",
      unit: "B",
      over: "teams",
      sizes: TEAMS,
      measure: (teams) =>
        storedSize({
          configuration: configuration(teams),
          actor: "operator",
          submitted: "2026-01-01T00:00:00.000Z",
        }),
    }),
    measureSlope({
      name: "configuration, frame",
      unit: "B",
      over: "teams",
      sizes: TEAMS,
      measure: (teams) =>
        frameSize({
          kind: "configuration",
          configuration: configuration(teams),
        }),
    }),
    measureSlope({
      name: "job record, stored",
      unit: "B",
      over: "failed workers",
      sizes: [0, 1, 3],
      measure: (failures) => storedSize(createRecord(failures)),
    }),
    measureSlope({
      name: "presence, stored",
      unit: "B",
      over: "entries",
      sizes: [1, 3, 6],
      measure: (entries) =>
        entries * Buffer.byteLength(JSON.stringify(PRESENCE)),
    }),
    measureSlope({
      name: "renewal and answer",
      unit: "B",
      over: "members",
      sizes: MEMBERS,
      measure: (members) =>
        frameSize({ kind: "renew", run, lease: 10_000 }) +
        frameSize({
          kind: "runState",
          run,
          members: createMembers(1, members),
        }),
    }),
  ];
}

const PRESENCE: EntryPresence = {
  id: "entry-1",
  incarnation: 1_764_831_600_000,
  address: "10.100.100.100:7400",
  httpAddress: "10.100.100.100:8080",
};

function createRecord(failures: number): JobRecord {
  return {
    id: "0193a5a0-0000-7000-8000-000000000000",
    spec: createSpec(64),
    submitted: "2026-01-01T00:00:00.000Z",
    state: "succeeded",
    epoch: 1003,
    owner: "entry-1",
    ownerIncarnation: 1_764_831_600_000,
    failedOn: Array.from({ length: failures }, (_, i) => `worker-000${i}`),
    started: true,
  };
}

function createSpec(members: number): JobSpec {
  return {
    team: "team-000",
    class: "recipe-tuning",
    members,
    perMember: { accelerators: 1, cores: 2, memoryMiB: 4096 },
    adjacency: "any",
    revocable: true,
    idempotent: false,
    declaredRunTime: 3_600_000,
    command: "tune --recipe plantain --batch 64",
  };
}

/** Processor time in which an entry encodes homes and lists ended jobs. */
export function measureStoredValues(seed: number): Slope[] {
  const entryLoad = () => createEntryLoad({ workers: 11, tasks: 0, seed });
  return [
    measureSlope({
      name: "homes, encode",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => {
        const homes = createTable(sizeOf(workers));
        return timeOf(20, () => void frameSize({ kind: "homes", homes }));
      },
    }),
    measureSlope({
      name: "ended jobs, listing",
      unit: "us",
      over: "records",
      sizes: [100, 1000, 10_000],
      measure: (count) => {
        const { reducer } = entryLoad();
        const values = Array.from(
          { length: count },
          (_, index) =>
            JSON.stringify({ ...createRecord(0), id: `job-${index}` }),
        );
        return timeOf(2, () => {
          const jobs = values.map((value, index) => ({
            record: JSON.parse(value) as JobRecord,
            revision: index + 1,
          }));
          reducer.reduce({ kind: "jobsLoaded", now: 0, jobs });
        });
      },
    }),
  ];
}

/** Processor time of homes and of placements. */
export function measurePlacement(): Slope[] {
  const calls = (workers: number) => workers > 500 ? 3 : 20;
  const timeDomainLoss = (workers: number) => {
    const size = sizeOf(workers);
    const configuration = createConfiguration(size);
    const previous = createTable(size);
    const inventories = createInventories(workers)
      .filter(({ location }) => location.failureDomain !== "d1");
    return timeOf(calls(workers), () => {
      assignHomes({ configuration, inventories, previous, version: 2 });
    });
  };
  const timeAssignment = (again: boolean) => (workers: number) => {
    const size = sizeOf(workers);
    const configuration = createConfiguration(size);
    const inventories = createInventories(workers);
    const previous = again ? createTable(size) : undefined;
    return timeOf(calls(workers), () => {
      assignHomes({ configuration, inventories, previous, version: 2 });
    });
  };
  return [
    measureSlope({
      name: "homes, first",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: timeAssignment(false),
    }),
    measureSlope({
      name: "homes, again",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: timeAssignment(true),
    }),
    measureSlope({
      name: "homes, domain lost",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: timeDomainLoss,
    }),
    measureSlope({
      name: "placement of 64",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => {
        const homes = indexHomes({ homes: createTable(sizeOf(workers)) });
        const views = createInventories(workers).map(toView);
        const spec = createSpec(64);
        const run = { job: "01JG", epoch: 1 };
        return timeOf(calls(workers), () => {
          placeGang({ spec, run, urgent: false, workers: views, homes });
        });
      },
    }),
    measureSlope({
      name: "placement at 860",
      unit: "us",
      over: "members",
      sizes: GANGS,
      measure: (members) => {
        const homes = indexHomes({ homes: createTable(sizeOf(860)) });
        const workers = createInventories(860).map(toView);
        const spec = createSpec(members);
        const run = { job: "01JG", epoch: 1 };
        return timeOf(3, () => {
          placeGang({ spec, run, urgent: false, workers, homes });
        });
      },
    }),
  ];
}

function toView(inventory: ReturnType<typeof createInventories>[number]) {
  const view: WorkerView = {
    inventory,
    available: true,
    held: [],
    free: inventory.capacity,
  };
  return view;
}

/** Number of writes of the records of non-idempotent jobs. */
export function countJobWrites(seed: number): Slope {
  return measureSlope({
    name: "store, jobs",
    unit: "writes",
    over: "jobs",
    sizes: [1, 10, 50],
    measure: (jobs) => createJobLoad({ ...sizeOf(100), seed }).run(jobs),
  });
}

/** Number of writes of job records, and processor time of a whole job. */
export function measureJobs(seed: number): Slope[] {
  return [
    countJobWrites(seed),
    measureSlope({
      name: "entry job, whole",
      unit: "us",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => {
        const load = createJobLoad({ ...sizeOf(workers), seed });
        return timeOf(5, () => load.run(1));
      },
    }),
  ];
}

/** Processor time that idle processes spend on ticks in one second. */
export function measureIdle(seed: number): Slope[] {
  return [
    measureSlope({
      name: "entry idle, ticks",
      unit: "us/s",
      over: "workers",
      sizes: WORKERS,
      measure: (workers) => {
        const tasks = workers * TASKS_PER_WORKER;
        const load = createEntryLoad({ workers, tasks, seed });
        return ENTRY_TICKS_PER_SECOND * timeOf(1000, () => load.tick());
      },
    }),
    measureSlope({
      name: "agent idle, ticks",
      unit: "us/s",
      over: "members",
      sizes: MEMBERS,
      measure: (members) => {
        const load = createAgentLoad({ members });
        return AGENT_TICKS_PER_SECOND * timeOf(1000, () => load.tick());
      },
    }),
  ];
}
