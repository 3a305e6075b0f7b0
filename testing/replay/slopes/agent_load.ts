/**
 * Puts load on the reducer of an agent: members, renewals and requests.
 *
 * @module
 */

import { createAgentReducer } from "@dragonflyledge/agent-reducer";
import { PROTOCOL_VERSION } from "@dragonflyledge/model";
import type { AgentEvent } from "@dragonflyledge/model";
import { deploymentOf } from "../deployment.ts";
import { createAttempt, createMembers } from "./messages.ts";

/** An agent with sessions to `ENTRIES` entries. */
export interface AgentLoad {
  /** Lets time pass; each member is renewed once a second. */
  tick(): void;
  /** Passes an attempt, which is accepted and answered. */
  request(): void;
  /** Renews the lease of the next member. */
  renew(): void;
}

const ENTRIES = 4;

/** Creates an agent with the given number of members. */
export function createAgentLoad(fields: { members: number }): AgentLoad {
  const { service, inventories } = deploymentOf("nyabugogo");
  const inventory = {
    ...inventories[0]!,
    capacity: { accelerators: 64, cores: 128, memoryMiB: 1 << 20 },
  };
  const reducer = createAgentReducer({ inventory, incarnation: 1 });
  const members = createMembers(0, fields.members);
  const reduce = (event: AgentEvent) => reducer.reduce(event);
  let now = 0;
  let requests = 0;
  for (let index = 0; index < ENTRIES; index++) {
    reduce({
      kind: "entryConnected",
      now,
      entry: `e${index}`,
      hello: {
        kind: "hello",
        protocol: PROTOCOL_VERSION,
        role: "entry",
        id: `e${index}`,
        incarnation: 1,
        versions: { configuration: 0, homes: 0 },
      },
    });
  }
  reduce({ kind: "tasksFound", now, members });
  const renew = () => {
    const member = members[requests++ % Math.max(1, members.length)];
    if (member === undefined) return;
    const message = { kind: "renew" as const, run: member.run, lease: 10_000 };
    reduce({ kind: "message", now, entry: "e1", message });
  };
  return {
    renew,
    tick() {
      now += 20;
      if (now % 1000 === 0) { for (const _ of members) renew(); }
      reduce({ kind: "tick", now });
    },
    request() {
      now += 1;
      const attempt = createAttempt(`r${requests++}`, 256);
      const message = { ...attempt, service };
      reduce({ kind: "message", now, entry: "e1", message });
      reduce({
        kind: "endpointAnswer",
        now,
        attempt: attempt.attempt,
        status: 200,
        contentType: "application/json",
        piece: new Uint8Array(256),
        last: true,
      });
    },
  };
}
