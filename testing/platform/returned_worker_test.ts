import { test } from "tap";
import { startReturnedWorker } from "./returned_worker.ts";

/** Time in ms for the start of the programs, a lost run and its next start. */
const TIMEOUT = 120_000;

// Guards against a task that runs twice: a hold call to the former incarnation
// of a worker extends the lease of the next one, which outlives the time after
// which the leader gives the silent agent up.
test(
  "a task does not run twice when its worker returned under its id and was cut off",
  { timeout: TIMEOUT },
  async (t) => {
    const scene = await startReturnedWorker(t);
    await scene.returnWorker();
    await scene.deliverCalls();
    await scene.cutOff();
    await scene.check();
  },
);

// Guards against the same with an agent that knows no call of its former
// process.
test(
  "a task does not run twice when its worker returned, its agent restarted and was cut off",
  { timeout: TIMEOUT },
  async (t) => {
    const scene = await startReturnedWorker(t);
    await scene.returnWorker();
    await scene.restartAgent();
    await scene.deliverCalls();
    await scene.cutOff();
    await scene.check();
  },
);

// Guards against the same with a leader that has not heard of the agent in its
// term.
test(
  "a task does not run twice when its worker returned and was cut off from a new leader",
  { timeout: TIMEOUT },
  async (t) => {
    const scene = await startReturnedWorker(t);
    await scene.returnWorker();
    await scene.killLeader();
    await scene.cutOff();
    await scene.deliverCalls();
    await scene.awaitNewLeader();
    await scene.check();
  },
);
