/**
 * Faults that let newer messages overtake older ones, or last longer than a
 * grant or a lease: held connections, former connections that speak again, long
 * pauses, and workers that lapse and answer again.
 *
 * @module
 */

import type { Relay } from "@dragonflyledge/fakes";
import type { ProgramProcess } from "../programs.ts";
import { pick, sleep, toNames } from "./fault_target.ts";
import type { AffectedNames, Fault, FaultTarget } from "./fault_target.ts";
import { findLeader, pauseProcess } from "./process_faults.ts";

/**
 * Time in milliseconds after which an agent that was not heard from counts as
 * lost: a grant of 8 s and 0.3 s more.
 */
const AGENT_LOSS_TIME = 8300;
/** Longest time of a lease in milliseconds. */
const LONGEST_LEASE = 10_000;
/**
 * Time in milliseconds for which a former connection waits at most for its
 * successor; enough for a link to be found silent, closed and dialled anew.
 */
const SUCCESSOR_TIMEOUT = 4000;
/** Longest random delay after the successor works, in milliseconds. */
const SPEECH_DELAY_RANGE = 500;
/** Time in milliseconds for which a pause waits at most for a start. */
const START_TIMEOUT = 1500;
/** Time between two checks of a condition, in milliseconds. */
const POLL_INTERVAL = 5;
/**
 * Time in milliseconds for which orders are held before a worker that was cut
 * off counts as emptied, so that they name what ran there.
 */
const HELD_BEFORE_LAPSE = 4000;

/** A fault with bounds of its duration, in milliseconds. */
export interface LongFault {
  inject: Fault;
  shortest: number;
  longest: number;
}

/** Bounds of faults that may be shorter or longer than a grant. */
const ANY = { shortest: 300, longest: 14_000 };
/** Bounds of faults that last longer than a grant. */
const LONGER_THAN_GRANT = { shortest: 9000, longest: 14_000 };
/** Bounds of faults that last longer than a lease. */
const LONGER_THAN_LEASE = {
  shortest: LONGEST_LEASE + 500,
  longest: LONGEST_LEASE + 4000,
};
/** Bounds of faults after which a former connection waits for its successor. */
const LONGER_THAN_LOSS = {
  shortest: AGENT_LOSS_TIME + SUCCESSOR_TIMEOUT + 200,
  longest: AGENT_LOSS_TIME + SUCCESSOR_TIMEOUT + 4000,
};

/** Waits until `met` returns true, for `limit` milliseconds at most. */
async function waitFor(met: () => boolean, limit: number): Promise<void> {
  const end = performance.now() + limit;
  while (!met() && performance.now() < end) await sleep(POLL_INTERVAL);
}

/** Returns a check whether the process has since logged this text. */
function watchLog({ lines }: ProgramProcess, text: string): () => boolean {
  let next = lines.length;
  return () => {
    while (next < lines.length) if (lines[next++]!.includes(text)) return true;
    return false;
  };
}

/** Waits until a start was ordered of one of the agents. */
async function waitForStart(agents: ProgramProcess[]): Promise<void> {
  const checks = agents.map((agent) => watchLog(agent, "Start ordered."));
  await waitFor(() => checks.some((check) => check()), START_TIMEOUT);
}

/** Returns a check whether bytes have since passed in both directions. */
function watchBytes({ bytes }: Relay): () => boolean {
  const { toTarget, toCaller } = bytes;
  return () => bytes.toTarget > toTarget && bytes.toCaller > toCaller;
}

/**
 * Keeps what the open connections of the relay carry, and silences new ones for
 * `time` less SUCCESSOR_TIMEOUT. Once a newer connection carries bytes both
 * ways, the former ones deliver what they held.
 */
async function holdFormer(
  { random }: FaultTarget,
  relay: Relay,
  time: number,
): Promise<void> {
  const end = performance.now() + time;
  const delay = random() * SPEECH_DELAY_RANGE;
  // The peer goes on sending for a while if only one direction is held first.
  const oneWay = random() < 0.5 ? 0 : 1500;
  relay.hold("to-target");
  relay.mute(true);
  await sleep(oneWay);
  relay.hold("to-caller");
  await sleep(time - SUCCESSOR_TIMEOUT - oneWay);
  relay.mute(false);
  await waitFor(watchBytes(relay), end - delay - performance.now());
  await sleep(delay);
  relay.release();
}

/** Picks the links relay of an agent or entry, and names what it affects. */
function pickLinks(
  target: FaultTarget,
): { relay: Relay; affected: AffectedNames } {
  const { entries, agents } = target.programs;
  if (target.random() < 0.3) {
    return {
      relay: pick(target, entries).relays.links,
      affected: toNames(entries),
    };
  }
  const agent = pick(target, agents);
  return { relay: agent.relays.links, affected: [agent.name] };
}

/** Keeps what the connections carry in one direction, for `time`. */
function holdOneWay(target: FaultTarget, relay: Relay, time: number): void {
  relay.hold(pick(target, ["to-target", "to-caller"] as const));
  setTimeout(() => relay.release(), time);
}

/** Faults that let messages be overtaken, by name. */
export const OVERTAKING_FAULTS: Record<string, LongFault> = {
  /** Holds links one way, then delivers all that they held. */
  holdLinks: {
    ...ANY,
    inject: (target, time) => {
      const { relay, affected } = pickLinks(target);
      holdOneWay(target, relay, time);
      return affected;
    },
  },
  /** Holds the connections to the store or to a worker one way. */
  holdCalls: {
    ...ANY,
    inject: (target, time) => {
      const { relays, name } = pick(target, [
        ...target.programs.entries,
        ...target.programs.agents,
      ]);
      const kind = pick(target, ["store", "worker"] as const);
      holdOneWay(target, relays[kind] ?? relays.store, time);
      return [name];
    },
  },
  /** Lets former links deliver what they held after newer ones work. */
  formerLinks: {
    ...LONGER_THAN_LOSS,
    inject: (target, time) => {
      const { relay, affected } = pickLinks(target);
      void holdFormer(target, relay, time);
      return affected;
    },
  },
  /** Pauses an agent for longer than a grant while it starts tasks. */
  pauseAgentLong: {
    ...LONGER_THAN_GRANT,
    inject: async (target, time) => {
      const agent = pick(target, target.programs.agents);
      await waitForStart([agent]);
      return pauseProcess(target, agent, time);
    },
  },
  /** Pauses the leader for longer than a grant while tasks start. */
  pauseLeaderLong: {
    ...LONGER_THAN_GRANT,
    inject: async (target, time) => {
      await waitForStart(target.programs.agents);
      return pauseProcess(target, findLeader(target), time);
    },
  },
  /**
   * Keeps the calls to a worker until its lease has lapsed; then it gets them
   * all, before or after newer ones.
   */
  lapseWorker: {
    ...LONGER_THAN_LEASE,
    inject: (target, time) => {
      const { relays, name } = pick(target, target.programs.agents);
      const worker = relays.worker!;
      const delay = pick(target, [0, SPEECH_DELAY_RANGE]);
      worker.hold();
      worker.mute(true);
      setTimeout(() => worker.mute(false), time - delay);
      setTimeout(() => worker.release(), time);
      return [name];
    },
  },
  /**
   * The same, while the agent's links hold the orders that were sent before the
   * leader knew that nothing runs there. They arrive after the worker answers.
   */
  lapseUnderOrders: {
    ...LONGER_THAN_LEASE,
    inject: (target, time) => {
      const agent = pick(target, target.programs.agents);
      void lapseUnderOrders(target, agent, time);
      return [agent.name];
    },
  },
};

async function lapseUnderOrders(
  { random }: FaultTarget,
  agent: ProgramProcess,
  time: number,
): Promise<void> {
  const end = performance.now() + time;
  const left = () => end - performance.now();
  const delay = random() * SPEECH_DELAY_RANGE;
  const { links } = agent.relays;
  const worker = agent.relays.worker!;
  const isEmptied = watchLog(agent, "Nothing can run on the worker any more.");
  worker.hold();
  worker.mute(true);
  await sleep(AGENT_LOSS_TIME - HELD_BEFORE_LAPSE);
  links.hold("to-target");
  await waitFor(isEmptied, left() - delay);
  worker.mute(false);
  worker.release();
  await sleep(Math.min(delay, left()));
  links.release();
}
