/**
 * Reaction to the usage that the worker reports.
 *
 * @module
 */

import { MemberState } from "@dragonflyledge/model";
import type { AgentEvent, Milliseconds } from "@dragonflyledge/model";
import { sumNeeds } from "./runs.ts";
import { count, log } from "./state.ts";
import type { Core, Member } from "./state.ts";

/** Consecutive readings after which the agent reacts. */
export const USAGE_READINGS = 3;
/** Least share of processor time that a throttled member keeps. */
const MIN_THROTTLE_SHARE = 0.1;

type UsageEvent = Extract<AgentEvent, { kind: "usage" }>;

/** Follows the usage of the worker. */
export interface UsageWatch {
  receive(event: UsageEvent): void;
}

/**
 * Creates the watch. Readings cover the whole worker, so an excess cannot be
 * traced to one member: all deferrable members are throttled alike.
 */
export function createUsageWatch(fields: { core: Core }): UsageWatch {
  const { core } = fields;
  let readings = 0;
  let excess = false;
  let share = 1;
  /** Readings taken before this do not show the last reaction. */
  let ignoreUntil: Milliseconds = -Infinity;

  function throttle(to: number, cores: number, declared: number): void {
    share = to;
    readings = 0;
    ignoreUntil = core.now;
    log(core, "warn", "Deferrable members are throttled.", {
      share,
      cores,
      declared,
    });
    count(core, "members.throttled");
    for (const member of deferrableMembers(core)) {
      core.effects.push({ kind: "throttleTask", task: member.task, share });
    }
  }

  return {
    receive(event) {
      const { cores, memoryMiB } = event;
      const readAt = event.now - event.age;
      core.usage = { cores, memoryMiB, readAt };
      if (readAt <= ignoreUntil) return;
      ignoreUntil = readAt;
      const declared = sumNeeds(core.runs.values());
      const over = cores > declared.cores;
      if (memoryMiB > declared.memoryMiB) count(core, "memory.exceeded");
      readings = over === excess ? readings + 1 : 1;
      excess = over;
      if (readings < USAGE_READINGS) return;
      if (over && deferrableMembers(core).length > 0) {
        const next = Math.max(
          MIN_THROTTLE_SHARE,
          share * declared.cores / cores,
        );
        if (next < share) throttle(next, cores, declared.cores);
      } else if (!over && share < 1) {
        throttle(1, cores, declared.cores);
      }
    },
  };
}

function deferrableMembers(core: Core): Member[] {
  return [...core.runs.values()]
    .filter((run) => !run.urgent)
    .flatMap((run) => run.members)
    .filter((member) => member.report.state === MemberState.Running);
}
