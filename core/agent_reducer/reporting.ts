/**
 * Reports of the worker's state to all connected entries.
 *
 * @module
 */

import { REPORT_INTERVAL } from "@dragonflyledge/model";
import type { Report } from "@dragonflyledge/model";
import { isHolding } from "./runs.ts";
import { send } from "./state.ts";
import type { Core, Peer } from "./state.ts";
import { versionsOf } from "./versions.ts";

/** Least time between two reports to an entry if only the slots change. */
export const SLOTS_REPORT_INTERVAL = 20;

/** Sends reports. */
export interface Reporting {
  /** Sends the reports that are due; called once after each event. */
  sendDue(): void;
}

/** Creates the reporting over the state of one agent. */
export function createReporting(fields: { core: Core }): Reporting {
  const { core } = fields;

  /** Takes the reports of holding members over into the daemon's state. */
  function refreshMembers(): void {
    core.state.members = [...core.runs.values()]
      .filter((run) => run.phase !== "reserving")
      .flatMap((run) => run.members)
      .filter((member) => isHolding(member.report))
      .map((member) => ({ ...member.report }));
  }

  return {
    sendDue() {
      const { membersChanged, slotsChanged } = core;
      core.membersChanged = false;
      core.slotsChanged = false;
      if (membersChanged) refreshMembers();
      let report: Report | undefined;
      for (const peer of core.peers.values()) {
        peer.slotsUnreported ||= slotsChanged;
        const age = core.now - peer.lastReportAt;
        // New versions too: operators see from reports what is in force.
        const due = membersChanged || age >= REPORT_INTERVAL ||
          versionsChanged(peer, core) ||
          (peer.slotsUnreported && age >= SLOTS_REPORT_INTERVAL);
        if (!due) continue;
        report ??= createReport(core);
        peer.lastReportAt = core.now;
        peer.reportedVersions = report.versions;
        peer.slotsUnreported = false;
        send(core, peer.id, report);
      }
    },
  };
}

/** Whether the agent's versions differ from those in the last report. */
function versionsChanged(peer: Peer, core: Core): boolean {
  const own = versionsOf(core);
  const last = peer.reportedVersions;
  return last === undefined || last.configuration !== own.configuration ||
    last.homes !== own.homes;
}

function createReport(core: Core): Report {
  const slotsByClass: Record<string, number> = {};
  for (const record of core.openCalls) {
    slotsByClass[record.class] = (slotsByClass[record.class] ?? 0) + 1;
  }
  const { cores, memoryMiB, readAt } = core.usage;
  return {
    kind: "report",
    worker: core.state.inventory.worker,
    incarnation: core.state.incarnation,
    versions: versionsOf(core),
    leaving: core.state.leaving,
    slotsUsed: core.openCalls.size,
    slotsByClass,
    members: core.state.members,
    usage: { cores, memoryMiB, age: core.now - readAt },
  };
}
