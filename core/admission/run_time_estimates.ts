/**
 * Estimates of run times, from those observed for each service, team and class.
 *
 * @module
 */

import type {
  ClassName,
  Milliseconds,
  ServiceName,
  TeamName,
} from "@dragonflyledge/model";
import { MINUTE, SECOND } from "@dragonflyledge/model";

/**
 * Names work whose run times are taken together. An empty team or class stands
 * for all of them.
 */
export interface WorkKey {
  service: ServiceName;
  team: TeamName;
  class: ClassName;
}

/** Distribution of the run times of recent work. */
export interface Estimate {
  /** Run time than which one in ten runs is shorter. */
  lower: Milliseconds;
  median: Milliseconds;
  /** Run time than which one in ten runs is longer. */
  upper: Milliseconds;
  /** Number of runs on which the estimate is based. */
  samples: number;
}

/** Run times observed by one entry. */
export interface RunTimeEstimates {
  /** Records the run time of one run. */
  observe(key: WorkKey, runTime: Milliseconds, now: Milliseconds): void;
  /**
   * Estimates the run time of the team's work in its class. Without recent
   * samples, those of the whole class are used, and then those of the service;
   * undefined if there are none either.
   */
  estimate(key: WorkKey, now: Milliseconds): Estimate | undefined;
  /** Whether the team's work runs far longer than other teams' in its class. */
  isLong(key: WorkKey, now: Milliseconds): boolean;
}

/** Samples kept for each key; a further one overwrites the oldest. */
const SAMPLE_LIMIT = 64;
/** Older samples are ignored, so that an outdated estimate expires. */
const SAMPLE_AGE = 5 * MINUTE;
/** With fewer samples, work is neither called long nor compared with. */
const MIN_SAMPLES = 8;
/** Work becomes long if its median exceeds this multiple of the usual one. */
const LONG_FACTOR = 8;
/**
 * Long work stays long while its median exceeds this multiple of the usual one.
 * It is lower than `LONG_FACTOR`, so that work does not alternate.
 */
const SHORT_FACTOR = 4;
/** Interval of the check for long work, which reads all series of a service. */
const LONG_CHECK_INTERVAL = SECOND / 2;

/** Samples of one key. */
interface Series {
  key: WorkKey;
  /** When each sample was taken; a ring buffer like `runTimes`. */
  times: Milliseconds[];
  runTimes: Milliseconds[];
  /** Index at which the next sample is written. */
  next: number;
  /** Result of the last check for long work. */
  long: boolean;
  nextLongCheckAt: Milliseconds;
  /** Estimate from the present samples; undefined after a new sample. */
  cached: Estimate | undefined;
  /** When the oldest sample of the cached estimate becomes too old. */
  cachedUntil: Milliseconds;
}

/** Creates estimates without any observation. */
export function createRunTimeEstimates(): RunTimeEstimates {
  const all = new Map<string, Series>();
  const byService = new Map<ServiceName, Map<string, Series>>();
  const seriesOf = (key: WorkKey): Series => {
    const name = seriesName(key);
    let series = all.get(name);
    if (series === undefined) {
      series = createSeries(key);
      all.set(name, series);
      if (key.team !== "") {
        const group = byService.get(key.service) ?? new Map();
        byService.set(key.service, group.set(name, series));
      }
    }
    return series;
  };
  return {
    observe(key, runTime, now) {
      for (const each of keysFor(key)) addSample(seriesOf(each), runTime, now);
    },
    estimate(key, now) {
      for (const each of keysFor(key)) {
        const series = all.get(seriesName(each));
        const estimate = series && summarise(series, now);
        if (estimate !== undefined) return estimate;
      }
      return undefined;
    },
    isLong(key, now) {
      const own = all.get(seriesName(key));
      if (own === undefined) return false;
      if (now < own.nextLongCheckAt) return own.long;
      own.nextLongCheckAt = now + LONG_CHECK_INTERVAL;
      const others = [...byService.get(key.service)!.values()]
        .filter((other) => other !== own && other.key.class === key.class);
      own.long = isFarAbove(own, others, now);
      return own.long;
    },
  };
}

/** Whether the median exceeds the usual median of the others by far. */
function isFarAbove(
  own: Series,
  others: Series[],
  now: Milliseconds,
): boolean {
  const estimate = summarise(own, now);
  if (estimate === undefined || estimate.samples < MIN_SAMPLES) return false;
  const medians = others.map((other) => summarise(other, now))
    .filter((other) => other !== undefined)
    .filter((other) => other.samples >= MIN_SAMPLES)
    .map((other) => other.median).sort((a, b) => a - b);
  const usual = medians[(medians.length - 1) >> 1];
  if (usual === undefined) return false;
  const factor = own.long ? SHORT_FACTOR : LONG_FACTOR;
  return estimate.median > factor * Math.max(usual, 1);
}

/** Returns the keys under which a run is recorded, the most specific first. */
function keysFor(key: WorkKey): WorkKey[] {
  return [
    key,
    { service: key.service, team: "", class: key.class },
    { service: key.service, team: "", class: "" },
  ];
}

function seriesName(key: WorkKey): string {
  return `${key.service}\0${key.team}\0${key.class}`;
}

function createSeries(key: WorkKey): Series {
  return {
    key,
    times: [],
    runTimes: [],
    next: 0,
    long: false,
    nextLongCheckAt: 0,
    cached: undefined,
    cachedUntil: 0,
  };
}

function addSample(
  series: Series,
  runTime: Milliseconds,
  now: Milliseconds,
): void {
  series.times[series.next] = now;
  series.runTimes[series.next] = runTime;
  series.next = (series.next + 1) % SAMPLE_LIMIT;
  series.cached = undefined;
}

/** Returns the estimate from recent samples, or undefined without any. */
function summarise(series: Series, now: Milliseconds): Estimate | undefined {
  if (series.cached !== undefined && now < series.cachedUntil) {
    return series.cached;
  }
  const recent = series.runTimes
    .filter((_, index) => series.times[index]! + SAMPLE_AGE > now)
    .sort((a, b) => a - b);
  if (recent.length === 0) return undefined;
  const at = (share: number) =>
    recent[Math.floor(share * (recent.length - 1))]!;
  const oldest = Math.min(
    ...series.times.filter((time) => time + SAMPLE_AGE > now),
  );
  series.cachedUntil = oldest + SAMPLE_AGE;
  series.cached = {
    lower: at(0.1),
    median: at(0.5),
    upper: at(0.9),
    samples: recent.length,
  };
  return series.cached;
}
