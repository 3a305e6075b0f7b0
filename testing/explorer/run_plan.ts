/**
 * Runs a plan: everything in it happens at its time, and the ledger tells
 * whether a guarantee was broken.
 *
 * @module
 */

import { FRAME_LIMIT } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { isFinal, JobStatus } from "@dragonflyledge/scheduler";
import type { JobRequest } from "@dragonflyledge/scheduler";
import type { Happening, Input, Plan } from "./inputs.ts";
import { createLedger, Guarantee } from "./ledger.ts";
import type { Violation } from "./ledger.ts";
import { startAgentMachine } from "./model/agent_machine.ts";
import { createAgenda } from "./model/agenda.ts";
import { createNetwork } from "./model/network.ts";
import { createStoreModel } from "./model/store.ts";
import { startSuccession } from "./model/succession.ts";
import { createWork } from "./model/work.ts";

/** Time after the last input in which all faults have passed. */
const FAULT_TIME: Milliseconds = 20_000;
/** Time in which all jobs end once no fault is left. */
const END_TIME: Milliseconds = 150_000;
/** Interval at which the ends of all jobs are checked. */
const CHECK_INTERVAL: Milliseconds = 1000;
const MILLICORES_PER_TASK = 500;
const MEGABYTES_PER_TASK = 64;
/** Two of these are longer than the starts that one message holds. */
const LARGE_SPEC = "x".repeat(FRAME_LIMIT / 4);

type JobInput = Extract<Happening, { kind: "job" }>;

/** What came of a plan. */
export interface PlanResult {
  /** The first violation, after which the run stops. */
  violation?: Violation;
  /** Number of events of the simulation. */
  events: number;
}

/** Line of a log, for tracing a case. */
export type Trace = (
  at: Milliseconds,
  source: string,
  text: string,
  fields: Record<string, unknown>,
) => void;

/** Runs a plan up to its first violation, or until all jobs have ended. */
export function runPlan(plan: Plan, trace?: Trace): PlanResult {
  const { setup, inputs } = plan;
  const agenda = createAgenda();
  const jobs = new Map<string, JobInput>();
  const work = createWork({ agenda, jobs });
  const ledger = createLedger({
    now: agenda.now,
    maxAttempts: (id) => {
      const job = jobs.get(id)!;
      return job.lastsFor === undefined ? job.maxAttempts : Infinity;
    },
    isGang: work.isGang,
  });
  const network = createNetwork({ agenda, setup });
  const store = createStoreModel(agenda);
  const world = { agenda, ledger, network, store, work };
  const log =
    (source: string) =>
    (effect: { text: string; fields: Record<string, unknown> }) =>
      trace?.(agenda.now(), source, effect.text, effect.fields);
  const machines = setup.agents.map((agent, index) =>
    startAgentMachine({
      ...world,
      index,
      setup: agent,
      callsOutliveWorkers: setup.callsOutliveWorkers,
      onLog: log(`agent ${index}`),
    })
  );
  const succession = startSuccession({
    ...world,
    count: setup.leaders,
    guaranteed: setup.guaranteed,
    onLog: log("leader"),
  });

  function happen(input: Input): void {
    trace?.(agenda.now(), "input", input.kind, { ...input });
    switch (input.kind) {
      case "job":
        jobs.set(input.id, input);
        if (input.lastsFor !== undefined) {
          agenda.after(input.lastsFor, () => store.cancel(input.id));
        }
        return store.addJob(createRequest(input, agenda.now()));
      case "cancel":
        return store.cancel(input.job);
      case "hold":
      case "cut":
      case "drop":
      case "slow":
        return network.disturb(input);
      case "pauseLeader":
      case "replaceLeader":
      case "crashLeader":
        return succession.disturb(input);
      case "slowStore":
        return store.disturb(input);
      case "evacuate":
        return store.evacuate(input.domain, input.duration);
      default:
        return machines[input.agent]!.disturb(input);
    }
  }

  /** A job that the leader has removed had ended before. */
  function unfinished(): string[] {
    return [...store.jobs].flatMap(([id, { progress }]) => {
      const status = (progress?.[0] ?? JobStatus.Queued) as JobStatus;
      return isFinal(status) ? [] : [id];
    });
  }

  for (const input of inputs) agenda.after(input.at, () => happen(input));
  const faultsEnd = (inputs.at(-1)?.at ?? 0) + FAULT_TIME;
  const isOver = () => ledger.violation() !== undefined;
  try {
    agenda.runUntil(faultsEnd, isOver);
    while (!isOver() && unfinished().length > 0) {
      if (agenda.now() >= faultsEnd + END_TIME) {
        ledger.report(Guarantee.Ended, `${unfinished().join()} did not end`);
      } else agenda.runUntil(agenda.now() + CHECK_INTERVAL, isOver);
    }
  } catch (error) {
    ledger.report(Guarantee.Error, `${error}`);
  }
  return { violation: ledger.violation(), events: agenda.count() };
}

function createRequest(input: JobInput, now: Milliseconds): JobRequest {
  return {
    id: input.id,
    queue: "queue",
    team: input.team,
    spec: input.hasLargeSpec ? LARGE_SPEC : "spec",
    acceptedAt: now,
    policy: {
      service: "service",
      priority: input.priority,
      maxAttempts: input.maxAttempts,
    },
    steps: input.steps.map((step, index) => ({
      count: step.count,
      millicores: MILLICORES_PER_TASK,
      megabytes: MEGABYTES_PER_TASK,
      accelerators: step.accelerators,
      estimate: step.duration,
      after: index === 0 ? [] : [index - 1],
      gang: step.gang,
      sameRack: false,
      checkpointing: false,
      longRunning: input.lastsFor !== undefined,
      label: "",
      dataRack: "",
      maxPerWorker: 0,
      image: "",
      fillsIdleCores: false,
    })),
  };
}
