/**
 * Invariants of the agent's state, checked after each event.
 *
 * @module
 */

import {
  assertInvariant,
  Invariant,
  MemberState,
  SECOND,
} from "@dragonflyledge/model";
import type { AgentEffect, AgentEvent } from "@dragonflyledge/model";
import { ATTEMPT_RETENTION } from "./answers.ts";
import { getLocalHomes } from "./homes.ts";
import { fits, isHolding, sumNeeds } from "./runs.ts";
import { attemptKey } from "./state.ts";
import type { Core, Run } from "./state.ts";
import { versionsOf } from "./versions.ts";

/** Checks of the state of one agent. */
export interface Invariants {
  /** Records the state before an event. */
  before(): void;
  /** Checks the state after an event; throws a `StepError` if it is invalid. */
  after(event: AgentEvent): void;
}

/** Creates the checks over the state of one agent. */
export function createInvariants(fields: { core: Core }): Invariants {
  const { core } = fields;
  // Recorded apart from `core.attempts`, so that a fault there is detected.
  const calls = new Map<string, number>();
  let wasLeaving = false;
  let versionsBefore = versionsOf(core);
  let step = "";
  let forgotAt = -Infinity;

  function check(invariant: Invariant, holds: boolean, detail: string): void {
    const peer = core.state.inventory.worker;
    assertInvariant({ invariant, holds, step, peer, detail });
  }

  function checkCall(effect: AgentEffect & { kind: "callEndpoint" }): void {
    const key = attemptKey(effect.attempt);
    check(
      Invariant.NoWorkAfterLeaving,
      !wasLeaving,
      `attempt ${key} was started by a leaving agent`,
    );
    check(
      Invariant.AtMostOnce,
      !calls.has(key),
      `attempt ${key} was called twice`,
    );
    check(
      Invariant.NotRunTrue,
      !core.tombstones.has(key),
      `attempt ${key} was called although it has a tombstone`,
    );
    calls.set(key, core.now);
  }

  function checkEffects(): void {
    for (const effect of core.effects) {
      if (effect.kind === "callEndpoint") checkCall(effect);
      if (effect.kind === "startTask") {
        check(
          Invariant.NoWorkAfterLeaving,
          !wasLeaving,
          "a leaving agent started a task",
        );
      }
      if (effect.kind !== "send") continue;
      const { message } = effect;
      const notRun = message.kind === "attemptRefused" ||
        (message.kind === "attemptState" && message.state === "absent");
      if (!notRun) continue;
      const running = core.attempts.has(attemptKey(message.attempt));
      check(
        Invariant.NotRunTrue,
        !running,
        "an attempt that was called is reported as not run",
      );
    }
  }

  function checkVersions(): void {
    const now = versionsOf(core);
    const forward = now.configuration >= versionsBefore.configuration &&
      now.homes >= versionsBefore.homes;
    check(
      Invariant.VersionForward,
      forward,
      "a lower version replaced a higher one",
    );
  }

  function forgetCalls(): void {
    if (core.now - forgotAt < SECOND) return;
    forgotAt = core.now;
    for (const [key, at] of calls) {
      if (core.now - at < ATTEMPT_RETENTION) return;
      calls.delete(key);
    }
  }

  return {
    before() {
      wasLeaving = core.state.leaving;
      versionsBefore = versionsOf(core);
    },
    after(event) {
      step = event.kind === "message" ? event.message.kind : event.kind;
      checkEffects();
      checkVersions();
      checkCapacity(core, step);
      checkLeases(core, step);
      checkHomes(core, step);
      forgetCalls();
    },
  };
}

/**
 * Checks the whole state. Tests call it after each event, in addition to the
 * checks of the reducer.
 */
export function checkState(fields: { core: Core; step: string }): void {
  const { core, step } = fields;
  checkCapacity(core, step);
  checkLeases(core, step);
  checkHomes(core, step);
  const fail = (invariant: Invariant, detail: string) =>
    assertInvariant({
      invariant,
      holds: false,
      step,
      peer: core.state.inventory.worker,
      detail,
    });
  for (const record of core.openCalls) {
    if (core.attempts.get(record.key) !== record) {
      fail(
        Invariant.AtMostOnce,
        `attempt ${record.key} has a call but no record`,
      );
    }
    if (core.tombstones.has(record.key)) {
      fail(
        Invariant.NotRunTrue,
        `attempt ${record.key} has a call and a tombstone`,
      );
    }
  }
  for (const run of core.runs.values()) {
    const highest = core.epochs.get(run.id.job)?.epoch ?? -Infinity;
    if (run.id.epoch > highest) {
      fail(
        Invariant.GangWhole,
        `job ${run.id.job} has an epoch that was not recorded`,
      );
    }
  }
}

/** `within-capacity`: holders need no more than the worker and endpoint have. */
function checkCapacity(core: Core, step: string): void {
  const { inventory } = core.state;
  const holders = [...core.runs.values()].filter((run) =>
    run.phase !== "reserving" && !run.overCapacity
  );
  const used = holders.flatMap(acceleratorsOf);
  const holdsAll = fits(sumNeeds(holders), inventory.capacity) &&
    new Set(used).size === used.length &&
    core.openCalls.size <= Math.min(inventory.slots, inventory.connections);
  assertInvariant({
    invariant: Invariant.WithinCapacity,
    holds: holdsAll,
    step,
    peer: inventory.worker,
    detail: `accelerators ${used.join(" ")}, slots ${core.openCalls.size}`,
  });
}

/** `gang-whole`: after the gang's lease has lapsed, all members are stopped. */
function checkLeases(core: Core, step: string): void {
  for (const run of core.runs.values()) {
    if (run.phase !== "committed" || core.now <= run.leaseUntil) continue;
    const stopping = run.members.every((member) =>
      !isHolding(member.report) || member.report.state === MemberState.Stopping
    );
    assertInvariant({
      invariant: Invariant.GangWhole,
      holds: stopping,
      step,
      peer: core.state.inventory.worker,
      detail: `job ${run.id.job} runs although its lease has lapsed`,
    });
  }
}

/** `guarantee-reclaimable`: work on the home of another team is revocable. */
function checkHomes(core: Core, step: string): void {
  const { homes, inventory } = core.state;
  const local = getLocalHomes({ homes, worker: inventory.worker });
  for (const run of core.runs.values()) {
    if (run.revocable || run.displaced) continue;
    const foreign = acceleratorsOf(run).some((one) =>
      ![undefined, run.team].includes(local.teamOf(one))
    );
    assertInvariant({
      invariant: Invariant.GuaranteeReclaimable,
      holds: local.known && !foreign,
      step,
      peer: inventory.worker,
      detail:
        `job ${run.id.job} is not revocable and may be on another team's home`,
    });
  }
}

function acceleratorsOf(run: Run): number[] {
  return run.members.filter((member) => isHolding(member.report))
    .flatMap((member) => member.report.accelerators);
}
