/**
 * Turns the percentages that workers list into the gain per second of each run.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { gangOf } from "../runs.ts";
import type { Step } from "../job.ts";
import type { Run, Worker } from "../state.ts";
import type { Sample } from "./rate_edges.ts";
import type { RateModel } from "./rate_model.ts";
import type { ListedProgress } from "./rate_estimator.ts";

/** Length of the first part of a run, which may include preparations. */
const FIRST_PART: Milliseconds = 600;
/** Progress over a shorter time is not used. */
const MIN_SPAN: Milliseconds = 500;
/** Later progress over this time replaces that of the first part. */
const FULL_SPAN: Milliseconds = 900;
/** Standard deviation of the difference of two percentages without fraction. */
const ROUNDING_SD = 0.41;
/** Percent that count as gained by a run that has gained none. */
const LEAST_GAIN = 0.5;
/** Standard deviation of the time between two lists, by the worker's clock. */
const CLOCK_SD: Milliseconds = 20;
/** Same if only the arrival of the reports is known. */
const ARRIVAL_SD: Milliseconds = 300;
/** Share of its own progress before below which a run counts as stalled. */
const STALLED = 0.25;
/** Expected percent that suffice to tell. */
const MIN_EXPECTED = 3;
/**
 * A run hangs that has gained nothing while it should have gained this much. On
 * a worker that is six times slower it would have gained several percent.
 */
const HANGING = 25;
/** Time that the first or the last part of a run may take without progress. */
const EDGE_SD: Milliseconds = 200;

/** Percent gained over a time. */
interface Gain {
  percent: number;
  span: Milliseconds;
}

/** What is known of the progress of one run. */
export interface Track {
  run: Run;
  worker: string;
  /** Whether the run is slowed by its distance from its data or its gang. */
  remote: boolean;
  /** Time and percentage of the latest list, and whether a clock gave it. */
  at: Milliseconds;
  timed: boolean;
  percent: number;
  first: Gain;
  later: Gain;
  sample?: Sample;
  /** Percent that it should have gained since it last gained any. */
  missed: number;
  /** Whether it tells nothing of its worker. */
  ignored: boolean;
}

/** Progress of a run between two lists. */
export interface Interval extends Gain {
  track: Track;
}

/** Workers by their keys. */
type Workers = ListedProgress["workers"];

/** When a list was made, by its worker's clock if `timed`. */
interface List {
  at: Milliseconds;
  timed: boolean;
  workers: Workers;
}

/** Keeps the progress of runs. */
export interface Samples {
  /** Reads the progress since the lists before; `add` takes it in. */
  read(progress: ListedProgress): Interval[];
  add(intervals: Interval[], now: Milliseconds): void;
  /** Takes in that a run ended as done. */
  addDone(run: Run, clock: Milliseconds | undefined, now: Milliseconds): void;
  /** Gain of the run in percent a second; undefined if it is not known yet. */
  speedOf(run: Run): number | undefined;
  /** Takes nothing more from a run that is slow for a reason of its own. */
  ignore(run: Run): void;
  /** Forgets the progress that the worker's runs have made so far. */
  restart(worker: Worker): void;
}

/** Creates the samples, which are given to the model. */
export function createSamples(model: RateModel): Samples {
  const tracks = new WeakMap<Run, Track>();
  const gangs: GangCache = new WeakMap();

  function beginTrack(run: Run, list: List): void {
    const { at, timed, workers } = list;
    const track: Track = {
      run,
      worker: run.worker,
      remote: isRemote(workers, run, gangs),
      at,
      timed,
      percent: run.percent,
      first: { percent: 0, span: 0 },
      later: { percent: 0, span: 0 },
      missed: 0,
      ignored: false,
    };
    tracks.set(run, track);
  }

  /** Progress of the run since the list before, if both tell any. */
  function readRun(run: Run, list: List): Interval | undefined {
    const { at, timed } = list;
    const track = tracks.get(run);
    if (!track || track.worker !== run.worker || track.timed !== timed) {
      beginTrack(run, list);
      return undefined;
    }
    const before = track.percent;
    const interval = {
      track,
      percent: run.percent - before,
      span: at - track.at,
    };
    // The same list may be reported twice.
    if (interval.span <= 0) return undefined;
    track.at = at;
    track.percent = run.percent;
    // Workers list any finite number, and sums of huge ones are no numbers.
    if (before < 0 || run.percent < 0) return undefined;
    // A member of a gang may wait for the others at both ends.
    const waits = run.step.gang && before === 0;
    noteStandstill(interval);
    if (track.ignored || waits || run.percent >= 100 || run.stopping) {
      return undefined;
    }
    return interval.percent < 0 ? undefined : interval;
  }

  return {
    read: ({ worker: { runs }, workers, clock, now }) => {
      const list = { at: clock ?? now, timed: clock !== undefined, workers };
      const intervals: Interval[] = [];
      for (const run of runs) {
        // A list that lacks ends may lack runs, too.
        const isListed = run.confirmed && run.progressAt === now;
        if (!isListed || run.step.longRunning) continue;
        const interval = readRun(run, list);
        if (interval) intervals.push(interval);
      }
      return intervals;
    },
    add: (intervals, now) => {
      for (const interval of intervals) {
        if (isStalled(interval)) continue;
        addInterval(interval);
        const { track } = interval;
        const sample = track.remote ? undefined : sampleOf(track);
        if (sample) note(model, track, sample, now);
      }
    },
    addDone: (run, clock, now) => {
      const track = tracks.get(run);
      const timed = clock !== undefined;
      if (!track || track.remote || track.timed !== timed) return;
      if (run.step.gang || track.percent >= 100) return;
      if (track.later.span >= FULL_SPAN) return;
      const { first, later, percent, at } = track;
      const total = {
        percent: first.percent + later.percent + 100 - percent,
        span: first.span + later.span + (clock ?? now) - at,
      };
      if (total.span < MIN_SPAN) return;
      note(model, track, createSample(total, timed, EDGE_SD), now);
    },
    speedOf: (run) => {
      const track = tracks.get(run);
      return track && speedOf(track);
    },
    ignore: (run) => {
      const track = tracks.get(run);
      if (track) track.ignored = true;
    },
    restart: (worker) => {
      for (const run of worker.runs) tracks.delete(run);
    },
  };
}

/** Gives the model the latest sample of a run. */
function note(
  model: RateModel,
  track: Track,
  { value, variance }: Sample,
  now: Milliseconds,
): void {
  const sample = track.sample ?? { value, variance };
  sample.value = value;
  sample.variance = variance;
  track.sample = sample;
  const { step, agent, job } = track.run;
  model.note({ sample, step, service: job.policy.service, agent, now });
}

/** Ignores a run that hangs from now on. */
function noteStandstill({ track, percent, span }: Interval): void {
  const expected = (speedOf(track) ?? 0) * span / SECOND;
  track.missed = percent > 0 ? 0 : track.missed + expected;
  if (track.missed >= HANGING) track.ignored = true;
}

/** Whether this run alone has made little progress, for a reason of its own. */
function isStalled({ track, percent, span }: Interval): boolean {
  const expected = (speedOf(track) ?? 0) * span / SECOND;
  return expected >= MIN_EXPECTED && percent < STALLED * expected;
}

function addInterval({ track, percent, span }: Interval): void {
  const { first, later, run } = track;
  // Nothing shows yet whether the run has begun its work.
  if (track.percent === 0) return;
  const isFirst = !run.step.gang && first.span < FIRST_PART;
  const part = isFirst ? first : later;
  part.percent += percent;
  part.span += span;
}

/** Percent that the run gained so far, without the first part if possible. */
function gainOf({ first, later }: Track): Gain {
  if (later.span >= FULL_SPAN) return later;
  return {
    percent: first.percent + later.percent,
    span: first.span + later.span,
  };
}

/** Gain of the run in percent a second; undefined if it is not known yet. */
export function speedOf(track: Track): number | undefined {
  const { percent, span } = gainOf(track);
  return span < MIN_SPAN ? undefined : percent * SECOND / span;
}

function sampleOf(track: Track): Sample | undefined {
  const gain = gainOf(track);
  if (gain.span < MIN_SPAN) return undefined;
  const early = gain !== track.later && track.first.span > 0;
  return createSample(gain, track.timed, early ? EDGE_SD : 0);
}

function createSample(
  { percent, span }: Gain,
  timed: boolean,
  edge: Milliseconds,
): Sample {
  const gained = Math.max(LEAST_GAIN, percent);
  const timing = Math.hypot(timed ? CLOCK_SD : ARRIVAL_SD, edge);
  return {
    value: Math.log(gained * SECOND / span),
    variance: (ROUNDING_SD / gained) ** 2 + (timing / span) ** 2,
  };
}

/** Whether the runs of gangs are in several racks, by step. */
type GangCache = WeakMap<Step, { name: string; remote: boolean }>;

/** Whether the run is away from its data, or its gang in several racks. */
function isRemote(
  workers: Workers,
  run: Run,
  gangs: GangCache,
): boolean {
  const { step, task } = run;
  const rackOf = (each: Run) => workers.get(each.worker)?.state.rack;
  const rack = rackOf(run);
  if (step.dataRack !== "" && step.dataRack !== rack) return true;
  if (!step.gang || !step.sameRack) return false;
  const name = `${task.occurrence}#${run.run}`;
  const known = gangs.get(step);
  if (known?.name === name) return known.remote;
  const racks = new Set(gangOf(run).map(rackOf));
  const remote = racks.size > 1;
  // A new leader learns the workers of the gang one after the other.
  if (!racks.has(undefined)) gangs.set(step, { name, remote });
  return remote;
}
