/**
 * Draws scenes, which are groups of inputs that belong together: a worker
 * returns under its id while calls to its former incarnation are open, and soon
 * after its agent is lost to the leaders while long tasks are at work.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Draw } from "./draw.ts";
import { CallKind, GUARANTEED_TEAM } from "./inputs.ts";
import type { Happening, Input, Setup } from "./inputs.ts";

/** Most scenes of a plan, which has at least one. */
const MAX_SCENES = 2;
/** Most jobs of a scene, which has at least one. */
const MAX_JOBS = 3;
/** Until then, all agents have registered. */
const EARLIEST_CRASH: Milliseconds = 3000;
/** Shortest time over which the crashes are spread. */
const SPREAD: Milliseconds = 10_000;
/** Longest time from sending a call to carrying it out. */
const MAX_CALL_DELAY: Milliseconds = 12_000;
/** From shorter than a grant to longer than a lease on a slow clock. */
const LOSS_TIMES = { shortest: 7000, longest: 14_000 };
/** How often calls of a kind are late. */
const LATE_SHARE: Record<CallKind, number> = {
  hold: 0.9,
  start: 0.5,
  stop: 0.3,
};
/** How an agent is lost to the leaders; cuts are drawn more often. */
const LOSSES = [
  "cut",
  "cut",
  "cut",
  "pauseAgent",
  "suspendAgent",
  "restartAgent",
] as const;

/** When the parts of a scene happen, and to which agent. */
interface Course {
  agent: number;
  crashAt: Milliseconds;
  returnAt: Milliseconds;
  lossAt: Milliseconds;
}

/** Draws scenes that begin between the start and `end`, or a little later. */
export function drawScenes(fields: {
  draw: Draw;
  setup: Setup;
  end: Milliseconds;
}): Input[] {
  const { draw, setup, end } = fields;
  const scenes = Array.from(
    { length: draw.whole(1, MAX_SCENES) },
    (_, index) => {
      const course = drawCourse(draw, setup, end);
      return [
        ...drawJobs(draw, course, `scene-${index}`),
        ...drawLateCalls(draw, course),
        ...drawCrashes(draw, course),
        ...drawChanges(draw, course),
        ...drawLoss(draw, course, setup),
      ];
    },
  );
  return scenes.flat();
}

function drawCourse(draw: Draw, setup: Setup, end: Milliseconds): Course {
  const agent = draw.whole(0, setup.agents.length - 1);
  const crashAt = EARLIEST_CRASH + draw.whole(0, Math.max(end, SPREAD));
  const returnAt = crashAt + draw.time(100, 3000);
  const lossAt = returnAt + draw.time(200, 4000);
  return { agent, crashAt, returnAt, lossAt };
}

/** Draws jobs whose tasks mostly work for longer than a lease lasts. */
function drawJobs(draw: Draw, course: Course, id: string): Input[] {
  const { crashAt, lossAt } = course;
  return Array.from({ length: draw.whole(1, MAX_JOBS) }, (_, index): Input => ({
    at: draw.whole(crashAt - 1000, lossAt),
    kind: "job",
    id: `${id}-${index}`,
    team: draw.one([GUARANTEED_TEAM, "team-b"]),
    priority: draw.whole(0, 2),
    maxAttempts: draw.whole(1, 3),
    steps: [{
      count: draw.whole(1, 4),
      accelerators: draw.one([1, 2]),
      gang: draw.chance(0.3),
      duration: draw.time(4000, 20_000),
    }],
    failures: 0,
  }));
}

/** Draws delays with which calls from before the return follow it. */
function drawLateCalls(draw: Draw, course: Course): Input[] {
  const { agent, crashAt, returnAt } = course;
  return Object.values(CallKind).flatMap((call): Input[] => {
    const at = crashAt - draw.whole(20, 2000);
    const until = draw.whole(crashAt, returnAt);
    const delay = draw.whole(returnAt - until, MAX_CALL_DELAY);
    const lost = draw.chance(0.5);
    if (!draw.chance(LATE_SHARE[call])) return [];
    const duration = until - at;
    return [{ at, kind: "slowCalls", agent, call, delay, lost, duration }];
  });
}

/** Draws the crash, and at times a second one soon after the return. */
function drawCrashes(draw: Draw, course: Course): Input[] {
  const { agent, crashAt, returnAt } = course;
  const crash = (at: Milliseconds, downFor: Milliseconds): Input => ({
    at,
    kind: "crashWorker",
    agent,
    downFor,
    sameId: true,
    refuses: draw.chance(0.3),
  });
  const crashes = [crash(crashAt, returnAt - crashAt)];
  if (draw.chance(0.2)) {
    crashes.push(crash(returnAt + draw.time(50, 3000), draw.time(5, 1000)));
  }
  return crashes;
}

/** Draws changes of processes between the return and the loss. */
function drawChanges(draw: Draw, course: Course): Input[] {
  const { agent, returnAt, lossAt } = course;
  const changes: Happening[] = [
    { kind: "restartAgent", agent, downFor: draw.time(10, 1000) },
    { kind: "crashLeader", downFor: draw.time(10, 5000) },
    { kind: "replaceLeader", overlap: draw.time(1, 3000) },
  ];
  return changes.flatMap((change) => {
    const at = draw.whole(returnAt, lossAt);
    return draw.chance(0.15) ? [{ at, ...change }] : [];
  });
}

/** Draws how the agent is lost to all leaders. */
function drawLoss(draw: Draw, course: Course, setup: Setup): Input[] {
  const { agent, lossAt: at } = course;
  const kind = draw.one(LOSSES);
  const duration = draw.whole(LOSS_TIMES.shortest, LOSS_TIMES.longest);
  if (kind === "restartAgent") return [{ at, kind, agent, downFor: duration }];
  if (kind !== "cut") return [{ at, kind, agent, duration }];
  return Array.from({ length: setup.leaders }, (_, leader): Input => {
    const lag = draw.time(1, 6000);
    return { at, kind, agent, leader, duration, lag };
  });
}
