import type { AddressInfo } from "node:net";
import { test } from "tap";
import type { Test } from "tap";
import { createManualClock, createRelay } from "@dragonflyledge/fakes";
import { listenLinks } from "@dragonflyledge/link";
import type { Link, LinkMessage } from "@dragonflyledge/link";
import { createLevels } from "@dragonflyledge/log";
import { createAgentLinks } from "./agent_links.ts";

const AGENT = "agent-1";
const HOST = "127.0.0.1";

/** Waits until the condition holds, while sockets do their work. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

/** Starts an agent's end of the links, behind a relay. */
async function startAgentEnd(t: Test) {
  const links: Link[] = [];
  const received: LinkMessage[] = [];
  const server = listenLinks({
    host: HOST,
    port: 0,
    onLink: (link) => links.push(link),
    onMessage: (_link, message) => received.push(message),
    onClose: () => {},
    onError: (error) => t.fail(error.message),
  });
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  const relay = await createRelay({ target: { port } });
  t.teardown(async () => {
    await relay.stop();
    for (const link of links) link.close();
    server.close();
  });
  return { links, received, relay, address: `${HOST}:${relay.port}` };
}

/** Creates a leader's links, whose clock the test controls. */
function createLeaderEnd(t: Test) {
  const clock = createManualClock();
  const reports: number[] = [];
  const disconnected: string[] = [];
  const agentLinks = createAgentLinks({
    clock,
    timer: clock,
    log: createLevels({
      write: () => {},
      part: () => {
        throw new Error("no other part");
      },
    }),
    onReport: (_agent, { sentAt }) => reports.push(sentAt),
    onDisconnected: (agent) => disconnected.push(agent),
  });
  t.teardown(() => agentLinks.close());
  return { clock, reports, disconnected, agentLinks };
}

const report = (sentAt: number) => ({
  kind: "report",
  sentAt,
  vacant: false,
  listed: false,
  running: [],
  ended: [],
  refused: [],
  absent: [],
  emptied: [],
});

// Guards against a run that is freed, or taken for running, by a report that a
// silent link held back until a later link had brought newer ones.
test("a report that a former link delivers late is ignored", async (t) => {
  const { links, relay, address } = await startAgentEnd(t);
  const { clock, reports, disconnected, agentLinks } = createLeaderEnd(t);
  agentLinks.connect(AGENT, address);
  await waitFor(() => links.length === 1);
  links[0]!.send(report(1));
  await waitFor(() => reports.length === 1);
  relay.hold();
  links[0]!.send(report(2));
  clock.advance(2500);
  agentLinks.closeSilent();
  t.same(disconnected, [AGENT]);
  await clock.run(250);
  await waitFor(() => links.length === 2);
  links[1]!.send(report(3));
  await waitFor(() => reports.length === 2);
  relay.release();
  links[1]!.send(report(4));
  await waitFor(() => reports.length === 3);
  t.same(reports, [1, 3, 4]);
});

// Guards against orders that answer a report of a former link, or of a former
// process of the agent.
test("no orders go over a link before a report came over it", async (t) => {
  const { links, received, address } = await startAgentEnd(t);
  const { clock, reports, agentLinks } = createLeaderEnd(t);
  agentLinks.connect(AGENT, address);
  await waitFor(() => links.length === 1);
  t.notOk(agentLinks.send(AGENT, { kind: "orders" }));
  links[0]!.send(report(1));
  await waitFor(() => reports.length === 1);
  t.ok(agentLinks.send(AGENT, { kind: "orders" }));
  await waitFor(() => received.length === 1);
  clock.advance(2500);
  agentLinks.closeSilent();
  await clock.run(250);
  await waitFor(() => links.length === 2);
  t.notOk(agentLinks.send(AGENT, { kind: "orders" }), "the next link");
});

// Guards against orders for a former machine of an agent that registered at
// another address: its link is replaced and not redialled.
test("an agent that moved counts as disconnected until it reports", async (t) => {
  const former = await startAgentEnd(t);
  const present = await startAgentEnd(t);
  const { clock, reports, disconnected, agentLinks } = createLeaderEnd(t);
  agentLinks.connect(AGENT, former.address);
  await waitFor(() => former.links.length === 1);
  former.links[0]!.send(report(1));
  await waitFor(() => reports.length === 1);
  agentLinks.connect(AGENT, present.address);
  t.same(disconnected, [AGENT]);
  t.notOk(agentLinks.send(AGENT, { kind: "orders" }));
  await waitFor(() => present.links.length === 1);
  present.links[0]!.send(report(7));
  await waitFor(() => reports.length === 2);
  t.ok(agentLinks.send(AGENT, { kind: "orders" }));
  await waitFor(() => former.links[0]!.closed);
  await clock.run(1000);
  t.equal(former.links.length, 1, "the former address is not dialled again");
  t.same(reports, [1, 7]);
});
