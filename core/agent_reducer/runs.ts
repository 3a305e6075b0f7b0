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

/** Ended runs that a late renewal can still ask for. */
export const ENDED_RUN_LIMIT = 1024;
/** How long the highest epoch of a job without members is remembered. */
export const EPOCH_RETENTION = 24 * HOUR;
/** Two weeks of the stated 1,500 jobs a day. */
export const EPOCH_LIMIT = 21_000;

const HOLDING_STATES: ReadonlySet<MemberState> = new Set([
  MemberState.Reserved,
  MemberState.Running,
  MemberState.Checkpointing,
  MemberState.Stopping,
]);

/** Operations on the table of runs. */
export interface Runs {
  /** Creates the record of a reservation that still awaits its capacity. */
  add(entry: EntryId, message: Reserve): Run;
  /** Removes a run that was never committed. */
  drop(run: Run): void;
  /** Moves a run whose members have all ended to the ended ones. */
  retire(run: Run): void;
  /** Gives a run a higher epoch. */
  raiseEpoch(run: Run, id: RunId): void;
  /** Live or ended run of a job with the highest epoch. */
  findLatest(job: JobId): Run | undefined;
  epochOf(job: JobId): EpochRecord | undefined;
  /** Notes an epoch; returns whether it is higher than all before. */
  recordEpoch(id: RunId): boolean;
  /** Sends the states of the members of a run. */
  sendState(entry: EntryId, id: RunId): void;
  /**
   * Answers an owner that renews or stops a run. One with a fenced epoch is
   * told of the higher one, since the members may run under that.
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
  // Set anew, so that the map is in the order of use.
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

/** Whether the member holds its accelerators, cores and memory. */
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

/** Whether a run holds or awaits one of these accelerators. */
export function sharedAccelerators(
  run: Run,
  accelerators: ReadonlySet<number>,
): number[] {
  return holdingMembers(run).flatMap((member) =>
    member.report.accelerators.filter((one) => accelerators.has(one))
  );
}

/** Accelerators, cores and memory of all holding members of these runs. */
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
