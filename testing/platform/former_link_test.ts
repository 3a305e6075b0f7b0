import { test } from "tap";
import { find, startMovedGang, until } from "./moved_gang.ts";

// Guards against a task that runs twice: the leader gave a silent agent up and
// started the gang elsewhere, and the agent's former link delivers the first
// start after the new link has renewed the grant.
test("a start that a former link delivers starts nothing twice", async (t) => {
  const { agent, submit, awaitMove, check } = await startMovedGang(t);
  const { links } = agent.relays;
  await submit();
  links.hold("both");
  links.mute(true);
  await awaitMove();
  const grants = find(agent.lines, "Grant begun.").length;
  links.mute(false);
  await until(
    "the new link renews the grant",
    () => find(agent.lines, "Grant begun.").length > grants,
  );
  links.release();
  await until(
    "the former link has delivered all",
    () => find(agent.lines, "connection ended.", '"link":1').length === 1,
  );
  await check("agent lost");
});
