/**
 * Throttling of deferrable members when the worker's usage exceeds the needs
 * that its runs declared.
 *
 * @module
 */

import { MemberState } from "@dragonflyledge/model";
import type { AgentEvent, Milliseconds } from "@dragonflyledge/model";
import { sumNeeds } from "./runs.ts";
import { count, log } from "./state.ts";
import type { Core, Member } from "./state.ts";

/** Consecutive readings, all over or all within the needs, before a reaction. */
export const USAGE_READINGS = 3;
/** Least share of processor time that a throttled member keeps. */
const MIN_THROTTLE_SHARE = 0.1;

type UsageEvent = Extract<AgentEvent, { kind: "usage" }>;

/** Watch over the usage of the worker. */
export interface UsageWatch {
  /**
   * Takes a reading. After `USAGE_READINGS` readings over the declared cores,
   * lowers the processor share of deferrable members; after as many within
   * them, lifts the limit.
   */
  receive(event: UsageEvent): void;
}

/**
 * Creates the watch. Readings cover the whole worker, so an excess cannot be
 * traced to one member: all deferrable members are throttled alike.
 */
export function createUsageWatch(fields: { core: Core }): UsageWatch {
  const { core } = fields;
  let consecutive = 0;
  let wasOver = false;
  let share = 1;
  /**
   * Readings taken up to this time are ignored: they are older than the last
   * reading or do not show the effect of the last throttle.
   */
  let ignoreUntil: Milliseconds = -Infinity;

  function throttle(newShare: number, cores: number, declared: number): void {
    share = newShare;
    consecutive = 0;
    ignoreUntil = core.now;
    log(
      core,
      "warn",
      "The processor share of deferrable members has changed.",
      {
        share,
        cores,
        declared,
      },
    );
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
      consecutive = over === wasOver ? consecutive + 1 : 1;
      wasOver = over;
      if (consecutive < USAGE_READINGS) return;
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

/** Running members of runs that are not urgent. */
function deferrableMembers(core: Core): Member[] {
  return [...core.runs.values()]
    .filter((run) => !run.urgent)
    .flatMap((run) => run.members)
    .filter((member) => member.report.state === MemberState.Running);
}
