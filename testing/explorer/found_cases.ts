/**
 * Plans that once broke a guarantee, shrunk, each with its cause.
 *
 * @module
 */

import { CallKind } from "./inputs.ts";
import type { AgentSetup, Happening, Plan } from "./inputs.ts";

/** A plan that once broke a guarantee. */
export interface RegressionCase {
  name: string;
  /** The program error, with the file that holds it. */
  cause: string;
  plan: Plan;
}

const AGENT: AgentSetup = {
  accelerators: 4,
  clockRate: 1,
  linkDelays: [5],
  stopDelay: 10,
  endsPerAnswer: 500,
};
const TWO_AGENTS = {
  leaders: 1,
  agents: [AGENT, AGENT],
  guaranteed: 0,
  callsOutliveWorkers: true,
};

/** Stopped runs end late enough to be seen beside the next ones. */
const TWO_SLOW_AGENTS = {
  ...TWO_AGENTS,
  agents: [{ ...AGENT, stopDelay: 200 }, { ...AGENT, stopDelay: 200 }],
};

/** A job of one task. */
function singleTask(duration: number): Extract<Happening, { kind: "job" }> {
  return {
    kind: "job",
    id: "j0",
    team: "team-a",
    priority: 1,
    maxAttempts: 3,
    steps: [{ count: 1, accelerators: 2, gang: false, duration }],
    failures: 0,
  };
}

/** A crash of the first worker, which returns under its id. */
function crashFirst(
  downFor: number,
): Extract<Happening, { kind: "crashWorker" }> {
  return {
    kind: "crashWorker",
    agent: 0,
    downFor,
    sameId: true,
    refuses: false,
  };
}

/** Delays calls to the first worker, whose answers arrive. */
function delayCalls(
  fields: { call: CallKind; delay: number; duration: number },
): Extract<Happening, { kind: "slowCalls" }> {
  return { kind: "slowCalls", agent: 0, lost: false, ...fields };
}

/** Parts the first agent from its leader for longer than a lease lasts. */
const CUT_FIRST: Happening = {
  kind: "cut",
  agent: 0,
  leader: 0,
  duration: 12_000,
  lag: 10,
};

/** All plans that once broke a guarantee, in the order they were found. */
export const FOUND_CASES: RegressionCase[] = [
  {
    name: "a former link delivers a start after the agent was given up",
    cause:
      "an agent obeyed orders of the present epoch from any link, however " +
      "old (core/worker_control/orders.ts)",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 1000,
          kind: "cut",
          agent: 0,
          leader: 0,
          duration: 9500,
          lag: 100,
        },
        { at: 1500, ...singleTask(4000) },
      ],
    },
  },
  {
    name: "a former link delivers a start after the job has completed",
    cause:
      "the same; seed 82 of 60 inputs without sameId shows it on f762179, " +
      "shrunk to 3 inputs",
    plan: {
      setup: {
        leaders: 2,
        guaranteed: 0,
        callsOutliveWorkers: true,
        agents: [
          { ...AGENT, linkDelays: [1, 3], stopDelay: 14 },
          { ...AGENT, linkDelays: [24, 6], stopDelay: 105, clockRate: 0.99 },
          { ...AGENT, linkDelays: [15, 3], stopDelay: 40, clockRate: 0.981 },
          {
            ...AGENT,
            accelerators: 8,
            clockRate: 0.981,
            linkDelays: [3, 4],
            stopDelay: 6,
          },
        ],
      },
      inputs: [
        { at: 3899, kind: "replaceLeader", overlap: 272 },
        {
          at: 15_858,
          kind: "job",
          id: "j10",
          team: "team-a",
          priority: 1,
          maxAttempts: 3,
          steps: [
            { count: 1, accelerators: 2, gang: true, duration: 173 },
            { count: 3, accelerators: 2, gang: true, duration: 51 },
          ],
          failures: 2,
        },
        {
          at: 17_077,
          kind: "cut",
          agent: 1,
          leader: 1,
          duration: 9323,
          lag: 28,
        },
      ],
    },
  },
  {
    name: "a worker returns under its id while a start call is pending",
    cause:
      "an agent forgets unanswered starts with the incarnation, which its " +
      "successor of the same id may still carry out (switchWorker in " +
      "core/worker_control/worker.ts)",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 2000,
          kind: "slowCalls",
          agent: 0,
          call: "start",
          delay: 2000,
          lost: false,
          duration: 1100,
        },
        { at: 3000, ...singleTask(4000) },
        {
          at: 3100,
          kind: "crashWorker",
          agent: 0,
          downFor: 5,
          sameId: true,
          refuses: true,
        },
      ],
    },
  },
  {
    name: "a start reaches a worker that has just returned under its id",
    cause: "an agent counts a run as crashed with the former incarnation, " +
      "though its start call came to the next one (recordCrash and " +
      "switchWorker in core/worker_control)",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        { at: 2990, ...singleTask(30) },
        {
          at: 3000,
          kind: "crashWorker",
          agent: 0,
          downFor: 5,
          sameId: true,
          refuses: true,
        },
      ],
    },
  },
  {
    name: "a gang that crashes a worker which returns at once is given up",
    cause:
      "the next incarnation of the id accepts stops before the agent knows " +
      "of it, and the crash names no stopped run (mayHaveBegun in " +
      "core/worker_control/crash.ts)",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 1000,
          ...singleTask(239),
          steps: [{ count: 4, accelerators: 2, gang: true, duration: 239 }],
          deadly: { after: 19, downFor: 4, sameId: true },
        },
      ],
    },
  },
  {
    name: "a worker that returned under its id works no longer than granted",
    cause: "a start carries the end of a lease on the clock of the former " +
      "incarnation, so that the lease outlasts the grant (computeLeaseEnd in " +
      "core/worker_control/lease.ts); seed 892 of 60 inputs on 98a8aa6",
    plan: {
      setup: {
        ...TWO_AGENTS,
        agents: [
          { ...AGENT, accelerators: 8, linkDelays: [19], endsPerAnswer: 2 },
          { ...AGENT, accelerators: 8, linkDelays: [6], clockRate: 0.981 },
          { ...AGENT, accelerators: 8, linkDelays: [4], clockRate: 0.981 },
        ],
      },
      inputs: [
        {
          at: 3873,
          kind: "slowCalls",
          agent: 2,
          call: "hold",
          delay: 48,
          lost: true,
          duration: 3377,
        },
        {
          at: 5435,
          kind: "crashWorker",
          agent: 2,
          downFor: 327,
          sameId: true,
          refuses: true,
        },
        {
          at: 6887,
          ...singleTask(82),
          priority: 0,
          maxAttempts: 2,
          steps: [{ count: 4, accelerators: 1, gang: false, duration: 82 }],
          failures: 1,
        },
        {
          at: 7352,
          kind: "cut",
          agent: 2,
          leader: 0,
          duration: 9231,
          lag: 233,
        },
      ],
    },
  },
  {
    name: "a returned worker lists its ends in several answers",
    cause:
      "an agent withheld its worker until all ends of starts for the former " +
      "incarnation were listed, which waits for a leader to store the first " +
      "ones (core/worker_control/open_starts.ts)",
    plan: {
      setup: {
        ...TWO_AGENTS,
        agents: [{ ...AGENT, endsPerAnswer: 1 }],
        callsOutliveWorkers: false,
      },
      inputs: [
        {
          at: 3000,
          ...singleTask(1000),
          steps: [{ count: 2, accelerators: 2, gang: false, duration: 1000 }],
        },
        {
          at: 3010,
          kind: "crashWorker",
          agent: 0,
          downFor: 1,
          sameId: true,
          refuses: false,
        },
      ],
    },
  },
  {
    name: "a returned worker is not told of the former one's stored ends",
    cause: "calls after a failed one acknowledged the ends of the former " +
      "incarnation, so that the next one dropped its own " +
      "(core/worker_control/reducer.ts)",
    plan: {
      setup: { ...TWO_AGENTS, agents: [AGENT] },
      inputs: [
        {
          at: 3000,
          ...singleTask(100),
          steps: [{ count: 4, accelerators: 2, gang: false, duration: 100 }],
        },
        {
          at: 6000,
          kind: "slowCalls",
          agent: 0,
          call: "hold",
          delay: 3,
          lost: true,
          duration: 2500,
        },
        {
          at: 6005,
          kind: "crashWorker",
          agent: 0,
          downFor: 1,
          sameId: true,
          refuses: true,
        },
        {
          at: 6300,
          ...singleTask(500),
          id: "j1",
          steps: [{ count: 2, accelerators: 2, gang: false, duration: 500 }],
        },
      ],
    },
  },
  {
    name: "a hold call reaches a worker that has just returned under its id",
    cause:
      "it names the end of a lease on the former clock, so that the lease " +
      "lasts 10 s from then, while the leader gives the agent up 8.3 s after " +
      "its last report (computeLeaseEnd in core/worker_control/lease.ts); " +
      "like seed 372 with --events 0, shrunk to 3 inputs",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        { at: 7000, ...crashFirst(190) },
        { at: 7300, ...singleTask(15_000) },
        { at: 7800, ...CUT_FIRST },
      ],
    },
  },
  {
    name: "a late hold call extends the lease of a returned worker",
    cause:
      "the same, with a call from before the crash that is carried out while " +
      "the agent is cut off; like seed 206 with --events 0, shrunk to 4 inputs",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 6000,
          ...delayCalls({ call: CallKind.Hold, delay: 8000, duration: 1200 }),
        },
        { at: 7000, ...crashFirst(500) },
        { at: 8000, ...singleTask(15_000) },
        { at: 8500, ...CUT_FIRST },
      ],
    },
  },
  {
    name: "a late start call extends the lease of a returned worker",
    cause: "the same, with a start that the worker refuses; like seed 355 " +
      "with --events 0, shrunk to 4 inputs",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 6000,
          ...delayCalls({ call: CallKind.Start, delay: 8000, duration: 900 }),
        },
        { at: 6100, ...singleTask(100) },
        { at: 7000, ...crashFirst(500) },
        { at: 8000, ...singleTask(15_000), id: "j1" },
        { at: 9000, ...CUT_FIRST },
      ],
    },
  },
  {
    name: "a returned worker gets a start of its agent's former process",
    cause: "the start is neither refused nor stopped there, as the present " +
      "process has not heard of it (core/worker_control/open_starts.ts); " +
      "like seed 394 with --events 0, shrunk to 4 inputs",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 8000,
          ...delayCalls({ call: CallKind.Start, delay: 9500, duration: 1900 }),
        },
        { at: 9000, ...singleTask(12_000) },
        { at: 9700, ...crashFirst(400) },
        { at: 10_150, kind: "restartAgent", agent: 0, downFor: 100 },
      ],
    },
  },
  {
    name: "a returned worker gets a late start while its agent is suspended",
    cause: "the leader gives the agent up while the start may still be " +
      "carried out by an incarnation that no call has reached (agentLoss in " +
      "core/scheduler); like seed 48 with --events 0, shrunk to 4 inputs",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 5000,
          ...delayCalls({
            call: CallKind.Start,
            delay: 11_000,
            duration: 1200,
          }),
        },
        { at: 6000, ...singleTask(15_000) },
        { at: 6500, kind: "suspendAgent", agent: 0, duration: 12_000 },
        { at: 7800, ...crashFirst(1000) },
      ],
    },
  },
  {
    name:
      "a crash frees a run that the next incarnation got from a former agent",
    cause: "the report that tells of the crash names an incarnation that has " +
      "listed nothing yet, and the runs of the crashed one count as ended at " +
      "once (applyCrash in core/scheduler/end/crashes.ts); the start is " +
      "carried out 3.1 s late",
    plan: {
      setup: TWO_SLOW_AGENTS,
      inputs: [
        {
          at: 8000,
          ...delayCalls({ call: CallKind.Start, delay: 3080, duration: 1060 }),
        },
        { at: 9000, ...singleTask(12_000) },
        { at: 9050, kind: "restartAgent", agent: 0, downFor: 100 },
        { at: 11_900, ...crashFirst(200) },
      ],
    },
  },
  {
    name: "a listed run starts again on the next incarnation of its worker",
    cause:
      "its first start call had no answer and is carried out 1.2 s late, " +
      "while the agent stands still; the run was listed after a second call, " +
      "so that the leader gives it up with the grant (loseAgentRuns in " +
      "core/scheduler/end/agent_loss.ts)",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 8000,
          ...delayCalls({ call: CallKind.Start, delay: 1200, duration: 1100 }),
        },
        { at: 9000, ...singleTask(15_000) },
        { at: 10_100, kind: "pauseAgent", agent: 0, duration: 12_000 },
        { at: 10_110, ...crashFirst(50) },
      ],
    },
  },
  {
    name: "a late start reaches a worker that has returned twice",
    cause: "the first incarnation after the crash has answered a call of the " +
      "present holder, so that the run counts as ended; the second one has " +
      "seen no token (moveListedRuns and applyCrash in core/scheduler/end); " +
      "0.9 s late; like seeds 693 and 918 with --events 0",
    plan: {
      setup: TWO_AGENTS,
      inputs: [
        {
          at: 8000,
          ...delayCalls({ call: CallKind.Start, delay: 900, duration: 1060 }),
        },
        { at: 9000, ...singleTask(12_000) },
        { at: 9100, ...crashFirst(100) },
        { at: 9810, ...crashFirst(100) },
      ],
    },
  },
];
