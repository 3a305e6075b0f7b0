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

/** Decisions about reclaim. They do not change the state. */
export interface Reclaim {
  /**
   * Whether non-revocable work may run on these accelerators: none of them may
   * belong to the home of another team.
   */
  mayRunNonRevocable(message: Pick<Reserve, "team" | "members">): boolean;
  /**
   * Returns the runs that must end before the reservation can be held, or
   * `undefined` if the capacity may not be reclaimed.
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

  /** Whether the message is of urgent work that may preempt the run here. */
  function mayPreempt(
    message: Reserve,
    run: Run,
    accelerator: number,
  ): boolean {
    if (!message.urgent || run.urgent) return false;
    if (run.team === message.team) return true;
    // Without the homes table the run might be on its own team's home.
    const homesKnown = homes().known && core.state.configuration !== undefined;
    return homesKnown && teamOf(accelerator) !== run.team;
  }

  /** Whether the run must give this accelerator up to the reservation. */
  function mayReclaim(
    message: Reserve,
    run: Run,
    accelerator: number,
  ): boolean {
    if (!run.revocable) return false;
    const owner = teamOf(accelerator) === message.team;
    if (owner && run.team !== message.team) return true;
    return mayPreempt(message, run, accelerator);
  }

  /**
   * Whether a run on other accelerators of the worker must give up its cores
   * and memory to the reservation.
   */
  function mayReclaimCoresAndMemory(
    message: Reserve,
    run: Run,
    wholeHome: boolean,
  ) {
    if (!run.revocable) return false;
    const accelerators = holdingMembers(run).flatMap((member) =>
      member.report.accelerators
    );
    if (accelerators.every((one) => mayPreempt(message, run, one))) return true;
    return wholeHome && run.team !== message.team &&
      accelerators.every((one) => teamOf(one) !== run.team);
  }

  /** Adds runs to the victims until cores and memory suffice, if they can. */
  function addVictimsForCoresAndMemory(
    message: Reserve,
    victims: Set<Run>,
  ): boolean {
    const others = () =>
      [...core.runs.values()].filter((run) =>
        !victims.has(run) && !isEnding(run)
      );
    const fitsNow = () => fitsBeside(core, message, others());
    const wholeHome = acceleratorsOf(message).every((one) =>
      teamOf(one) === message.team
    );
    // The runs that started last lose the least work.
    const candidates = others()
      .filter((run) => mayReclaimCoresAndMemory(message, run, wholeHome))
      .sort((left, right) => right.startedAt - left.startedAt);
    for (const run of candidates) {
      if (fitsNow()) return true;
      victims.add(run);
    }
    return fitsNow();
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
          shared.every((one) => mayReclaim(message, run, one));
        if (!allowed) return undefined;
        victims.add(run);
      }
      return addVictimsForCoresAndMemory(message, victims)
        ? [...victims]
        : undefined;
    },
  };
}

/** All accelerators that a reservation asks for. */
export function acceleratorsOf(message: Pick<Reserve, "members">): number[] {
  return message.members.flatMap((member) => member.accelerators);
}

/** Whether the reservation and the other runs are within the capacity. */
function fitsBeside(core: Core, message: Reserve, others: Run[]): boolean {
  const needs = sumNeeds(others);
  const members = message.members.length;
  needs.accelerators += acceleratorsOf(message).length;
  needs.cores += message.perMember.cores * members;
  needs.memoryMiB += message.perMember.memoryMiB * members;
  return fits(needs, core.state.inventory.capacity);
}
