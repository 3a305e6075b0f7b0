/**
 * Decides which runs must give way to a reservation. See
 * docs/decisions/reclaim.md.
 *
 * @module
 */

import type { Reserve } from "@dragonflyledge/model";
import { getLocalHomes } from "./homes.ts";
import {
  fits,
  holdingMembers,
  isEnding,
  sharedAccelerators,
  sumNeeds,
} from "./runs.ts";
import type { Core, Run } from "./state.ts";

/** Decisions about reclaim. They change nothing. */
export interface Reclaim {
  /** Whether non-revocable work may run on these accelerators. */
  mayRunNonRevocable(message: Pick<Reserve, "team" | "members">): boolean;
  /**
   * Runs that must end before the reservation can be held, or nothing if one
   * of them may not be reclaimed.
   */
  victims(message: Reserve): Run[] | undefined;
}

/** Creates the decisions over the state of one agent. */
export function createReclaim(fields: { core: Core }): Reclaim {
  const { core } = fields;

  function teamOf(accelerator: number): string | undefined {
    return homes().teamOf(accelerator);
  }

  function homes() {
    const { homes, inventory } = core.state;
    return getLocalHomes({ homes, worker: inventory.worker });
  }

  /** Whether urgent work may take this accelerator from the run. */
  function urgentMay(message: Reserve, run: Run, accelerator: number): boolean {
    if (!message.urgent || run.urgent) return false;
    if (run.team === message.team) return true;
    // Without the table it is unknown whether the run is on its own home.
    const informed = homes().known && core.state.configuration !== undefined;
    return informed && teamOf(accelerator) !== run.team;
  }

  function mayTake(message: Reserve, run: Run, accelerator: number): boolean {
    if (!run.revocable) return false;
    const owner = teamOf(accelerator) === message.team;
    if (owner && run.team !== message.team) return true;
    return urgentMay(message, run, accelerator);
  }

  /** Whether cores and memory of a run elsewhere on the worker may be taken. */
  function mayTakeRest(message: Reserve, run: Run, wholeHome: boolean) {
    if (!run.revocable) return false;
    const accelerators = holdingMembers(run).flatMap((member) =>
      member.report.accelerators
    );
    if (accelerators.every((one) => urgentMay(message, run, one))) return true;
    return wholeHome && run.team !== message.team &&
      accelerators.every((one) => teamOf(one) !== run.team);
  }

  /** Adds runs to the victims until cores and memory suffice. */
  function freeRest(message: Reserve, victims: Set<Run>): boolean {
    const rest = () =>
      [...core.runs.values()].filter((run) =>
        !victims.has(run) && !isEnding(run)
      );
    const enough = () => fitsBeside(core, message, rest());
    const wholeHome = acceleratorsOf(message).every((one) =>
      teamOf(one) === message.team
    );
    // The youngest runs lose the least work.
    const candidates = rest()
      .filter((run) => mayTakeRest(message, run, wholeHome))
      .sort((left, right) => right.startedAt - left.startedAt);
    for (const run of candidates) {
      if (enough()) return true;
      victims.add(run);
    }
    return enough();
  }

  return {
    mayRunNonRevocable(message) {
      if (!homes().known) return false;
      return acceleratorsOf(message).every((one) =>
        [undefined, message.team].includes(teamOf(one))
      );
    },
    victims(message) {
      const wanted = new Set(acceleratorsOf(message));
      const victims = new Set<Run>();
      for (const run of core.runs.values()) {
        const shared = sharedAccelerators(run, wanted);
        if (shared.length === 0) continue;
        const allowed = isEnding(run) ||
          shared.every((one) => mayTake(message, run, one));
        if (!allowed) return undefined;
        victims.add(run);
      }
      return freeRest(message, victims) ? [...victims] : undefined;
    },
  };
}

/** All accelerators that a reservation asks for. */
export function acceleratorsOf(message: Pick<Reserve, "members">): number[] {
  return message.members.flatMap((member) => member.accelerators);
}

function fitsBeside(core: Core, message: Reserve, others: Run[]): boolean {
  const needs = sumNeeds(others);
  const members = message.members.length;
  needs.accelerators += acceleratorsOf(message).length;
  needs.cores += message.perMember.cores * members;
  needs.memoryMiB += message.perMember.memoryMiB * members;
  return fits(needs, core.state.inventory.capacity);
}
