import { test } from "tap";
import { createRandom } from "@dragonflyledge/model";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import type { JobRequest, Step } from "../job.ts";
import type { WorkerRates } from "../rates/rate_estimator.ts";
import { createTimedFleet } from "../timed_fleet_for_tests.ts";

const WORKERS = 40;
const WORKERS_PER_RACK = 10;
const STOP_DELAY = 300;
/** Longest time from the acceptance of guaranteed work until all of it runs. */
const RECLAIM_LIMIT = 2900;
const RATES = [0.6, 1, 1.6];
/** Spread of the tasks of one gang, and of the estimates. */
const TASK_SPREAD = 0.15;
const ESTIMATE_SPREAD = 0.2;
const OBJECTIVES = [
  { slackFactor: 1.5, targetRuntime: 252 },
  { slackFactor: 3, targetRuntime: 1000 },
];

/** Rates by the worker's index, known up to 5 %. */
function ratesOf(differ: boolean): WorkerRates {
  return {
    differ: () => differ,
    rateOf: (agent) => {
      const rate = RATES[Number(agent.split("-")[1]) % RATES.length]!;
      return { rate, low: rate * 0.95, high: rate * 1.05 };
    },
  };
}

/** Rates that say of each worker that it is as fast as the others. */
const EQUAL_RATES: WorkerRates = {
  differ: () => false,
  rateOf: () => ({ rate: 1, low: 1, high: 1 }),
};

function withObjective(job: JobRequest): JobRequest {
  const objective = OBJECTIVES[job.policy.priority];
  return { ...job, policy: { ...job.policy, ...objective } };
}

/** A fleet with those rates, and a record of what happened on it. */
function createRatedFleet(seed: number, rates?: WorkerRates) {
  const random = createRandom(seed);
  const normal = () => {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    return radius * Math.cos(2 * Math.PI * random());
  };
  const durations = new Map<string, number>();
  const accepted = new Map<string, number>();
  const took = new Map<string, number>();
  const begun = new Map<string, number[]>();
  const decisions: string[] = [];
  const fleet = createTimedFleet({
    workers: WORKERS,
    workersPerRack: WORKERS_PER_RACK,
    stopDelay: STOP_DELAY,
    planRun: ({ id }) => ({ duration: durations.get(id)!, ending: "done" }),
    runtimeOn: ({ duration, worker }) =>
      duration * Math.exp(TASK_SPREAD * normal()) /
      RATES[worker % RATES.length]!,
    ...(rates && { rates }),
    onBegun: (task, worker) => {
      const id = task.split(".")[0]!;
      begun.set(id, [...begun.get(id) ?? [], fleet.now() - accepted.get(id)!]);
      decisions.push(`${fleet.now()} ${task} ${worker}`);
    },
    onFinished: (id) => took.set(id, fleet.now() - accepted.get(id)!),
  });

  function submit(id: string, priority: number, fields: Partial<Step>): void {
    const duration = fields.estimate!;
    durations.set(id, duration);
    accepted.set(id, fleet.now());
    const estimate = duration * Math.exp(ESTIMATE_SPREAD * normal());
    const steps = [step({ ...fields, estimate })];
    const acceptedAt = fleet.now();
    fleet.submit(
      withObjective(
        request({ id, priority, steps, acceptedAt, team: "owner" }),
      ),
    );
  }

  /** Whether the job ended by its objective. */
  function isOnTime(id: string, priority: number): boolean {
    const { slackFactor, targetRuntime } = OBJECTIVES[priority]!;
    const limit = slackFactor * durations.get(id)! + targetRuntime;
    return (took.get(id) ?? Infinity) <= limit;
  }

  return { fleet, submit, isOnTime, begun, decisions };
}

/**
 * Fills the fleet with deferrable work, and sends a peak of urgent gangs, half
 * of which ask for one rack. Returns the fleet and the ids of the gangs.
 */
function playPeak(seed: number, rates?: WorkerRates) {
  const played = createRatedFleet(seed, rates);
  const { fleet, submit } = played;
  const random = createRandom(seed + 1000);
  const gangs: string[] = [];
  const sendGang = () => {
    const id = `gang-${gangs.length}`;
    gangs.push(id);
    submit(id, 0, {
      count: 3 + Math.floor(random() * 4),
      accelerators: [1, 2, 4][Math.floor(random() * 3)]!,
      estimate: 1500 + 1500 * random(),
      gang: true,
      sameRack: random() < 0.5,
    });
    if (fleet.now() < 10_000) fleet.after(300, sendGang);
  };
  fleet.guarantee(new Map([["owner", 8 * WORKERS]]));
  for (let index = 0; index < 8; index++) {
    fleet.after(1000 + 700 * index, () =>
      submit(`slack-${index}`, 1, {
        count: 35,
        estimate: 12_000,
        checkpointing: index % 2 === 0,
      }));
  }
  fleet.after(6000, sendGang);
  fleet.runUntil(40_000);
  return { ...played, gangs };
}

// Guards against urgent gangs that are late since one member runs on a slow
// worker, while work with ample slack occupies the fast ones.
test("urgent gangs of a peak are on time where workers differ", (t) => {
  let late = 0;
  let all = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const { gangs, isOnTime, begun } = playPeak(seed, ratesOf(true));
    all += gangs.length;
    late += gangs.filter((id) => !isOnTime(id, 0)).length;
    const slowest = Math.max(...gangs.flatMap((id) => begun.get(id)!));
    t.ok(slowest <= RECLAIM_LIMIT, `begins after ${slowest} ms`);
  }
  t.ok(late <= 0.1 * all, `${late} of ${all} are late`);
  t.end();
});

// Guards against work with slack that is late since it runs on slow workers.
test("work with slack is on time on slow workers", (t) => {
  const { fleet, submit, isOnTime } = createRatedFleet(1, ratesOf(true));
  const ids = ["a", "b", "c"];
  for (const id of ids) {
    submit(id, 1, { count: 35, estimate: 5000 });
  }
  fleet.runUntil(30_000);
  t.same(ids.filter((id) => isOnTime(id, 1)), ids);
  t.end();
});

// Guards against deployments with equal workers that are planned otherwise than
// by earlier builds.
test("rates decide nothing where workers do not differ", (t) => {
  const unknown = playPeak(1, EQUAL_RATES).decisions;
  t.same(playPeak(1, ratesOf(false)).decisions, unknown);
  t.not(playPeak(1, ratesOf(true)).decisions.join(), unknown.join());
  t.end();
});

// Guards against small tasks that are spread over the fleet, so that a gang of
// whole workers has to stop them.
test("many small tasks leave whole workers for a large gang", (t) => {
  const { fleet, submit, begun } = createRatedFleet(1, ratesOf(true));
  for (let index = 0; index < 8; index++) {
    submit(`small-${index}`, 1, { count: 20, estimate: 12_000 });
  }
  fleet.runUntil(1000);
  submit("large", 0, { count: 8, accelerators: 8, estimate: 3000, gang: true });
  fleet.runUntil(1200);
  t.equal(begun.get("large")?.length, 8);
  t.end();
});

// Guards against waiting urgent gangs that stop runs that have just started, in
// each round others, since waiting for those that stop already costs more.
test("waiting urgent gangs stop about what they need", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.scheduler.state.rates = ratesOf(true);
  fleet.advance(1000);
  const submit = (id: string, priority: number, fields: Partial<Step>) =>
    fleet.submit(
      withObjective(
        request({ id, priority, steps: [step(fields)], acceptedAt: 1000 }),
      ),
    );
  submit("low", 1, { count: 7 * WORKERS, estimate: 10_000 });
  fleet.runStarts();
  submit("lowest", 1, { count: 5 * WORKERS, estimate: 10_000 });
  fleet.runStarts();
  const sizes = [1, 2, 3, 4, 1, 2, 3, 4];
  for (const [index, accelerators] of sizes.entries()) {
    const sameRack = index % 2 === 0;
    const fields = { count: 5, gang: true, accelerators, sameRack };
    submit(`urgent-${index}`, 0, { ...fields, estimate: 3600 });
  }
  const needed = sizes.reduce((sum, size) => sum + 5 * size, 0);
  const { runs } = fleet.scheduler.state;
  const stopped = [...runs.values()].filter((run) => run.stopping).length;
  t.ok(stopped <= 1.3 * needed, `${stopped} stopped for ${needed}`);
  t.end();
});
