/**
 * Measures processor time and memory of the estimates of interference at target
 * size: 860 workers with 15 tasks each, listed every second, and a round of
 * planning on 160 workers with 2,000 waiting tasks, with and without known pairs.
 *
 * With a number of seeds as argument, it counts which pairs are found on
 * simulated fleets with and without interference instead.
 *
 * Run after `npm run build`:
 *
 *     node --expose-gc scripts/measure_interference.mjs
 *     node scripts/measure_interference.mjs 40
 */

import { createInterference } from "../core/scheduler/dist/interference/interference.js";
import {
  createFleet,
  request,
  step,
} from "../core/scheduler/dist/fleet_for_tests.js";
import { simulate } from "../core/scheduler/dist/interference/simulation_for_tests.js";
import { createRandom } from "@dragonflyledge/model";

const WORKERS = 860;
const RUNS_PER_WORKER = 15;
const KINDS = 20;
/** Length of the simulation of lists. */
const SECONDS = 60;
const REFRESHES_PER_SECOND = 4;
/** Rounds of planning of which the median is taken. */
const ROUNDS = 13;

/** Processor time of this process in ms, which other load does not change. */
function cpuTime() {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

const rate = () => ({ mean: 0, variance: 0.01 });

/** Passes lists of all workers each second; returns the cost of each part. */
function measureLists() {
  const random = createRandom(1);
  const interference = createInterference();
  const before = process.memoryUsage().heapUsed;
  let created = 0;
  const create = () => ({
    key: `job.0.0.${created++}#1`,
    kind: `kind-${Math.floor(random() * KINDS)}`,
    step: `job-${created % 500}`,
    percent: 1,
    gain: 5 + 10 * random(),
    measurable: true,
    comparable: true,
  });
  const workers = Array.from(
    { length: WORKERS },
    () => Array.from({ length: RUNS_PER_WORKER }, create),
  );
  let observed = 0;
  let refreshed = 0;
  let longest = 0;
  for (let second = 1; second <= SECONDS; second++) {
    const now = second * 1000;
    workers.forEach((runs, index) => {
      runs.forEach((run, position) => {
        run.percent += run.gain;
        if (run.percent >= 100) runs[position] = create();
      });
      const listed = runs.map((run) => ({ ...run }));
      const agent = `agent-${index}`;
      const start = cpuTime();
      if (interference.follows(agent)) {
        interference.observe({
          agent,
          worker: agent,
          at: now,
          now,
          runs: listed,
          rate,
        });
      }
      observed += cpuTime() - start;
    });
    for (let tick = 0; tick < REFRESHES_PER_SECOND; tick++) {
      const start = cpuTime();
      interference.refresh(now + tick * 1000 / REFRESHES_PER_SECOND);
      const took = cpuTime() - start;
      refreshed += took;
      longest = Math.max(longest, took);
    }
  }
  globalThis.gc?.();
  const grown = process.memoryUsage().heapUsed - before;
  return {
    "lists, ms a second": observed / SECONDS,
    "refreshes, ms a second": refreshed / SECONDS,
    "longest refresh, ms": longest,
    "heap, MiB (with the simulated workers)": grown / 2 ** 20,
  };
}

/** Adds runs of image `a` that are slower beside runs of image `b`. */
function addInterference(interference) {
  for (let run = 0; run < 400; run++) {
    const agent = `taught-${run % 20}`;
    let percent = 1;
    for (let second = 0; second < 12; second++) {
      const at = run * 20_000 + second * 1000;
      const slowed = second % 6 >= 3;
      percent += slowed ? 4 : 8;
      const listed = (key, kind, progress) => ({
        key: `${key}${run}`,
        kind,
        step: key,
        percent: progress,
        measurable: true,
        comparable: true,
      });
      const runs = [listed("a", "a", percent)];
      if (slowed) runs.push(listed("b", "b", 1 + second));
      interference.observe({ agent, worker: agent, at, now: at, runs, rate });
    }
    const now = run * 20_000 + 12_000;
    interference.observe({
      agent,
      worker: agent,
      at: now,
      now,
      runs: [],
      rate,
    });
    interference.refresh(now);
  }
}

/**
 * Median time in ms of a round of planning with 2,000 waiting tasks on workers
 * that are half full.
 */
function measureRound(known) {
  const samples = [];
  for (let round = 0; round < ROUNDS; round++) {
    const fleet = createFleet({ workers: 160, planningInterval: 1e9 });
    if (known) addInterference(fleet.scheduler.state.interference);
    if (known !== (fleet.scheduler.state.interference.pairCount() > 0)) {
      throw new Error("The pair was not found.");
    }
    const submit = (id, count, image) =>
      fleet.submit(request({ id, steps: [step({ count, image })] }));
    for (let job = 0; job < 64; job++) {
      submit(`f${job}`, 10, job % 2 ? "a" : "b");
    }
    fleet.planAfter(1);
    fleet.runStarts();
    for (let job = 0; job < 100; job++) {
      submit(`w${job}`, 20, job % 2 ? "a" : "b");
    }
    const start = cpuTime();
    fleet.planAfter(1);
    samples.push(cpuTime() - start);
  }
  samples.sort((a, b) => a - b);
  return samples[ROUNDS >> 1];
}

/** Fleet of which each of `FLEETS` changes some fields. */
const FLEET = {
  workers: 56,
  slots: 8,
  kinds: 8,
  duration: 60_000,
  rateDeviation: 0.3,
  taskDeviation: 0.25,
  transients: 0.01,
  slowdown: () => 0,
  listJitter: 100,
};
const FLEETS = {
  usual: {},
  "160 workers": { workers: 160 },
  "11 workers": { workers: 11 },
  "16 kinds": { kinds: 16 },
  "40 kinds": { kinds: 40 },
  "kinds prefer workers": { clustered: true },
  "slow first second": { slowStart: 0.4 },
  "lists off by 300 ms": { listJitter: 300 },
  "a quarter of the time slow": { transients: 0.05 },
};
/** Share of its rate that a kind loses beside another one. */
const SLOWDOWNS = {
  "k0 k1": 0.3,
  "k1 k0": 0.3,
  "k2 k3": 0.2,
  "k4 k4": 0.25,
  "k5 k6": 0.12,
};

/**
 * Counts the seeds that found each pair, with the median time until then, and
 * the runs with a false pair.
 */
function countPairs(fields, seeds) {
  let withFalsePair = 0;
  const found = {};
  for (let seed = 1; seed <= seeds; seed++) {
    const unaffected = simulate({ ...FLEET, ...fields, seed });
    const slowdown = (kind, beside) => SLOWDOWNS[`${kind} ${beside}`] ?? 0;
    const { changes } = simulate({ ...FLEET, ...fields, seed, slowdown });
    const apart = changes.filter((change) => change.apart);
    const isFalse = ({ kind, beside }) => !(`${kind} ${beside}` in SLOWDOWNS);
    if (unaffected.changes.length > 0) withFalsePair++;
    if (apart.some(isFalse)) withFalsePair++;
    for (const { kind, beside, at } of apart) {
      (found[`${kind} ${beside}`] ??= []).push(at / 1000);
    }
  }
  const pairs = Object.keys(SLOWDOWNS).map((pair) => {
    const times = (found[pair] ?? []).sort((a, b) => a - b);
    return `${pair}: ${times.length}, ${times[seeds >> 1] ?? "-"} s`;
  });
  return { runs: 2 * seeds, withFalsePair, pairs: pairs.join("; ") };
}

if (process.argv[2]) {
  for (const [name, fields] of Object.entries(FLEETS)) {
    const result = countPairs(fields, Number(process.argv[2]));
    console.log(`${name}: ${JSON.stringify(result)}`);
  }
  process.exit(0);
}

console.log(JSON.stringify(
  {
    ...measureLists(),
    "warm-up, ms": measureRound(false) + measureRound(true),
    "round that places 640 of 2,000 tasks, no pair known, ms": measureRound(
      false,
    ),
    "the same with a known pair, ms": measureRound(true),
  },
  undefined,
  2,
));
