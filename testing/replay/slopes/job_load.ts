/**
 * Runs jobs from submission to end on the reducer of an entry, with agents that
 * answer at once.
 *
 * @module
 */

import { createEntryReducer } from "@dragonflyledge/entry-reducer";
import type { EntryReducer } from "@dragonflyledge/entry-reducer";
import { createRandom, PROTOCOL_VERSION, SECOND } from "@dragonflyledge/model";
import type {
  AgentMessage,
  EntryEffect,
  EntryEvent,
  MemberReport,
  Milliseconds,
  Reserve,
} from "@dragonflyledge/model";
import { assignHomes } from "@dragonflyledge/placement";
import { createConfiguration, createInventories } from "./target.ts";
import type { Size } from "./target.ts";

/** An entry whose jobs run as soon as they are placed. */
export interface JobLoad {
  reducer: EntryReducer;
  /** Runs jobs one by one; returns the number of writes of their records. */
  run(jobs: number): number;
}

/** A job that has not ended after this time is an error. */
const MAX_JOB_TIME: Milliseconds = 10 * SECOND;
/** Time between two ticks of the entry. */
const TICK_INTERVAL: Milliseconds = 500;

/** Creates an entry with its agents. */
export function createJobLoad(size: Size & { seed: number }): JobLoad {
  const configuration = createConfiguration(size);
  const inventories = createInventories(size.workers);
  const random = createRandom(size.seed);
  const reducer = createEntryReducer({ id: "e1", incarnation: 1, random });
  const homes = assignHomes({ configuration, inventories, version: 1 });
  const reserved = new Map<string, Reserve>();
  let now = 0;
  let revision = 1;
  let writes = 0;
  let jobs = 0;
  let ended = 0;

  function dispatch(event: EntryEvent): void {
    const waiting = [event];
    for (let next = waiting.shift(); next; next = waiting.shift()) {
      for (const effect of reducer.reduce(next)) {
        waiting.push(...perform(effect));
      }
    }
  }

  function perform(effect: EntryEffect): EntryEvent[] {
    if (effect.kind === "loadJobs") {
      return [{ kind: "jobsLoaded", now, jobs: [] }];
    }
    if (effect.kind === "writeJob") {
      writes++;
      if (effect.record.state === "succeeded") ended++;
      const { write, record } = effect;
      return [{
        kind: "jobWritten",
        now,
        job: record.id,
        write,
        result: "stored",
        revision: ++revision,
      }];
    }
    if (effect.kind !== "send") return [];
    const { worker, incarnation, message } = effect;
    const base = { kind: "message" as const, now, worker, incarnation };
    const answer = answerOf(worker, message);
    return answer ? [{ ...base, message: answer }] : [];
  }

  function answerOf(
    worker: string,
    message: Extract<EntryEffect, { kind: "send" }>["message"],
  ): AgentMessage | undefined {
    if (message.kind === "reserve") {
      reserved.set(`${worker}/${message.run.job}`, message);
      return { kind: "reserved", run: message.run };
    }
    if (message.kind !== "commit" && message.kind !== "renew") return undefined;
    const { run } = message;
    const reserve = reserved.get(`${worker}/${run.job}`);
    if (!reserve) return undefined;
    const state = message.kind === "commit" ? "running" : "finished";
    const members = reserve.members.map((member): MemberReport => ({
      ...member,
      run,
      team: reserve.team,
      class: reserve.class,
      urgent: reserve.urgent,
      revocable: reserve.revocable,
      state,
    }));
    return { kind: "runState", run, members };
  }

  const entry = {
    id: "e1",
    incarnation: 1,
    address: "e1:1",
    httpAddress: "e1:2",
  };
  dispatch({ kind: "configurationSeen", now, configuration });
  dispatch({ kind: "homesSeen", now, homes });
  dispatch({ kind: "entriesSeen", now, entries: [entry] });
  for (const inventory of inventories) {
    const worker = inventory.worker;
    const versions = { configuration: configuration.version, homes: 1 };
    dispatch({
      kind: "agentConnected",
      now,
      hello: {
        kind: "hello",
        protocol: PROTOCOL_VERSION,
        role: "agent",
        id: worker,
        incarnation: 1,
        versions,
        inventory,
      },
    });
    dispatch({
      kind: "message",
      now,
      worker,
      incarnation: 1,
      message: {
        kind: "report",
        worker,
        incarnation: 1,
        versions,
        leaving: false,
        slotsUsed: 0,
        slotsByClass: {},
        members: [],
        usage: { cores: 0, memoryMiB: 0, age: 0 },
      },
    });
  }

  function runOne(): void {
    const job = `01JG${String(jobs++).padStart(16, "0")}`;
    const before = ended;
    dispatch({
      kind: "leaseRenewed",
      now,
      validUntil: now + MAX_JOB_TIME,
    });
    dispatch({
      kind: "jobSubmitted",
      now,
      job,
      submitted: "2026-01-01T00:00:00.000Z",
      spec: {
        team: configuration.teams[jobs % configuration.teams.length]!.name,
        class: "recipe-tuning",
        members: 8,
        perMember: { accelerators: 0, cores: 1, memoryMiB: 1024 },
        adjacency: "any",
        revocable: true,
        idempotent: false,
        declaredRunTime: 3_600_000,
        command: "tune --recipe plantain --batch 64",
      },
    });
    const end = now + MAX_JOB_TIME;
    while (ended === before && now < end) {
      now += TICK_INTERVAL;
      dispatch({ kind: "tick", now });
    }
    if (ended === before) throw new Error(`job ${job} did not end`);
  }

  return {
    reducer,
    run(count) {
      const before = writes;
      for (let index = 0; index < count; index++) runOne();
      return writes - before;
    },
  };
}
