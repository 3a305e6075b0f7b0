/**
 * Model of the store: conditional commits under the leader's key, and answers
 * that arrive late or never.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { JobRequest, ProgressRow } from "@dragonflyledge/scheduler";
import type { Happening } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";

const COMMIT_DELAY: Milliseconds = 4;
const ANSWER_DELAY: Milliseconds = 4;
/** Time after which a commit counts as failed. */
const COMMIT_TIMEOUT: Milliseconds = 1000;
/** Time until a change is known to the leaders. */
const WATCH_DELAY: Milliseconds = 5;

/** A job as the store holds it. */
export interface JobRecord {
  request: JobRequest;
  cancelled: boolean;
  progress?: ProgressRow;
  /** Revision of `progress`; 0 without one. */
  revision: number;
}

/** A change of which the leaders hear. */
export type StoreChange =
  | { kind: "job"; job: string }
  | { kind: "cancel"; job: string }
  | { kind: "agent"; agent: string }
  | { kind: "evacuations" };

/** What a leader commits if it still leads. */
export interface Commit {
  epoch: number;
  /** New progress of jobs whose records have the given revisions. */
  puts: { job: string; revision: number; progress: ProgressRow }[];
  removedJobs?: string[];
  removedAgents?: string[];
}

/** Outcome of a commit; the epoch is that of the present leader, or 0. */
export type CommitOutcome =
  | { kind: "committed"; revision: number }
  | { kind: "conflict"; epoch: number; revisions: Map<string, number> }
  | { kind: "unknown" };

/** Model of the store. */
export interface StoreModel {
  readonly jobs: Map<string, JobRecord>;
  readonly agents: Set<string>;
  /** Evacuated failure domains, each with the time since when it is one. */
  readonly evacuated: ReadonlyMap<string, Milliseconds>;
  evacuate(domain: string, duration: Milliseconds): void;
  addJob(request: JobRequest): void;
  cancel(job: string): void;
  addAgent(name: string): void;
  /** Calls `listener` for each change until the result is called. */
  watch(listener: (change: StoreChange) => void): () => void;
  /** Epoch of the present leader, or 0. */
  epoch(): number;
  /** Writes the leader's key anew and returns its revision. */
  elect(): number;
  /** Removes the leader's key if it still has this revision. */
  vacate(epoch: number): void;
  commit(commit: Commit, done: (outcome: CommitOutcome) => void): void;
  disturb(happening: Extract<Happening, { kind: "slowStore" }>): void;
}

/** Creates an empty store. */
export function createStoreModel(agenda: Agenda): StoreModel {
  const jobs = new Map<string, JobRecord>();
  const agents = new Set<string>();
  const evacuated = new Map<string, Milliseconds>();
  const listeners = new Set<(change: StoreChange) => void>();
  let revision = 0;
  let leader = 0;
  let slow: Extract<Happening, { kind: "slowStore" }> | undefined;
  let slowUntil: Milliseconds = -Infinity;

  function notify(change: StoreChange): void {
    agenda.after(WATCH_DELAY, () => {
      for (const listener of [...listeners]) listener(change);
    });
  }

  function apply(commit: Commit): CommitOutcome {
    const { puts, epoch } = commit;
    const matches = epoch === leader &&
      puts.every(({ job, revision: expected }) =>
        (jobs.get(job)?.revision ?? 0) === expected
      );
    if (!matches) {
      const revisions = new Map(
        puts.map(({ job }) => [job, jobs.get(job)?.revision ?? 0]),
      );
      return { kind: "conflict", epoch: leader, revisions };
    }
    revision++;
    for (const { job, progress } of puts) {
      const record = jobs.get(job);
      if (record) Object.assign(record, { progress, revision });
    }
    for (const job of commit.removedJobs ?? []) jobs.delete(job);
    for (const agent of commit.removedAgents ?? []) agents.delete(agent);
    return { kind: "committed", revision };
  }

  return {
    jobs,
    agents,
    evacuated,
    evacuate: (domain, duration) => {
      if (evacuated.has(domain)) return;
      evacuated.set(domain, agenda.now());
      notify({ kind: "evacuations" });
      agenda.after(duration, () => {
        evacuated.delete(domain);
        notify({ kind: "evacuations" });
      });
    },
    addJob: (request) => {
      jobs.set(request.id, { request, cancelled: false, revision: 0 });
      notify({ kind: "job", job: request.id });
    },
    cancel: (job) => {
      const record = jobs.get(job);
      if (!record) return;
      record.cancelled = true;
      notify({ kind: "cancel", job });
    },
    addAgent: (agent) => {
      agents.add(agent);
      notify({ kind: "agent", agent });
    },
    watch: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    epoch: () => leader,
    elect: () => leader = ++revision,
    vacate: (epoch) => {
      if (leader === epoch) leader = 0;
    },
    commit: (commit, done) => {
      const disturbed = agenda.now() < slowUntil ? slow : undefined;
      let answered = false;
      const answer = (outcome: CommitOutcome) => {
        if (!answered) done(outcome);
        answered = true;
      };
      agenda.after(disturbed?.delay ?? COMMIT_DELAY, () => {
        const outcome = apply(commit);
        if (disturbed?.lost) return;
        const delay = disturbed?.answerDelay ?? ANSWER_DELAY;
        agenda.after(delay, () => answer(outcome));
      });
      agenda.after(COMMIT_TIMEOUT, () => answer({ kind: "unknown" }));
    },
    disturb: (happening) => {
      slow = happening;
      slowUntil = agenda.now() + happening.duration;
    },
  };
}
