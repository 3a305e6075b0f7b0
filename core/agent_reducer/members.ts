/**
 * Members of gangs as tasks on the worker: start, checkpoint, stop, end.
 *
 * @module
 */

import {
  GANG_LEASE,
  MemberState,
  RECLAIM_GRACE,
  SECOND,
} from "@dragonflyledge/model";
import type {
  AgentEvent,
  MemberReport,
  Milliseconds,
  RunId,
  TaskId,
} from "@dragonflyledge/model";
import {
  fits,
  isEnding,
  isHolding,
  sharedAccelerators,
  sumNeeds,
} from "./runs.ts";
import type { Runs } from "./runs.ts";
import { count, log, runKey } from "./state.ts";
import type { Core, Member, Run } from "./state.ts";

/** A stop is sent again after this time while the task has not ended. */
export const STOP_RETRY_INTERVAL = 1 * SECOND;

type EndedEvent = Extract<AgentEvent, { kind: "taskEnded" }>;

/** Operations on the tasks of runs. */
export interface Members {
  /** Starts all members of a reserved run. */
  start(run: Run, lease: Milliseconds): void;
  /**
   * Tells the members of a run to stop: at once, or after a checkpoint for
   * which they get the grace period.
   */
  stop(run: Run, checkpoint: boolean): void;
  /** Stops a task that was started and belongs to no member, or to an ended one. */
  started(task: TaskId): void;
  /** Stops a task that has finished its checkpoint. */
  handleTaskCheckpointed(task: TaskId): void;
  /** Records the end of a member and reports it to the run's entry. */
  ended(event: EndedEvent): void;
  /**
   * Creates runs for tasks that ran before this agent started. The epochs of
   * their jobs must have been recorded.
   */
  adopt(found: MemberReport[]): void;
  /** Stops members whose grace period is over, and repeats stops without effect. */
  stopOverdue(): void;
}

/** Creates the operations; `onCapacityFreed` is called when a member has ended. */
export function createMembers(fields: {
  core: Core;
  runs: Runs;
  onCapacityFreed: () => void;
}): Members {
  const { core, runs, onCapacityFreed } = fields;

  function setState(member: Member, state: MemberState): void {
    member.report.state = state;
    core.membersChanged = true;
  }

  function stopMember(member: Member): void {
    setState(member, MemberState.Stopping);
    core.effects.push({ kind: "stopTask", task: member.task });
  }

  /** Stops all members of a run that have not ended. */
  function stopNow(run: Run): void {
    run.stopAt = Math.min(run.stopAt, core.now);
    run.stopSentAt = core.now;
    for (const member of run.members) {
      if (isHolding(member.report)) stopMember(member);
    }
  }

  /** Asks running members for a checkpoint, with a stop after the grace period. */
  function startCheckpoint(run: Run): void {
    if (isEnding(run)) return;
    run.stopAt = core.now + RECLAIM_GRACE;
    for (const member of run.members) {
      if (member.report.state !== MemberState.Running) continue;
      setState(member, MemberState.Checkpointing);
      core.effects.push({ kind: "checkpointTask", task: member.task });
    }
  }

  function findMember(task: TaskId): { run: Run; member: Member } | undefined {
    for (const table of [core.runs, core.ended]) {
      for (const run of table.values()) {
        if (run.id.job !== task.run.job || run.phase !== "committed") continue;
        const member = run.members.find((one) => isSameTask(one.task, task));
        if (member) return { run, member };
      }
    }
    return undefined;
  }

  /** Adopts a run. It is stopped if it is fenced or exceeds the capacity. */
  function adoptRun(id: RunId, reports: MemberReport[]): void {
    const run = createAdoptedRun(core, id, reports);
    const known = runs.epochOf(id.job);
    const fenced = known !== undefined && id.epoch < known.epoch;
    if (known !== undefined && !fenced) known.started = true;
    core.runs.set(runKey(id), run);
    core.membersChanged = true;
    count(core, "runs.adopted");
    const overCapacity = checkOverCapacity(core, run);
    if (reports.every((report) => !isHolding(report))) runs.retire(run);
    else if (overCapacity || fenced) stopNow(run);
  }

  return {
    start(run, lease) {
      run.phase = "committed";
      run.startedAt = core.now;
      run.leaseUntil = core.now + lease;
      runs.epochOf(run.id.job)!.started = true;
      for (const member of run.members) {
        setState(member, MemberState.Running);
        core.effects.push({
          kind: "startTask",
          task: member.task,
          report: { ...member.report },
          perMember: run.perMember,
          command: run.command,
          lease,
        });
      }
    },
    stop(run, withCheckpoint) {
      if (withCheckpoint) startCheckpoint(run);
      else if (run.stopSentAt === -Infinity) stopNow(run);
    },
    started(task) {
      const known = findMember(task);
      if (known !== undefined && isHolding(known.member.report)) return;
      // It would use capacity that other runs count on, and run beside the
      // member's next run elsewhere.
      log(core, "warn", "A started task of no present member is stopped.", {
        job: task.run.job,
        member: task.member,
      });
      core.effects.push({ kind: "stopTask", task });
    },
    handleTaskCheckpointed(task) {
      const member = findMember(task)?.member;
      if (member?.report.state !== MemberState.Checkpointing) return;
      stopMember(member);
    },
    ended(event) {
      const found = findMember(event.task);
      if (found === undefined || !isHolding(found.member.report)) return;
      const { run, member } = found;
      setState(member, event.ending);
      count(core, "members.ended", { ending: event.ending });
      if (!run.members.some((one) => isHolding(one.report))) runs.retire(run);
      runs.sendState(run.entry, run.id);
      onCapacityFreed();
    },
    adopt(found) {
      const byRun = new Map<string, MemberReport[]>();
      for (const report of found) {
        if (findMember({ run: report.run, member: report.member })) continue;
        const key = runKey(report.run);
        byRun.set(key, [...byRun.get(key) ?? [], report]);
      }
      for (const reports of byRun.values()) {
        adoptRun(reports[0]!.run, reports);
      }
    },
    stopOverdue() {
      for (const run of core.runs.values()) {
        if (!isEnding(run) || core.now < run.stopAt) continue;
        if (core.now - run.stopSentAt < STOP_RETRY_INTERVAL) continue;
        stopNow(run);
      }
    },
  };
}

function isSameTask(left: TaskId, right: TaskId): boolean {
  return left.member === right.member && left.run.job === right.run.job &&
    left.run.epoch === right.run.epoch;
}

/**
 * Records and returns whether an adopted run needs capacity that the worker
 * lacks or that other runs hold.
 */
function checkOverCapacity(core: Core, run: Run): boolean {
  const { capacity } = core.state.inventory;
  const used = run.members.flatMap((one) => one.report.accelerators);
  const wanted = new Set(used);
  const others = [...core.runs.values()].filter((other) => other !== run);
  run.overCapacity = wanted.size < used.length ||
    used.some((one) => one < 0 || one >= capacity.accelerators) ||
    others.some((other) => sharedAccelerators(other, wanted).length > 0) ||
    !fits(sumNeeds(core.runs.values()), capacity);
  return run.overCapacity;
}

/**
 * Creates a run for tasks that were found on the worker. Their cores and memory
 * are not known: they are taken to be in proportion to their accelerators.
 */
function createAdoptedRun(core: Core, id: RunId, reports: MemberReport[]): Run {
  const first = reports[0]!;
  const { capacity } = core.state.inventory;
  const accelerators = Math.max(
    ...reports.map((report) => report.accelerators.length),
  );
  const share = accelerators / Math.max(1, capacity.accelerators);
  return {
    id,
    entry: "",
    team: first.team,
    class: first.class,
    urgent: first.urgent,
    revocable: first.revocable,
    perMember: {
      accelerators,
      cores: capacity.cores * share,
      memoryMiB: capacity.memoryMiB * share,
    },
    command: "",
    members: reports.map((report) => ({
      report: { ...report, state: adoptedState(report.state) },
      task: { run: id, member: report.member },
    })),
    phase: "committed",
    reservedUntil: core.now,
    leaseUntil: core.now + GANG_LEASE,
    stopAt: Infinity,
    stopSentAt: -Infinity,
    startedAt: core.now,
    endedAt: -Infinity,
    displaced: true,
    overCapacity: false,
  };
}

/**
 * State of an adopted member. A stop or checkpoint that the previous agent
 * asked for is not continued: the member counts as running.
 */
function adoptedState(state: MemberState): MemberState {
  const busy: MemberState[] = [
    MemberState.Reserved,
    MemberState.Checkpointing,
    MemberState.Stopping,
  ];
  return busy.includes(state) ? MemberState.Running : state;
}
