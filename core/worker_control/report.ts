/**
 * Reports of an agent to the leader.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentReport, RunName } from "@dragonflyledge/scheduler";
import { listUnsettled, tellCrash, tellSilence } from "./crash.ts";
import { holderOf } from "./fence.ts";
import { latestLeaseEnd } from "./lease.ts";
import {
  hasMisdirected,
  listOpenStarts,
  listUnlistedEnds,
} from "./open_starts.ts";
import { nextReportTime, noteRelease } from "./overtaken.ts";
import { ControlPhase } from "./state.ts";
import type { ControlState } from "./state.ts";

/** Longest time between reports; each answered one extends the grant. */
const REPORT_INTERVAL: Milliseconds = 800;

/** Whether no worker is known, and none can hold a lease from this agent. */
function isVacant(state: ControlState, now: Milliseconds): boolean {
  return state.worker === undefined && now > latestLeaseEnd(state, now);
}

const toName = ({ task, run }: RunName): RunName => ({ task, run });

/** Reports to the leader after a change, and otherwise at intervals. */
export function sendReportIfDue(state: ControlState, now: Milliseconds): void {
  if (!state.reportDue && now < state.lastReportAt + REPORT_INTERVAL) return;
  state.reportDue = false;
  state.lastReportAt = now;
  const controls = [...state.runs.values()];
  const withheld = hasMisdirected(state);
  if (!withheld) state.withheldCrashes.clear();
  const worker = withheld ? undefined : state.worker;
  const gone = worker !== undefined && state.emptied.includes(worker.state.key);
  const unlistedEnds = listUnlistedEnds(state);
  const report: AgentReport = {
    kind: "report",
    sentAt: nextReportTime(state, now),
    holder: holderOf(state),
    leaseLeft: Math.max(0, latestLeaseEnd(state, now) - now),
    vacant: isVacant(state, now),
    worker: worker && { ...worker.state, failureDomain: state.failureDomain },
    listed: worker !== undefined && worker.listed && !gone,
    running: worker ? [...worker.running, ...unlistedEnds] : [],
    listClock: worker?.listed ? worker.clock?.value : undefined,
    unsettled: worker
      ? [...listUnsettled(state, worker), ...unlistedEnds.map(toName)]
      : [],
    openStarts: worker ? listOpenStarts(state, worker.id, now) : [],
    ended: worker?.ended ?? [],
    allEnds: worker?.allEnds ?? true,
    refused: controls
      .filter((control) => control.phase === ControlPhase.Refused)
      .map((control) => ({ ...control.name, reason: control.refusalReason })),
    absent: controls
      .filter((control) => control.phase === ControlPhase.Absent)
      .map((control) => control.name),
    emptied: state.emptied,
    crashes: state.crashes
      .filter((crash) => !state.withheldCrashes.has(crash.worker))
      .map((crash) => tellCrash(crash, now)),
    silence: state.hold.silence && tellSilence(state.hold.silence, now),
    rate: state.rate,
  };
  noteRelease(state, report);
  state.effects.push({ kind: "report", report });
}
