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

/** A stop that the worker has not carried out is sent again after this. */
export const STOP_RETRY_INTERVAL = 1 * SECOND;

type EndedEvent = Extract<AgentEvent, { kind: "taskEnded" }>;

/** Operations on the tasks of runs. */
export interface Members {
  /** Starts all members of a reserved run. */
  start(run: Run, lease: Milliseconds): void;
  /** Ends a run, after a checkpoint within the grace period if asked. */
  stop(run: Run, checkpoint: boolean): void;
  started(task: TaskId): void;
  handleTaskCheckpointed(task: TaskId): void;
  ended(event: EndedEvent): void;
  /** Takes tasks over that ran before this agent started; epochs are noted. */
  adopt(found: MemberReport[]): void;
  /** Stops members whose grace period is over, and repeats lost stops. */
  stopOverdue(): void;
}

/** Creates the operations; `freed` is called when capacity was freed. */
export function createMembers(fields: {
  core: Core;
  runs: Runs;
  freed: () => void;
}): Members {
  const { core, runs, freed } = fields;

  function setState(member: Member, state: MemberState): void {
    member.report.state = state;
    core.membersChanged = true;
  }

  function stopMember(member: Member): void {
    setState(member, MemberState.Stopping);
    core.effects.push({ kind: "stopTask", task: member.task });
  }

  function stopNow(run: Run): void {
    run.stopAt = Math.min(run.stopAt, core.now);
    run.stopSentAt = core.now;
    for (const member of run.members) {
      if (isHolding(member.report)) stopMember(member);
    }
  }

  function checkpoint(run: Run): void {
    if (isEnding(run)) return;
    run.stopAt = core.now + RECLAIM_GRACE;
    for (const member of run.members) {
      if (member.report.state !== MemberState.Running) continue;
      setState(member, MemberState.Checkpointing);
      core.effects.push({ kind: "checkpointTask", task: member.task });
    }
  }

  function find(task: TaskId): { run: Run; member: Member } | undefined {
    for (const table of [core.runs, core.ended]) {
      for (const run of table.values()) {
        if (run.id.job !== task.run.job || run.phase !== "committed") continue;
        const member = run.members.find((one) => isSameTask(one.task, task));
        if (member) return { run, member };
      }
    }
    return undefined;
  }

  function adoptRun(id: RunId, reports: MemberReport[]): void {
    const run = createAdoptedRun(core, id, reports);
    const known = runs.epochOf(id.job);
    const fenced = known !== undefined && id.epoch < known.epoch;
    if (known !== undefined && !fenced) known.started = true;
    core.runs.set(runKey(id), run);
    core.membersChanged = true;
    count(core, "runs.adopted");
    const surplus = checkOverCapacity(core, run);
    if (reports.every((report) => !isHolding(report))) runs.retire(run);
    else if (surplus || fenced) stopNow(run);
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
      if (withCheckpoint) checkpoint(run);
      else if (run.stopSentAt === -Infinity) stopNow(run);
    },
    started(task) {
      if (find(task)) return;
      // A task that no run accounts for would exceed the capacity.
      log(core, "warn", "An unknown task was started and is stopped.", {
        job: task.run.job,
        member: task.member,
      });
      core.effects.push({ kind: "stopTask", task });
    },
    handleTaskCheckpointed(task) {
      const member = find(task)?.member;
      if (member?.report.state !== MemberState.Checkpointing) return;
      stopMember(member);
    },
    ended(event) {
      const found = find(event.task);
      if (found === undefined || !isHolding(found.member.report)) return;
      const { run, member } = found;
      setState(member, event.ending);
      count(core, "members.ended", { ending: event.ending });
      if (!run.members.some((one) => isHolding(one.report))) runs.retire(run);
      runs.sendState(run.entry, run.id);
      freed();
    },
    adopt(found) {
      const byRun = new Map<string, MemberReport[]>();
      for (const report of found) {
        if (find({ run: report.run, member: report.member })) continue;
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

/** Whether a found run uses capacity that is not there or held by others. */
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

/** A run found on the worker. Its share of cores and memory is estimated. */
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

/** A stop or checkpoint asked for by the previous agent is not followed up. */
function adoptedState(state: MemberState): MemberState {
  const busy: MemberState[] = [
    MemberState.Reserved,
    MemberState.Checkpointing,
    MemberState.Stopping,
  ];
  return busy.includes(state) ? MemberState.Running : state;
}
