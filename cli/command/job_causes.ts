/**
 * Finds, in the log lines of the platform's programs, which jobs were refused,
 * failed, began late or lost runs with workers that crashed, and why.
 *
 * @module
 */

import type { LogLine } from "./log_lines.ts";

/** Why a job was refused, failed, began late or began again. */
export const Cause = {
  /** No entry led while the job waited. */
  NoLeader: "no leader",
  /** The store did not answer the entry that answered the caller. */
  StoreAway: "store away",
  /** Runs of other jobs had to end first. */
  StopsNotDone: "stops not yet done",
  /** An urgent job found no place, also by stopping others. */
  NoPlace: "no place",
  /** The job is not urgent and waited for capacity. */
  Behind: "behind in the queue",
  /** A start was not confirmed by its worker in time. */
  Unconfirmed: "start not confirmed",
  /** Workers had less capacity than before. */
  CapacityShrunk: "capacity shrunk",
  /** A run was stopped, lost or broken, and the task began again. */
  BegunAgain: "begun again",
  /** Workers crashed while they ran a task of the job. */
  WorkersCrashed: "workers crashed",
  /** The same, and the task is suspected to be the cause. */
  Suspected: "suspected of crashes",
  /** Runs ended as failed. */
  RunsFailed: "runs failed",
  Other: "other",
} as const;
export type Cause = typeof Cause[keyof typeof Cause];

/**
 * What became of a job that was not served in time. One is "restarted" if it
 * began in time and lost a run with a worker that crashed.
 */
export type Trouble = "refused" | "failed" | "late" | "restarted";

/** A job in trouble. */
export interface JobCause {
  job: string;
  /** Undefined for a job that no leader took up. */
  priority?: number;
  trouble: Trouble;
  cause: Cause;
  /** ISO time of its first submission. */
  at: string;
  /** Milliseconds from the first submission to the first start, if it began. */
  wait?: number;
}

/** Milliseconds from the first submission after which a start is late. */
export interface CauseOptions {
  late: number;
}

/** What the log says of one job; times in milliseconds. */
interface Story {
  submittedAt?: number;
  stored: boolean;
  priority?: number;
  begunAt?: number;
  status?: string;
  stopsOrdered: boolean;
  noPlace: boolean;
  unconfirmed: boolean;
  begunAgain: boolean;
  /** Whether a run was lost with a worker that crashed. */
  crashed: boolean;
  /** Whether a task of the job is suspected of crashing workers. */
  suspected: boolean;
  /** Code of the failure of a failed job. */
  failure?: string;
  failedRuns: number;
}

/** Spans of time in which something was missing. */
type Spans = { from: number; to: number }[];

/** Returns the jobs in trouble, in the order of their submission. */
export function findJobCauses(
  lines: LogLine[],
  { late }: CauseOptions,
): JobCause[] {
  const stories = new Map<string, Story>();
  for (const line of lines) addToStory(stories, line);
  const leaderless = findLeaderless(lines);
  const storeless = findSpans(lines, {
    begins: /The store does not answer\.$/,
    ends: /The store answers again\.$/,
  });
  const shrunk = findShrunk(lines);
  const causes: JobCause[] = [];
  for (const [job, story] of stories) {
    const trouble = troubleOf(story, late);
    if (!trouble || story.submittedAt === undefined) continue;
    causes.push({
      job,
      priority: story.priority,
      trouble,
      cause: causeOf(story, trouble, { leaderless, storeless, shrunk }),
      at: new Date(story.submittedAt).toISOString(),
      wait: story.begunAt && story.begunAt - story.submittedAt,
    });
  }
  return causes.sort((a, b) => a.at < b.at ? -1 : a.at > b.at ? 1 : 0);
}

function createStory(): Story {
  return {
    stored: false,
    stopsOrdered: false,
    noPlace: false,
    unconfirmed: false,
    begunAgain: false,
    crashed: false,
    suspected: false,
    failedRuns: 0,
  };
}

/** Name of the job that the line is about; agents name only its runs. */
function jobOf({ fields }: LogLine): string {
  return String(fields.job ?? String(fields.run ?? "").split(".")[0]);
}

function addToStory(stories: Map<string, Story>, line: LogLine): void {
  const job = jobOf(line);
  if (job === "") return;
  const story = stories.get(job) ?? createStory();
  stories.set(job, story);
  const { fields } = line;
  const time = Date.parse(line.time);
  switch (line.text.replace(/^\w+: /, "")) {
    case "Submission answered.":
      story.submittedAt ??= time;
      if (fields.result === "stored") story.stored = true;
      return;
    case "Job taken up.":
      story.stored = true;
      story.priority = Number(fields.priority);
      return;
    case "Tasks placed.":
    case "Start ordered.":
      story.begunAt ??= time;
      return;
    case "Runs preempted.":
      if (story.begunAt === undefined) story.stopsOrdered = true;
      return;
    case "Urgent tasks wait.":
      if (fields.victims === 0) story.noPlace = true;
      return;
    case "Start not confirmed.":
      story.unconfirmed = true;
      return;
    case "Run lost.":
      story.begunAgain = true;
      if (fields.reason === "worker crashed") story.crashed = true;
      return;
    case "A worker crashed under a task.":
    case "A task is not the cause of earlier crashes.":
      story.suspected = fields.suspect === true;
      return;
    case "Run ended.":
      if (fields.ending === "failed") story.failedRuns++;
      else if (fields.ending !== "done") story.begunAgain = true;
      return;
    case "Job finished.":
      story.status = String(fields.status);
      if (fields.failure) story.failure = String(fields.failure);
      return;
  }
}

/**
 * Spans from a line that begins one to the next that ends one, of whatever
 * process. A span without an end lasts to the last line.
 */
function findSpans(
  lines: LogLine[],
  { begins, ends }: { begins: RegExp; ends: RegExp },
): Spans {
  const spans: Spans = [];
  let from: number | undefined;
  for (const line of lines) {
    if (begins.test(line.text)) from ??= Date.parse(line.time);
    if (!ends.test(line.text) || from === undefined) continue;
    spans.push({ from, to: Date.parse(line.time) });
    from = undefined;
  }
  const last = lines.at(-1);
  if (from !== undefined && last) {
    spans.push({ from, to: Date.parse(last.time) });
  }
  return spans;
}

/** Spans in which any worker has less capacity than it had before. */
function findShrunk(lines: LogLine[]): Spans {
  const spans: Spans = [];
  const workers = new Set<unknown>();
  let from = 0;
  for (const line of lines) {
    const time = Date.parse(line.time);
    const { worker } = line.fields;
    const isChange = /Worker capacity changed\.$/.test(line.text) &&
      line.fields.shrunk !== undefined;
    if (isChange && line.fields.shrunk === true) {
      if (workers.size === 0) from = time;
      workers.add(worker);
      continue;
    }
    const isGone = isChange || /Worker crashed\.$/.test(line.text);
    if (!isGone || !workers.delete(worker) || workers.size > 0) continue;
    spans.push({ from, to: time });
  }
  if (workers.size > 0) spans.push({ from, to: Infinity });
  return spans;
}

/** Lines that only a leader writes. */
const LEADER_LINE =
  /(Leadership won|Job taken up|Job finished|Run ended|Tasks placed)\.$/;

/**
 * Spans without a leader. One that was killed writes nothing of its end; its
 * last line as the leader begins the span then.
 */
function findLeaderless(lines: LogLine[]): Spans {
  const spans: Spans = [];
  let leader = "";
  let from: number | undefined;
  for (const line of lines) {
    const time = Date.parse(line.time);
    const ends = /Leadership (lost|resigned)\.$/.test(line.text);
    if (ends && line.node === leader) leader = "";
    if (/Leadership won\.$/.test(line.text)) {
      if (from !== undefined) spans.push({ from, to: time });
      leader = line.node;
    }
    const leads = line.node === leader && LEADER_LINE.test(line.text);
    if (ends || leads) from = time;
  }
  if (from !== undefined && leader === "") spans.push({ from, to: Infinity });
  return spans;
}

function troubleOf(story: Story, late: number): Trouble | undefined {
  if (story.status === "cancelled") return undefined;
  if (!story.stored) return "refused";
  if (story.status === "failed") return "failed";
  if (story.begunAt === undefined) {
    return story.status === undefined ? "late" : undefined;
  }
  if (story.begunAt - story.submittedAt! > late) return "late";
  return story.crashed ? "restarted" : undefined;
}

/** The cause that comes first on the way of a job explains the others. */
function causeOf(
  story: Story,
  trouble: Trouble,
  { leaderless, storeless, shrunk }: {
    leaderless: Spans;
    storeless: Spans;
    shrunk: Spans;
  },
): Cause {
  const from = story.submittedAt!;
  const to = story.begunAt ?? from;
  const meets = (spans: Spans) =>
    spans.some((span) => span.from <= to && span.to >= from);
  if (story.failure === "workers-crashed") return Cause.WorkersCrashed;
  if (trouble === "failed") {
    return story.failedRuns > 0 ? Cause.RunsFailed : Cause.Other;
  }
  if (trouble === "restarted") {
    return story.suspected ? Cause.Suspected : Cause.WorkersCrashed;
  }
  if (meets(storeless)) return Cause.StoreAway;
  if (trouble === "refused") return Cause.Other;
  if (meets(leaderless)) return Cause.NoLeader;
  if (story.stopsOrdered) return Cause.StopsNotDone;
  const waitsForCapacity = story.noPlace ||
    (story.priority !== undefined && story.priority > 0);
  if (waitsForCapacity && meets(shrunk)) return Cause.CapacityShrunk;
  if (story.noPlace) return Cause.NoPlace;
  if (story.priority !== undefined && story.priority > 0) return Cause.Behind;
  if (story.unconfirmed) return Cause.Unconfirmed;
  return story.begunAgain ? Cause.BegunAgain : Cause.Other;
}
