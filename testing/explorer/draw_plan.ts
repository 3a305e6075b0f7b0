/**
 * Draws a plan from a seed.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { createDraw } from "./draw.ts";
import type { Draw } from "./draw.ts";
import { CallKind, Direction, GUARANTEED_TEAM } from "./inputs.ts";
import type { Happening, Input, Plan, Setup } from "./inputs.ts";
import { domainOf } from "./model/names.ts";
import { drawScenes } from "./scenes.ts";

/** Mean time between two inputs that are not close to each other. */
const INPUT_INTERVAL: Milliseconds = 500;
/** Share of the inputs that follow shortly after another. */
const CLOSE_SHARE = 0.3;
const CLOSE_TIME: Milliseconds = 100;
/** How fast workers run tasks. */
const RATES = [0.6, 1, 1, 1.7];
/** Evacuations are drawn apart, so that a seed draws the rest as ever. */
type DrawnKind = Exclude<Happening["kind"], "evacuate">;
/** How often each kind is drawn, relative to the others. */
const WEIGHTS: Record<DrawnKind, number> = {
  job: 30,
  cancel: 3,
  hold: 10,
  cut: 10,
  drop: 5,
  slow: 4,
  crashWorker: 7,
  drain: 3,
  resize: 5,
  pauseAgent: 5,
  suspendAgent: 3,
  restartAgent: 4,
  pauseLeader: 3,
  replaceLeader: 4,
  crashLeader: 2,
  slowStore: 4,
  slowCalls: 8,
  hideWorker: 6,
  repeatHeartbeat: 2,
};

/** Most evacuations of a plan. */
const MAX_EVACUATIONS = 3;

/** Kinds of inputs. */
const INPUT_KINDS = Object.keys(WEIGHTS) as DrawnKind[];
/** Stands for returns of workers under the id that they had. */
const SAME_ID = "sameId";
/** Stands for calls that reach a later incarnation of the same id. */
const OUTLIVING = "outlivingCalls";
/** Stands for the scenes, all of which have such returns. */
const SCENES = "scenes";
/** What can be left out of plans. */
export const OMISSIBLE: readonly string[] = [
  ...INPUT_KINDS,
  "evacuate",
  SAME_ID,
  OUTLIVING,
  SCENES,
];

/** Draws a plan; what `without` names of `OMISSIBLE` is left out. */
export function drawPlan(fields: {
  seed: number;
  inputs: number;
  without?: readonly string[];
}): Plan {
  const draw = createDraw(createRandom(fields.seed));
  const without = fields.without ?? [];
  const setup = drawSetup(draw);
  if (without.includes(OUTLIVING)) setup.callsOutliveWorkers = false;
  let at = 0;
  let jobs = 0;
  const keepsIds = !without.includes(SAME_ID);
  const inputs = Array.from({ length: fields.inputs }, (): Input => {
    at += draw.chance(CLOSE_SHARE)
      ? draw.time(1, CLOSE_TIME)
      : draw.whole(0, 2 * INPUT_INTERVAL);
    const kind = drawKind(draw);
    const id = `j${jobs}`;
    if (kind === "job") jobs++;
    const happening = drawHappening({ draw, kind, setup, id, jobs, keepsIds });
    return { at, ...happening };
  });
  const later = createDraw(createRandom(~fields.seed));
  for (const agent of setup.agents) agent.rate = later.one(RATES);
  inputs.push(...drawEvacuations(later, at));
  if (keepsIds && !without.includes(SCENES)) {
    inputs.push(...drawScenes({ draw: later, setup, end: at }));
  }
  return {
    setup,
    inputs: inputs
      .filter(({ kind }) => !without.includes(kind))
      .sort((a, b) => a.at - b.at),
  };
}

/** Draws evacuations between the start and `end`. */
function drawEvacuations(draw: Draw, end: Milliseconds): Input[] {
  return Array.from({ length: draw.whole(0, MAX_EVACUATIONS) }, () => ({
    at: draw.whole(0, end),
    kind: "evacuate",
    domain: domainOf(draw.whole(0, 1)),
    duration: draw.time(100, 20_000),
  }));
}

function drawSetup(draw: Draw): Setup {
  const leaders = draw.whole(1, 2);
  const agents = Array.from({ length: draw.whole(2, 4) }, () => ({
    accelerators: draw.one([4, 8]),
    clockRate: draw.one([1, 0.99, 0.981]),
    linkDelays: Array.from({ length: leaders }, () => draw.time(1, 40)),
    stopDelay: draw.time(1, 200),
    endsPerAnswer: draw.one([1, 2, 500, 500]),
  }));
  return {
    leaders,
    agents,
    guaranteed: draw.one([0, 4, 8]),
    callsOutliveWorkers: draw.chance(0.5),
  };
}

function drawKind(draw: Draw): DrawnKind {
  const total = INPUT_KINDS.reduce((sum, kind) => sum + WEIGHTS[kind], 0);
  let left = draw.whole(1, total);
  return INPUT_KINDS.find((kind) => (left -= WEIGHTS[kind]) <= 0)!;
}

interface HappeningFields {
  draw: Draw;
  kind: DrawnKind;
  setup: Setup;
  /** Id of a new job. */
  id: string;
  /** Number of jobs so far. */
  jobs: number;
  /** Whether workers may return under the id that they had. */
  keepsIds: boolean;
}

function drawHappening(fields: HappeningFields): Happening {
  const { draw, kind, setup } = fields;
  const agent = draw.whole(0, setup.agents.length - 1);
  const leader = draw.whole(0, setup.leaders - 1);
  switch (kind) {
    case "job":
      return drawJob(fields);
    case "cancel":
      return { kind, job: `j${draw.whole(0, fields.jobs)}` };
    case "hold": {
      const direction = draw.one(Object.values(Direction));
      const duration = draw.absence(20);
      return { kind, agent, link: draw.whole(0, 2), direction, duration };
    }
    case "cut": {
      const lag = draw.time(1, 6000);
      return { kind, agent, leader, duration: draw.absence(100), lag };
    }
    case "drop": {
      const leaderNotices = draw.time(1, 4000);
      const agentNotices = draw.time(1, 10_000);
      const link = draw.whole(0, 2);
      return { kind, agent, link, leaderNotices, agentNotices };
    }
    case "slow": {
      const delay = draw.time(5, 1500);
      return { kind, agent, leader, delay, duration: draw.time(100, 6000) };
    }
    case "crashWorker":
      return {
        kind,
        agent,
        downFor: draw.absence(1),
        sameId: draw.chance(0.5) && fields.keepsIds,
        refuses: draw.chance(0.7),
      };
    case "drain": {
      const downFor = draw.time(10, 5000);
      return { kind, agent, stays: draw.time(1, 5000), downFor };
    }
    case "resize": {
      const less = draw.whole(1, 4);
      return { kind, agent, less, duration: draw.time(100, 12_000) };
    }
    case "hideWorker":
    case "pauseAgent":
    case "suspendAgent":
      return { kind, agent, duration: draw.absence(100) };
    case "restartAgent":
      return { kind, agent, downFor: draw.absence(10) };
    case "pauseLeader":
      return {
        kind,
        duration: draw.absence(100),
        clockStops: draw.chance(0.3),
      };
    case "replaceLeader":
      return { kind, overlap: draw.time(1, 3000) };
    case "crashLeader":
      return { kind, downFor: draw.time(10, 5000) };
    case "slowStore":
      return {
        kind,
        delay: draw.time(5, 3000),
        answerDelay: draw.time(5, 1500),
        lost: draw.chance(0.3),
        duration: draw.time(50, 4000),
      };
    case "slowCalls":
      return {
        kind,
        agent,
        call: draw.one(Object.values(CallKind)),
        delay: draw.time(1, 10_000),
        lost: draw.chance(0.4),
        duration: draw.time(50, 4000),
      };
    case "repeatHeartbeat":
      return { kind, agent, delay: draw.time(10, 10_000) };
  }
}

function drawJob({ draw, id, keepsIds }: HappeningFields): Happening {
  const steps = Array.from({ length: draw.chance(0.25) ? 2 : 1 }, () => ({
    count: draw.whole(1, 4),
    accelerators: draw.one([1, 2, 2]),
    gang: draw.chance(0.5),
    duration: draw.time(20, 5000),
  }));
  const isDeadly = draw.chance(0.05);
  const deadly = {
    after: draw.time(1, 2000),
    downFor: draw.time(1, 5000),
    sameId: draw.chance(0.5) && keepsIds,
  };
  return {
    kind: "job",
    id,
    team: draw.one([GUARANTEED_TEAM, "team-b"]),
    priority: draw.whole(0, 2),
    maxAttempts: draw.whole(1, 3),
    steps,
    failures: draw.one([0, 0, 0, 1, 2]),
    ...(isDeadly ? { deadly } : {}),
    ...(draw.chance(0.08) ? { lastsFor: draw.time(100, 15_000) } : {}),
    ...(draw.chance(0.04) ? { hasLargeSpec: true } : {}),
  };
}
