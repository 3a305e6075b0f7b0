/**
 * Table of runs and their members, with the fencing epochs of their jobs.
 *
 * @module
 */

import { HOUR, MemberState } from "@dragonflyledge/model";
import type {
  EntryId,
  JobId,
  MemberReport,
  Reserve,
  Resources,
  RunId,
} from "@dragonflyledge/model";
import { runKey, send } from "./state.ts";
import type { Core, EpochRecord, Member, Run } from "./state.ts";

/** Most ended runs that are remembered, to answer late renewals. */
export const ENDED_RUN_LIMIT = 1024;
/** How long the highest epoch of a job without members is remembered. */
export const EPOCH_RETENTION = 24 * HOUR;
/** Most epochs that are remembered: two weeks of the stated 1,500 jobs a day. */
export const EPOCH_LIMIT = 21_000;

/** States of members that hold capacity. */
const HOLDING_STATES: ReadonlySet<MemberState> = new Set([
  MemberState.Reserved,
  MemberState.Running,
  MemberState.Checkpointing,
  MemberState.Stopping,
]);

/** Operations on the table of runs. */
export interface Runs {
  /** Adds a run for a reservation whose capacity is not held yet. */
  add(entry: EntryId, message: Reserve): Run;
  /** Removes a run that was never committed. */
  drop(run: Run): void;
  /** Moves a run whose members have all ended to the ended runs. */
  retire(run: Run): void;
  /** Moves a run to a higher epoch. Its tasks keep their identities. */
  raiseEpoch(run: Run, id: RunId): void;
  /** Returns the run of a job with the highest epoch, also if it has ended. */
  findLatest(job: JobId): Run | undefined;
  /** Returns what is recorded of a job's epoch. */
  epochOf(job: JobId): EpochRecord | undefined;
  /** Records an epoch; returns whether it is higher than all before. */
  recordEpoch(id: RunId): boolean;
  /** Sends the states of the members of a run; of none for an unknown run. */
  sendState(entry: EntryId, id: RunId): void;
  /**
   * Answers an entry that renews or stops a run. An entry with a stale epoch
   * gets the states under the highest one, since the members may still run
   * under that.
   */
  sendCurrentState(entry: EntryId, id: RunId): void;
}

/** Creates the operations on the table of runs. */
export function createRuns(fields: { core: Core }): Runs {
  const { core } = fields;
  const runs: Runs = {
    add(entry, message) {
      const run = createRun(entry, message, core.now);
      core.runs.set(runKey(run.id), run);
      return run;
    },
    drop(run) {
      core.runs.delete(runKey(run.id));
      core.membersChanged = true;
    },
    retire(run) {
      core.runs.delete(runKey(run.id));
      run.endedAt = core.now;
      core.ended.set(runKey(run.id), run);
      if (core.ended.size <= ENDED_RUN_LIMIT) return;
      for (const oldest of core.ended.keys()) {
        core.ended.delete(oldest);
        return;
      }
    },
    raiseEpoch(run, id) {
      const table = core.runs.has(runKey(run.id)) ? core.runs : core.ended;
      table.delete(runKey(run.id));
      run.id = id;
      for (const member of run.members) member.report.run = id;
      table.set(runKey(id), run);
      core.membersChanged = true;
    },
    findLatest(job) {
      let latest: Run | undefined;
      for (const table of [core.ended, core.runs]) {
        for (const run of table.values()) {
          if (run.id.job !== job) continue;
          if (latest === undefined || run.id.epoch >= latest.id.epoch) {
            latest = run;
          }
        }
      }
      return latest;
    },
    epochOf: (job) => core.epochs.get(job),
    recordEpoch: (id) => recordEpoch(core, id),
    sendState(entry, id) {
      const run = core.runs.get(runKey(id)) ?? core.ended.get(runKey(id));
      const members = run === undefined || run.phase === "reserving"
        ? []
        : run.members.map((member) => ({ ...member.report }));
      send(core, entry, { kind: "runState", run: id, members });
    },
    sendCurrentState(entry, { job, epoch: asked }) {
      const known = core.epochs.get(job)?.epoch ?? asked;
      runs.sendState(entry, { job, epoch: Math.max(asked, known) });
    },
  };
  return runs;
}

function recordEpoch(core: Core, id: RunId): boolean {
  const known = core.epochs.get(id.job);
  const higher = known === undefined || id.epoch > known.epoch;
  // Deleted and set again, so that the map is in the order of use.
  core.epochs.delete(id.job);
  core.epochs.set(id.job, {
    epoch: higher ? id.epoch : known.epoch,
    started: higher ? false : known.started,
    seenAt: core.now,
  });
  for (const [job, record] of core.epochs) {
    const old = core.now - record.seenAt >= EPOCH_RETENTION;
    if (!old && core.epochs.size <= EPOCH_LIMIT) break;
    if (job === id.job || hasRun(core, job)) continue;
    core.epochs.delete(job);
  }
  return higher;
}

/** Whether a job has a run that has not ended. */
function hasRun(core: Core, job: JobId): boolean {
  for (const run of core.runs.values()) if (run.id.job === job) return true;
  return false;
}

function createRun(entry: EntryId, message: Reserve, now: number): Run {
  const { run, team, class: className, urgent, revocable } = message;
  return {
    id: run,
    entry,
    team,
    class: className,
    urgent,
    revocable,
    perMember: message.perMember,
    command: message.command,
    members: message.members.map(({ member, accelerators }) => ({
      report: {
        run,
        member,
        team,
        class: className,
        urgent,
        revocable,
        accelerators,
        state: MemberState.Reserved,
      },
      task: { run, member },
    })),
    phase: "reserving",
    reservedUntil: now + message.remaining,
    leaseUntil: Infinity,
    stopAt: Infinity,
    stopSentAt: -Infinity,
    startedAt: -Infinity,
    endedAt: -Infinity,
    displaced: false,
    overCapacity: false,
  };
}

/** Whether the member has not ended, and so holds or awaits its capacity. */
export function isHolding(report: MemberReport): boolean {
  return HOLDING_STATES.has(report.state);
}

/** Whether the run was told to end, at once or after a grace period. */
export function isEnding(run: Run): boolean {
  return run.stopAt !== Infinity;
}

/** Members of a run that hold, or await, capacity. */
export function holdingMembers(run: Run): Member[] {
  return run.members.filter((member) => isHolding(member.report));
}

/** Returns those of the accelerators that a run holds or awaits. */
export function sharedAccelerators(
  run: Run,
  accelerators: ReadonlySet<number>,
): number[] {
  return holdingMembers(run).flatMap((member) =>
    member.report.accelerators.filter((one) => accelerators.has(one))
  );
}

/** Sums what the members of these runs that have not ended hold or await. */
export function sumNeeds(runs: Iterable<Run>): Resources {
  const sum = { accelerators: 0, cores: 0, memoryMiB: 0 };
  for (const run of runs) {
    for (const member of run.members) {
      if (!isHolding(member.report)) continue;
      sum.accelerators += member.report.accelerators.length;
      sum.cores += run.perMember.cores;
      sum.memoryMiB += run.perMember.memoryMiB;
    }
  }
  return sum;
}

/** Whether the needs are within the capacity. */
export function fits(needs: Resources, capacity: Resources): boolean {
  return needs.accelerators <= capacity.accelerators &&
    needs.cores <= capacity.cores &&
    needs.memoryMiB <= capacity.memoryMiB;
}
