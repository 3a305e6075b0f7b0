/**
 * Run times observed for each service, team and class.
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

/** Work whose run times are alike. */
export interface WorkKey {
  service: ServiceName;
  team: TeamName;
  class: ClassName;
}

export interface Estimate {
  /** One in ten runs is shorter. */
  lower: Milliseconds;
  median: Milliseconds;
  /** One in ten runs is longer. */
  upper: Milliseconds;
  samples: number;
}

export interface RunTimeEstimates {
  observe(key: WorkKey, runTime: Milliseconds, now: Milliseconds): void;
  /** Falls back to the class, then to the service; undefined if unknown. */
  estimate(key: WorkKey, now: Milliseconds): Estimate | undefined;
  /** Whether the team's work runs far longer than that of others in its class. */
  isLong(key: WorkKey, now: Milliseconds): boolean;
}

/** Samples kept for each key; older ones are overwritten. */
const SAMPLE_LIMIT = 64;
/** Older samples are ignored, so that an estimate cannot outlive its cause. */
const SAMPLE_AGE = 5 * MINUTE;
/** Fewer samples do not reclassify work. */
const MIN_SAMPLES = 8;
const LONG_FACTOR = 8;
/** Lower than `LONG_FACTOR`, so that work does not alternate. */
const SHORT_FACTOR = 4;
/** The comparison reads all series of the service, so it is not made often. */
const LONG_CHECK_INTERVAL = SECOND / 2;

interface Series {
  key: WorkKey;
  times: Milliseconds[];
  runTimes: Milliseconds[];
  next: number;
  long: boolean;
  nextLongCheckAt: Milliseconds;
  cached: Estimate | undefined;
  /** When the oldest sample of the cached estimate falls out. */
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
