import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { find, startMovedGang, until } from "./moved_gang.ts";

/** Time in ms for which run 2 is at work when the orders arrive. */
const HELD_ON = 1000;

// Guards against a task that runs twice: an agent whose reports arrive told that
// nothing can run on its worker, the gang started elsewhere, and the worker
// answers again before the same link delivers the first start.
test("orders from before a worker was emptied start nothing twice", async (t) => {
  const { agent, submit, awaitMove, check } = await startMovedGang(t);
  const { links, worker } = agent.relays;
  await submit();
  worker!.silence();
  worker!.mute(true);
  await awaitMove();
  worker!.mute(false);
  worker!.cut();
  await until(
    "the worker answers again",
    () => find(agent.lines, "Worker answers again.").length > 0,
  );
  await sleep(HELD_ON);
  links.release();
  await check("worker emptied");
});
