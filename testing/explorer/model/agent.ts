/**
 * A process of an agent over its reducer.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey } from "@dragonflyledge/scheduler";
import type { AgentReport, RunName } from "@dragonflyledge/scheduler";
import {
  createWorkerControl,
  latestToken,
} from "@dragonflyledge/worker-control";
import type {
  Announcement,
  ControlEffect,
  ControlEvent,
} from "@dragonflyledge/worker-control";
import { CallKind } from "../inputs.ts";
import { Guarantee } from "../ledger.ts";
import type { Ledger } from "../ledger.ts";
import type { Agenda } from "./agenda.ts";
import { performCall } from "./agent_calls.ts";
import type { Calls } from "./calls.ts";
import { domainOf } from "./names.ts";
import type { LinkEnd, Network } from "./network.ts";
import type { Process } from "./process.ts";
import { GRANT, LONGEST_LEASE } from "./times.ts";

const TICK_INTERVAL: Milliseconds = 200;
const NO_LINK_LIMIT: Milliseconds = 10_000;
const IDENTIFY_TIMEOUT: Milliseconds = 300;
/** Time after which no start is sent in an evacuated failure domain. */
const EVACUATION_BOUND: Milliseconds = 5000;

/** An agent's process. */
export interface AgentModel {
  onHeartbeat(announcement: Announcement): void;
  onLeft(id: string): void;
}

/** Starts a process of the agent `index`. */
export function startAgentModel(fields: {
  index: number;
  agenda: Agenda;
  network: Network;
  ledger: Ledger;
  calls: Calls;
  process: Process;
  /** Time for which the machine was suspended in all. */
  suspended: () => Milliseconds;
  /** Simulated time from which on the agent knows its worker's capacity. */
  knownSince: () => Milliseconds;
  /** When its failure domain began to be evacuated, if it is. */
  evacuatedAt: () => Milliseconds | undefined;
  register: () => void;
  onLog: (effect: Extract<ControlEffect, { kind: "log" }>) => void;
}): AgentModel {
  const { agenda, process, calls, ledger } = fields;
  const startedAt = agenda.now();
  const suspendedBefore = fields.suspended();
  const control = createWorkerControl({
    process: `${fields.index}@${startedAt}`,
    times: { grant: GRANT, longestLease: LONGEST_LEASE },
    failureDomain: domainOf(fields.index),
  });
  const links = new Set<LinkEnd<AgentReport>>();
  let confirmed: { id: string; born: Milliseconds } | undefined;
  let lastLinkAt = now();
  let highestToken = 0;

  function suspended(): Milliseconds {
    return fields.suspended() - suspendedBefore;
  }

  /** The clock of the process, which stands still during suspensions. */
  function now(): Milliseconds {
    return agenda.now() - startedAt - suspended();
  }

  function dispatch(event: ControlEvent): void {
    const effects = control.reduce({ ...event, suspended: suspended() });
    for (const effect of effects) perform(effect);
  }

  function perform(effect: ControlEffect): void {
    switch (effect.kind) {
      case "report": {
        // The reducer goes on to change this list.
        const emptied = [...effect.report.emptied];
        for (const link of links) link.send({ ...effect.report, emptied });
        return;
      }
      case "log":
        return fields.onLog(effect);
      default:
        checkFence(effect.token);
        if (effect.kind === "start") checkEvacuation(effect.order);
        return performCall({
          calls,
          effect,
          now,
          knownSince: fields.knownSince(),
          dispatch: (answer) =>
            process.run(() =>
              dispatch({ ...answer, now: now() } as ControlEvent)
            ),
        });
    }
  }

  function checkFence(token: number): void {
    if (token < highestToken) {
      ledger.report(Guarantee.Fence, `${token} is sent after ${highestToken}`);
    }
    highestToken = Math.max(highestToken, token);
  }

  /** The leaders' copies of the domains lag by a moment at most. */
  function checkEvacuation(order: RunName): void {
    const since = fields.evacuatedAt();
    if (since === undefined || agenda.now() - since <= EVACUATION_BOUND) return;
    const run = runKey(order);
    ledger.report(Guarantee.Evacuated, `${run} is started by ${fields.index}`);
  }

  /** Asks the worker whether it sent the heartbeat. */
  function confirm(announcement: Announcement): void {
    const { id, born } = announcement;
    calls.send<Milliseconds>({
      kind: CallKind.Hold,
      id,
      token: latestToken(control.state),
      timeout: IDENTIFY_TIMEOUT,
      carryOut: (worker, answer) => answer(worker.born),
      done: (outcome) =>
        process.run(() => {
          if (outcome.kind !== "answer" || outcome.answer !== born) return;
          confirmed = { id, born };
          dispatch({ kind: "announced", now: now(), announcement });
        }),
    });
  }

  function tick(): void {
    dispatch({ kind: "tick", now: now() });
    if (links.size > 0) lastLinkAt = now();
    else if (now() - lastLinkAt > NO_LINK_LIMIT) {
      lastLinkAt = now();
      fields.register();
    }
  }

  fields.network.listen(fields.index, (link) => {
    process.run(() => {
      links.add(link);
      dispatch({ kind: "linked", now: now() });
    });
    return {
      onMessage: (orders) =>
        process.run(() => dispatch({ kind: "orders", now: now(), orders })),
      onClose: () =>
        process.run(() => {
          links.delete(link);
        }),
    };
  });
  process.repeat(() => TICK_INTERVAL, tick);
  fields.register();
  return {
    onHeartbeat: (announcement) =>
      process.run(() => {
        const { id, born } = announcement;
        if (confirmed?.id !== id || confirmed.born !== born) {
          return confirm(announcement);
        }
        dispatch({ kind: "announced", now: now(), announcement });
      }),
    onLeft: (id) =>
      process.run(() => {
        if (confirmed?.id === id) dispatch({ kind: "left", now: now(), id });
      }),
  };
}
