/**
 * Measures the cost of real sessions on loopback, both ends in this process.
 *
 * @module
 */

import process from "node:process";
import {
  createRandom,
  PROTOCOL_VERSION,
  REPORT_INTERVAL,
  SECOND,
} from "@dragonflyledge/model";
import type { Hello, Milliseconds } from "@dragonflyledge/model";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import { createDialer, listen } from "@dragonflyledge/session";
import type { Session, SessionHandlers } from "@dragonflyledge/session";
import { createHeartbeat, createReport, workerName } from "./messages.ts";
import { measureSlope } from "./slope.ts";
import type { Slope } from "./slope.ts";
import { collectGarbage } from "./timing.ts";

const SESSIONS = [10, 50, 200];
const TASKS_PER_WORKER = 15;
/** One report of each session falls into this time. */
const RUN_TIME: Milliseconds = REPORT_INTERVAL;

/** Cost of some sessions, both ends together. */
interface Cost {
  /** Bytes sent a second. */
  bytes: number;
  /** Processor time in microseconds a second. */
  time: number;
  /** Bytes of heap and buffers. */
  memory: number;
}

/** Bytes, processor time and memory by number of sessions. */
export async function measureSessions(seed: number): Promise<Slope[]> {
  const costs = new Map<number, Cost>();
  for (const count of SESSIONS) {
    costs.set(count, await measureCost(count, seed));
  }
  const by = (name: string, unit: string, field: keyof Cost) =>
    measureSlope({
      name,
      unit,
      over: "sessions",
      sizes: SESSIONS,
      measure: (n) => costs.get(n)![field],
    });
  return [
    by("sessions, both ways", "B/s", "bytes"),
    by("sessions, both ends", "us/s", "time"),
    by("sessions, both ends", "B", "memory"),
  ];
}

async function measureCost(count: number, seed: number): Promise<Cost> {
  const clock = createSystemClock();
  const timer = createSystemTimer();
  const random = createRandom(seed);
  const { versions: held } = createHeartbeat();
  const versions = () => held;
  const hello = (role: Hello["role"], id: string) => (): Hello => ({
    kind: "hello",
    protocol: PROTOCOL_VERSION,
    role,
    id,
    incarnation: 1,
    versions: held,
  });
  collectGarbage();
  const memoryBefore = usedMemory();
  const accepted: Session[] = [];
  const opened: Session[] = [];
  let wake = () => {};
  const handlersOf = (list: Session[]): SessionHandlers => ({
    onOpen: (session) => {
      list.push(session);
      wake();
    },
    onMessage: () => {},
    onHeartbeat: () => {},
    onClose: () => {},
  });
  const listener = (await listen({
    host: "127.0.0.1",
    port: 0,
    hello: hello("entry", "e1"),
    versions,
    handlers: handlersOf(accepted),
    clock,
    timer,
  }))._unsafeUnwrap();
  const dialers = Array.from({ length: count }, (_, index) =>
    createDialer({
      address: `127.0.0.1:${listener.port}`,
      hello: hello("agent", workerName(index)),
      versions,
      handlers: handlersOf(opened),
      clock,
      timer,
      random,
    }));
  while (opened.length < count || accepted.length < count) {
    await new Promise<void>((resolve) => wake = resolve);
  }
  const sent = () =>
    [...opened, ...accepted]
      .reduce((sum, session) => sum + session.traffic.bytesSent, 0);
  const reports = opened.map((_, index) =>
    createReport(index, TASKS_PER_WORKER)
  );
  collectGarbage();
  const memoryHeld = usedMemory() - memoryBefore;
  const bytesBefore = sent();
  const cpuBefore = process.cpuUsage();
  opened.forEach((session, index) =>
    timer.after(
      RUN_TIME * (index + 0.5) / count,
      () => session.send(reports[index]!),
    )
  );
  await new Promise<void>((resolve) => timer.after(RUN_TIME, resolve));
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = RUN_TIME / SECOND;
  const cost = {
    bytes: (sent() - bytesBefore) / seconds,
    time: (cpu.user + cpu.system) / seconds,
    memory: memoryHeld,
  };
  for (const dialer of dialers) dialer.stop();
  await listener.close();
  return cost;
}

function usedMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
