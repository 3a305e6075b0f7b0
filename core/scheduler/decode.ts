/**
 * Decodes messages between the leader and the agents. A message of another
 * shape, from a process of another build or a stranger, is refused whole, so
 * that none of it reaches a reducer.
 *
 * @module
 */

import {
  isAmount,
  isCount,
  isFlag,
  isNumber,
  isText,
  listOf,
  objectWith,
  optional,
} from "./guards.ts";
import type { Guard } from "./guards.ts";
import { RunEnding } from "./messages.ts";
import type {
  AgentOrders,
  AgentReport,
  CrashedRun,
  EndedTask,
  Fence,
  KnownRate,
  RefusedStart,
  RunName,
  RunningTask,
  StartOrder,
  WorkerCrash,
  WorkerSilence,
  WorkerState,
} from "./messages.ts";
import type { Capacity } from "./messages.ts";

const isEnding: Guard<RunEnding> = (value): value is RunEnding =>
  Object.values(RunEnding).some((ending) => ending === value);

const isRunName = objectWith<RunName>({ task: isText, run: isCount });
const isRunningTask = objectWith<RunningTask>({
  task: isText,
  run: isCount,
  checkpoint: isText,
  percent: isNumber,
});
const isEndedTask = objectWith<EndedTask>({
  number: isCount,
  task: isText,
  run: isCount,
  ending: isEnding,
  checkpoint: isText,
});
const isRefusedStart = objectWith<RefusedStart>({
  task: isText,
  run: isCount,
  reason: isText,
});
const isStartOrder = objectWith<StartOrder>({
  task: isText,
  run: isCount,
  spec: isText,
  checkpoint: isText,
});
const isCapacity = objectWith<Capacity>({
  millicores: isAmount,
  megabytes: isAmount,
  accelerators: isAmount,
});
const isWorkerState = objectWith<WorkerState>({
  key: isText,
  born: isCount,
  service: isText,
  rack: isText,
  failureDomain: optional(isText),
  labels: listOf(isText),
  millicores: isAmount,
  megabytes: isAmount,
  accelerators: isAmount,
  full: optional(isCapacity),
  draining: isFlag,
  remaining: isAmount,
  warmupLeft: optional(isAmount),
  reachable: isFlag,
});
const isCrashedRun = objectWith<CrashedRun>({
  task: isText,
  run: isCount,
  workedFor: isAmount,
});
const isSilence = objectWith<WorkerSilence>({
  aliveAgo: isNumber,
  failedAgo: isNumber,
});
const isCrash = objectWith<WorkerCrash>({
  worker: isText,
  runs: listOf(isCrashedRun),
  silence: optional(isSilence),
});
const isKnownRate = objectWith<KnownRate>({
  mean: isNumber,
  variance: isAmount,
});
const isFence = objectWith<Fence>({ holder: isText, number: isCount });
const isReport = objectWith<AgentReport>({
  kind: (value): value is "report" => value === "report",
  sentAt: isNumber,
  holder: optional(isText),
  leaseLeft: optional(isAmount),
  worker: optional(isWorkerState),
  listed: isFlag,
  running: listOf(isRunningTask),
  listClock: optional(isNumber),
  unsettled: optional(listOf(isRunName)),
  openStarts: optional(listOf(isRunName)),
  ended: listOf(isEndedTask),
  allEnds: optional(isFlag),
  refused: listOf(isRefusedStart),
  absent: listOf(isRunName),
  vacant: isFlag,
  emptied: listOf(isText),
  crashes: optional(listOf(isCrash)),
  silence: optional(isSilence),
  rate: optional(isKnownRate),
});
const isOrders = objectWith<AgentOrders>({
  kind: (value): value is "orders" => value === "orders",
  epoch: isCount,
  answersReport: isNumber,
  fence: optional(isFence),
  worker: isText,
  capacity: optional(isCapacity),
  starts: listOf(isStartOrder),
  later: optional(listOf(isRunName)),
  stops: listOf(isRunName),
  acknowledged: isCount,
  rate: optional(isKnownRate),
});

/** Returns the message if it is a whole report, otherwise undefined. */
export function decodeReport(message: unknown): AgentReport | undefined {
  return isReport(message) ? message : undefined;
}

/** Returns the message if it is whole orders, otherwise undefined. */
export function decodeOrders(message: unknown): AgentOrders | undefined {
  return isOrders(message) ? message : undefined;
}
