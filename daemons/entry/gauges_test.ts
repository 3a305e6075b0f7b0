import { test } from "tap";
import { createEntryReducer } from "@dragonflyledge/entry-reducer";
import { createRandom } from "@dragonflyledge/model";
import type { Fields, Inventory } from "@dragonflyledge/model";
import { sendGauges } from "./gauges.ts";

const inventory: Inventory = {
  worker: "w1",
  location: { region: "r", failureDomain: "d", rack: "k" },
  capacity: { accelerators: 8, cores: 32, memoryMiB: 1024 },
  service: "s",
  slots: 8,
  connections: 64,
};

// Guards against gauges that count calls to the store twice or miss a worker.
test("gauges show sessions, excluded workers and new calls to the store", (t) => {
  const random = createRandom(1);
  const reducer = createEntryReducer({ id: "e", incarnation: 1, random });
  reducer.reduce({
    kind: "agentConnected",
    now: 0,
    hello: {
      kind: "hello",
      protocol: 1,
      role: "agent",
      id: "w1",
      incarnation: 1,
      versions: { configuration: 4, homes: 0 },
      inventory,
    },
  });
  const sent: Record<string, number> = {};
  const send = (get: number) => {
    const seen = new Map<string, number>();
    sendGauges({
      state: reducer.state,
      records: { statistics: () => ({ calls: { get }, breaker: "open" }) },
      observer: {
        count: (metric: string, value: number, tags: Fields) => {
          seen.set(`${metric} ${Object.values(tags).join(" ")}`.trim(), value);
        },
      },
      now: 0,
      sent,
    });
    return seen;
  };
  const first = send(5);
  t.equal(first.get("sessions.open agent"), 1);
  t.equal(first.get("workers.excluded lost"), 0);
  t.equal(first.get("store.breaker"), 2);
  t.equal(first.get("store.calls get"), 5);
  t.equal(first.get("configuration.version_lag configuration"), 4);
  t.equal(send(7).get("store.calls get"), 2);
  t.end();
});
