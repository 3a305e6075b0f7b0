/**
 * Puts load on the reducer of an entry: workers, tasks and requests.
 *
 * @module
 */

import { createEntryReducer } from "@dragonflyledge/entry-reducer";
import type { EntryReducer } from "@dragonflyledge/entry-reducer";
import { assignHomes } from "@dragonflyledge/placement";
import { createRandom, PROTOCOL_VERSION } from "@dragonflyledge/model";
import type { EntryEffect, EntryEvent } from "@dragonflyledge/model";
import { deploymentOf, listWorkers } from "../deployment.ts";
import { createReport } from "./messages.ts";

/** An entry to which workers are connected. */
export interface EntryLoad {
  reducer: EntryReducer;
  workers: number;
  /** Passes a report of the worker with this index. */
  report(worker: number): void;
  /** Passes a request, whose attempt is accepted and answered. */
  request(): void;
  tick(): void;
  /** Passes requests that remain queued or running. */
  open(count: number): void;
}

const { configuration, service, domains } = deploymentOf("nyabugogo");

/** Creates an entry, with `tasks` spread evenly over the workers. */
export function createEntryLoad(fields: {
  workers: number;
  tasks: number;
  seed: number;
}): EntryLoad {
  const { workers, tasks, seed } = fields;
  const random = createRandom(seed);
  const reducer = createEntryReducer({ id: "e1", incarnation: 1, random });
  const inventories = listWorkers({
    count: workers,
    domains,
    cores: 32,
    service,
  });
  let now = 0;
  let requests = 0;
  const reduce = (event: EntryEvent) => reducer.reduce(event);
  const tasksOf = (worker: number) =>
    Math.floor((worker + 1) * tasks / workers) -
    Math.floor(worker * tasks / workers);
  const reports = inventories.map((inventory, index) => ({
    ...createReport(index, tasksOf(index)),
    worker: inventory.worker,
    incarnation: 1,
    versions: { configuration: 1, homes: 1 },
    slotsUsed: 0,
    slotsByClass: {},
  }));

  function arrive(): EntryEffect[] {
    const id = `r${requests++}`;
    return reduce({
      kind: "requestArrived",
      now,
      fingerprint: id,
      request: {
        id,
        service,
        team: configuration.teams[requests % 4]!.name,
        class: "shift-plan",
        deadline: now + 10_000,
        idempotent: true,
        contentType: "application/json",
        body: new Uint8Array(256),
      },
    });
  }

  function answer(effects: EntryEffect[]): void {
    for (const effect of effects) {
      if (effect.kind !== "send" || effect.message.kind !== "attempt") continue;
      const { worker, incarnation, message: { attempt } } = effect;
      const base = { kind: "message" as const, now, worker, incarnation };
      reduce({ ...base, message: { kind: "attemptAccepted", attempt } });
      reduce({
        ...base,
        message: {
          kind: "attemptAnswer",
          attempt,
          status: 200,
          contentType: "application/json",
          sequence: 0,
          last: true,
          piece: new Uint8Array(256),
        },
      });
    }
  }

  const load: EntryLoad = {
    reducer,
    workers,
    report(worker) {
      const message = reports[worker]!;
      reduce({
        kind: "message",
        now,
        worker: message.worker,
        incarnation: 1,
        message,
      });
    },
    request() {
      now += 0.1;
      answer(arrive());
    },
    tick() {
      now += 10;
      reduce({ kind: "tick", now });
    },
    open(count) {
      for (let index = 0; index < count; index++) arrive();
    },
  };

  const homes = assignHomes({ configuration, inventories, version: 1 });
  reduce({ kind: "configurationSeen", now, configuration });
  reduce({ kind: "homesSeen", now, homes });
  for (const inventory of inventories) {
    reduce({
      kind: "agentConnected",
      now,
      hello: {
        kind: "hello",
        protocol: PROTOCOL_VERSION,
        role: "agent",
        id: inventory.worker,
        incarnation: 1,
        versions: { configuration: 1, homes: 1 },
        inventory,
      },
    });
  }
  for (let index = 0; index < workers; index++) load.report(index);
  return load;
}
