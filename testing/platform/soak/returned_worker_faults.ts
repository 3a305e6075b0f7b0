/**
 * Workers that start again under their ids while calls to their former
 * incarnations wait, and whose agents are then cut off from the leader while
 * the workers go on.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { ProgramProcess } from "../programs.ts";
import { pick, sleep, toNames } from "./fault_target.ts";
import type { AffectedNames, FaultTarget } from "./fault_target.ts";
import type { LongFault } from "./overtaking_faults.ts";
import { findLeader, restart } from "./process_faults.ts";

/** Bounds of a time in milliseconds. */
interface Bounds {
  shortest: number;
  longest: number;
}

/**
 * Time without answers. Within the shortest one, a call that extends the lease
 * fails and is repeated.
 */
const HALT: Bounds = { shortest: 3000, longest: 6000 };
/** Time from the worker's return until it carries out the calls that waited. */
const CALL_DELAY: Bounds = { shortest: 500, longest: 1500 };
/** Time from the worker's return until its agent is cut off. */
const CUT_DELAY: Bounds = { shortest: 500, longest: 3000 };
/** Time for which the agent is cut off, longer than until it counts as lost. */
const CUT: Bounds = { shortest: 9000, longest: 14_000 };
/** Bounds of the whole fault. */
const WHOLE: Bounds = {
  shortest: HALT.longest + CUT_DELAY.longest + CUT.shortest,
  longest: HALT.longest + CUT_DELAY.longest + CUT.longest,
};

function drawTime({ random }: FaultTarget, bounds: Bounds): number {
  return bounds.shortest + random() * (bounds.longest - bounds.shortest);
}

/** Picks a worker by its index, or none if half of them are affected. */
function pickWorker(target: FaultTarget): number | undefined {
  const { returning, programs: { workers } } = target;
  const index = pick(target, [...workers.keys()]);
  if (returning.has(index) || returning.size >= workers.length / 2) return;
  return index;
}

/**
 * Halts the worker, starts it again, and cuts its agent off until `time` is
 * over or the longest cut. `meanwhile` runs between the return and the cut.
 */
async function returnWorker(
  target: FaultTarget,
  index: number,
  time: number,
  meanwhile: (agent: ProgramProcess) => void,
): Promise<void> {
  const end = performance.now() + time;
  const halt = drawTime(target, HALT);
  const callDelay = drawTime(target, CALL_DELAY);
  const cutDelay = drawTime(target, CUT_DELAY);
  const agent = target.programs.agents[index]!;
  const { links } = agent.relays;
  target.returning.add(index);
  target.haltWorker(index);
  await sleep(halt);
  target.programs.workers[index]!.restart({ callsAfter: sleep(callDelay) });
  await sleep(cutDelay * target.random());
  meanwhile(agent);
  await sleep(Math.max(0, end - time + halt + cutDelay - performance.now()));
  links.silence();
  links.mute(true);
  await sleep(Math.min(CUT.longest, end - performance.now()));
  links.mute(false);
  links.cut();
  target.returning.delete(index);
}

/** Creates the fault; `meanwhile` returns what it affects besides the agent. */
function createFault(
  meanwhile: (target: FaultTarget, agent: ProgramProcess) => void,
  listAffected: (target: FaultTarget) => AffectedNames,
): LongFault {
  return {
    ...WHOLE,
    inject: (target, time) => {
      const index = pickWorker(target);
      if (index === undefined) return [];
      void returnWorker(
        target,
        index,
        time,
        (agent) => meanwhile(target, agent),
      );
      const agent = target.programs.agents[index]!;
      return [agent.name, ...listAffected(target)];
    },
  };
}

/** Faults of workers that return under their ids, by name. */
export const RETURNED_WORKER_FAULTS: Record<string, LongFault> = {
  /** A worker returns, and its agent is cut off. */
  returnWorker: createFault(() => {}, () => []),
  /** The same, and the agent's process is killed in between. */
  returnUnderNewAgent: createFault(
    (target, agent) => restart(target, agent, "SIGKILL"),
    () => [],
  ),
  /** The same, and the leader is killed in between. */
  returnUnderNewLeader: createFault(
    (target) => restart(target, findLeader(target), "SIGKILL"),
    ({ programs }) => toNames(programs.entries),
  ),
};
