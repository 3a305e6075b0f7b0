/**
 * Processes of which one leads, and their elections.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { SchedulerEffect } from "@dragonflyledge/scheduler";
import type { Happening } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";
import type { Network } from "./network.ts";
import { createProcess } from "./process.ts";
import type { Process } from "./process.ts";
import type { StoreModel } from "./store.ts";
import { startTermModel } from "./term.ts";
import type { TermModel } from "./term.ts";

const CHECK_INTERVAL: Milliseconds = 250;
/** Time after which the key of a leader that stopped is removed. */
const LEADER_LEASE: Milliseconds = 1100;
/** A leader steps down this long before its lease may end. */
const SAFETY_MARGIN: Milliseconds = 150;
const ELECTION_PAUSE: Milliseconds = 3000;

interface Candidate {
  index: number;
  process: Process;
  term?: TermModel;
  /** No campaign before this time. */
  restsUntil: Milliseconds;
  /** Time for which its machine was suspended. */
  suspended: Milliseconds;
}

type LeaderFault = Extract<
  Happening,
  { kind: "pauseLeader" | "replaceLeader" | "crashLeader" }
>;

/** Lets `count` processes lead in turn. */
export function startSuccession(fields: {
  count: number;
  agenda: Agenda;
  network: Network;
  store: StoreModel;
  /** Accelerators guaranteed to `GUARANTEED_TEAM`. */
  guaranteed: number;
  onLog: (effect: Extract<SchedulerEffect, { kind: "log" }>) => void;
}): { disturb(fault: LeaderFault): void } {
  const { agenda, store } = fields;
  const candidates = Array.from({ length: fields.count }, (_, index) => ({
    index,
    process: createProcess(agenda),
    restsUntil: 0,
    suspended: 0,
  })) as Candidate[];
  let last = -1;

  function check(): void {
    if (store.epoch() === 0) elect();
    agenda.after(CHECK_INTERVAL, check);
  }

  /** Elects the next process that can lead. */
  function elect(): void {
    for (let step = 1; step <= candidates.length; step++) {
      const index = (last + step) % candidates.length;
      const candidate = candidates[index]!;
      const { process, restsUntil, term } = candidate;
      if (!process.isAlive() || process.isPaused()) continue;
      if (agenda.now() < restsUntil || (term && !term.hasEnded())) continue;
      last = index;
      return lead(candidate);
    }
  }

  function lead(candidate: Candidate): void {
    const epoch = store.elect();
    candidate.term = startTermModel({
      ...fields,
      leader: candidate.index,
      epoch,
      process: candidate.process,
      now: () => agenda.now() - candidate.suspended,
      onIsolated: () => {
        candidate.restsUntil = agenda.now() + ELECTION_PAUSE;
        stepDown(candidate, epoch);
      },
    });
  }

  function stepDown(candidate: Candidate, epoch: number): void {
    if (candidate.term?.epoch === epoch) candidate.term.end();
    store.vacate(epoch);
  }

  /** Lets the term act until then, and removes its key now or later. */
  function expire(
    candidate: Candidate,
    { actsFor, keyFor }: { actsFor: Milliseconds; keyFor: Milliseconds },
  ): void {
    const { term, process } = candidate;
    if (!term) return;
    term.expireAt(agenda.now() + actsFor);
    agenda.after(keyFor, () => store.vacate(term.epoch));
    process.after(actsFor + CHECK_INTERVAL, () => term.end());
  }

  function disturb(fault: LeaderFault): void {
    const epoch = store.epoch();
    const candidate = candidates.find(({ term }) =>
      term?.epoch === epoch && !term.hasEnded()
    );
    if (!candidate || candidate.process.isPaused()) return;
    switch (fault.kind) {
      case "pauseLeader":
        candidate.process.pause(fault.duration, () => {
          if (fault.clockStops) candidate.suspended += fault.duration;
        });
        if (fault.duration < LEADER_LEASE) return;
        return expire(candidate, {
          actsFor: LEADER_LEASE - SAFETY_MARGIN,
          keyFor: LEADER_LEASE,
        });
      case "replaceLeader":
        return expire(candidate, { actsFor: fault.overlap, keyFor: 0 });
      case "crashLeader": {
        candidate.process.end();
        candidate.term!.end();
        agenda.after(LEADER_LEASE, () => store.vacate(epoch));
        agenda.after(fault.downFor, () => {
          candidate.process = createProcess(agenda);
          candidate.term = undefined;
        });
      }
    }
  }

  check();
  return { disturb };
}
