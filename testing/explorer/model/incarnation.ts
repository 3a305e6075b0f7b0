/**
 * Model of one worker incarnation: its lease, fence, runs and ends.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { RunEnding, runKey } from "@dragonflyledge/scheduler";
import type {
  EndedTask,
  RunName,
  RunningTask,
} from "@dragonflyledge/scheduler";
import type { AgentSetup, Deadly } from "../inputs.ts";
import { Guarantee } from "../ledger.ts";
import type { Ledger, PlacedRun } from "../ledger.ts";
import type { Agenda } from "./agenda.ts";
import { HEARTBEAT_INTERVAL, LONGEST_LEASE } from "./times.ts";
import type { Work, WorkingRun } from "./work.ts";

/** Time for which a start may still count on a capacity that shrank. */
const SHRINK_NOTICE: Milliseconds = 3000 + HEARTBEAT_INTERVAL;

interface LiveRun extends WorkingRun {
  placed: PlacedRun;
  stopping: boolean;
}

/** Lists that a worker answers to a hold call. */
export interface WorkerLists {
  running: RunningTask[];
  ended: EndedTask[];
  /** Whether `ended` holds all ends that are not acknowledged. */
  allEnds: boolean;
}

/** Model of a worker incarnation; its calls are those that pass the fence. */
export interface Incarnation {
  readonly id: string;
  readonly born: Milliseconds;
  clock(): Milliseconds;
  /** Whether the fence lets the call pass, which it may raise. */
  passes(token: number): boolean;
  /** Returns why the start is refused, or undefined. */
  start(
    fields: RunName & {
      until: Milliseconds;
      /** Time from which on the caller knew the capacity. */
      knownSince: Milliseconds;
    },
  ): string | undefined;
  stop(run: RunName): void;
  /** Calls `answer` with the lists after a new end, or after `wait`. */
  hold(fields: {
    until?: Milliseconds;
    acknowledged: number;
    wait: Milliseconds;
    answer: (lists: WorkerLists) => void;
  }): void;
  resize(accelerators: number): void;
  accelerators(): number;
  /** Ends with all runs, and calls the listeners. */
  crash(): void;
  /** Listeners for the end of the incarnation. */
  readonly goneListeners: Set<() => void>;
}

/** Creates an incarnation whose clock starts at 0. */
export function createIncarnation(fields: {
  id: string;
  setup: AgentSetup;
  accelerators: number;
  agenda: Agenda;
  ledger: Ledger;
  work: Work;
  onDeadly: (deadly: Deadly) => void;
}): Incarnation {
  const { id, agenda, ledger, work, setup } = fields;
  const born = agenda.now();
  const key = `${id}@${born}`;
  const running = new Map<string, LiveRun>();
  /** Highest run that was stopped or has ended, by task. */
  const barred = new Map<string, number>();
  const capacities = [{ from: born, accelerators: fields.accelerators }];
  const goneListeners = new Set<() => void>();
  let ended: EndedTask[] = [];
  let nextEnd = 1;
  let lastListed = 0;
  let waiting: (() => void)[] = [];
  let fence = 0;
  let leaseUntil: Milliseconds = 0;
  let alive = true;

  const clock = () => Math.floor((agenda.now() - born) * setup.clockRate);

  function extendLease(until: Milliseconds | undefined): void {
    if (until === undefined) return;
    const limited = Math.min(until, clock() + LONGEST_LEASE);
    if (limited <= leaseUntil) return;
    const isWatched = leaseUntil > clock();
    leaseUntil = limited;
    if (!isWatched) watchLease();
  }

  /** Ends all runs once the lease has expired. */
  function watchLease(): void {
    const left = Math.max(1, (leaseUntil - clock()) / setup.clockRate);
    agenda.after(left, () => {
      if (!alive) return;
      if (clock() < leaseUntil) return watchLease();
      ledger.lapsed(key);
      for (const run of [...running.values()]) end(run, RunEnding.Lapsed);
    });
  }

  function end(run: LiveRun, ending: RunEnding): void {
    const { task } = run;
    if (running.get(task) !== run) return;
    running.delete(task);
    bar(run);
    ended.push({
      number: nextEnd++,
      task,
      run: run.run,
      ending,
      checkpoint: "",
    });
    ledger.ended(run.placed, ending);
    work.ended(run, ending);
    const calls = waiting;
    waiting = [];
    for (const call of calls) call();
  }

  function bar({ task, run }: RunName): void {
    barred.set(task, Math.max(barred.get(task) ?? 0, run));
  }

  function start({ task, run, until, knownSince }: {
    task: string;
    run: number;
    until: Milliseconds;
    knownSince: Milliseconds;
  }): string | undefined {
    if (until <= clock()) return "late";
    extendLease(until);
    if (running.get(task)?.run === run) return undefined;
    if ((barred.get(task) ?? 0) >= run) return "old";
    const live: LiveRun = {
      task,
      run,
      placed: { task, run, worker: key },
      stopping: false,
      rate: setup.rate ?? 1,
      end: (ending) => end(live, ending),
      crashWorker: (deadly) => {
        if (alive) fields.onDeadly(deadly);
      },
    };
    checkRoom(live, knownSince);
    ledger.started(live.placed);
    // A lower run that is still at work has been reported above.
    running.set(task, live);
    work.begin(live);
    return undefined;
  }

  function checkRoom({ task, run }: RunName, knownSince: Milliseconds): void {
    let used = work.need(task);
    for (const other of running.keys()) used += work.need(other);
    const since = knownSince - SHRINK_NOTICE;
    const counted = capacities.filter((_, index) =>
      index === capacities.length - 1 || capacities[index + 1]!.from > since
    );
    const room = Math.max(...counted.map(({ accelerators }) => accelerators));
    if (used <= room) return;
    ledger.report(
      Guarantee.Room,
      `${runKey({ task, run })} starts on ${key}: ${used} of ${room} in use`,
    );
  }

  function stop(name: RunName): void {
    bar(name);
    const run = running.get(name.task);
    if (!run || run.run > name.run || run.stopping) return;
    run.stopping = true;
    agenda.after(setup.stopDelay, () => run.end(RunEnding.Stopped));
  }

  function acknowledge(number: number): void {
    for (const each of ended) {
      if (each.number > number) break;
      ledger.noted({ ...each, worker: key }, each.ending);
    }
    ended = ended.filter((each) => each.number > number);
  }

  /** The ends of the next answer. */
  const nextPage = () => ended.slice(0, setup.endsPerAnswer);

  const hold: Incarnation["hold"] = ({ until, acknowledged, wait, answer }) => {
    extendLease(until);
    acknowledge(acknowledged);
    let answered = false;
    const answerOnce = () => {
      if (answered || !alive) return;
      answered = true;
      const listed = nextPage();
      lastListed = listed.at(-1)?.number ?? lastListed;
      answer({
        running: [...running.values()].map((run) => ({
          task: run.task,
          run: run.run,
          checkpoint: "",
          percent: Math.floor(work.percent(run)),
        })),
        ended: listed,
        allEnds: listed.length < setup.endsPerAnswer,
      });
    };
    const isNew = (nextPage().at(-1)?.number ?? 0) > lastListed;
    if (wait === 0 || isNew) return answerOnce();
    waiting.push(answerOnce);
    agenda.after(wait, answerOnce);
  };

  return {
    id,
    born,
    clock,
    passes: (token) => {
      if (token < fence) return false;
      fence = token;
      return true;
    },
    start,
    stop,
    hold,
    resize: (accelerators) => {
      capacities.push({ from: agenda.now(), accelerators });
    },
    accelerators: () => capacities.at(-1)!.accelerators,
    crash: () => {
      alive = false;
      for (const run of [...running.values()]) {
        running.delete(run.task);
        ledger.vanished(run.placed);
        work.ended(run, RunEnding.Lapsed);
      }
      for (const listener of [...goneListeners]) listener();
    },
    goneListeners,
  };
}
