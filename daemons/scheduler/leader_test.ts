import { Buffer } from "node:buffer";
import { PassThrough } from "node:stream";
import { test } from "tap";
import { createManualClock } from "@dragonflyledge/fakes";
import { createLog, Part } from "@dragonflyledge/log";
import type { KeyValue } from "@dragonflyledge/platform";
import { agentKey } from "@dragonflyledge/scheduler";
import { startTerm } from "./leader.ts";
import { createReplica } from "./replica.ts";

/** Starts a term of which only the detection of isolation matters. */
function createTerm() {
  const clock = createManualClock();
  const replica = createReplica({ onBadItem: () => {} });
  const isolated: number[] = [];
  const term = startTerm({
    epoch: 1,
    leads: () => true,
    onDeposed: () => {},
    onIsolated: () => isolated.push(clock.now()),
    store: {} as KeyValue,
    replica,
    policies: {
      queues: new Map(),
      guarantees: new Map(),
      evacuated: new Set(),
    },
    grant: 8000,
    unlistedTime: 12_704,
    retention: 60_000,
    clock,
    timer: clock,
    log: createLog({
      part: Part.Entry,
      level: "error",
      stream: new PassThrough(),
    }),
    instruments: {
      increment: () => {},
      set: () => {},
      time: () => {},
    } as never,
  });
  const registerAgent = () =>
    replica.apply([{
      kind: "put",
      item: {
        key: agentKey("agent-1"),
        value: Buffer.from("127.0.0.1:1"),
        revision: 1,
      },
    }]);
  return { clock, isolated, registerAgent, term };
}

// Guards against a leader that steps down as soon as the first agent of a new
// fleet registers, because it has heard of none before.
test("a leader awaits reports only from agents that it knows", async (t) => {
  const { clock, isolated, registerAgent, term } = createTerm();
  await clock.run(10_000);
  registerAgent();
  await clock.run(2000);
  t.same(isolated, []);
  term.end();
});

// Guards against a leader that is cut off from all agents and leads on.
test("a leader without reports for 3 s steps down", async (t) => {
  const { clock, isolated, registerAgent, term } = createTerm();
  registerAgent();
  await clock.run(3500);
  t.equal(isolated.length, 1);
  term.end();
});
