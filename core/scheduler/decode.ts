/**
 * Decodes messages between the leader and the agents. A message of another
 * shape, from a process of another build or a stranger, is refused whole, so
 * that none of it reaches a reducer.
 *
 * @module
 */

import { RunEnding } from "./messages.ts";
import type {
  AgentOrders,
  AgentReport,
  CrashedRun,
  EndedTask,
  RefusedStart,
  RunName,
  RunningTask,
  StartOrder,
  WorkerCrash,
  WorkerSilence,
  WorkerState,
} from "./messages.ts";
import type { Capacity } from "./state.ts";

type Guard<T> = (value: unknown) => value is T;

const isText: Guard<string> = (value) => typeof value === "string";
const isFlag: Guard<boolean> = (value) => typeof value === "boolean";
const isNumber: Guard<number> = (value): value is number =>
  typeof value === "number" && Number.isFinite(value);
const isEnding: Guard<RunEnding> = (value): value is RunEnding =>
  Object.values(RunEnding).some((ending) => ending === value);

/** Guards a list whose entries all pass the guard. */
function listOf<T>(guard: Guard<T>): Guard<T[]> {
  return (value): value is T[] => Array.isArray(value) && value.every(guard);
}

/** Guards an object that has each of the given fields; others are ignored. */
function objectWith<T extends object>(
  guards: { [Field in keyof T]-?: Guard<T[Field]> },
): Guard<T> {
  const fields = Object.entries(guards) as [string, Guard<unknown>][];
  return (value): value is T =>
    typeof value === "object" && value !== null &&
    fields.every(([name, guard]) =>
      guard((value as Record<string, unknown>)[name])
    );
}

const isRunName = objectWith<RunName>({ task: isText, run: isNumber });
const isRunningTask = objectWith<RunningTask>({
  task: isText,
  run: isNumber,
  checkpoint: isText,
  percent: isNumber,
});
const isEndedTask = objectWith<EndedTask>({
  number: isNumber,
  task: isText,
  run: isNumber,
  ending: isEnding,
  checkpoint: isText,
});
const isRefusedStart = objectWith<RefusedStart>({
  task: isText,
  run: isNumber,
  reason: isText,
});
const isStartOrder = objectWith<StartOrder>({
  task: isText,
  run: isNumber,
  spec: isText,
  checkpoint: isText,
});
const isCapacity = objectWith<Capacity>({
  millicores: isNumber,
  megabytes: isNumber,
  accelerators: isNumber,
});
const isOptionalCapacity = (value: unknown): value is Capacity | undefined =>
  value === undefined || isCapacity(value);
const isWorkerState = objectWith<WorkerState>({
  key: isText,
  born: isNumber,
  service: isText,
  rack: isText,
  labels: listOf(isText),
  millicores: isNumber,
  megabytes: isNumber,
  accelerators: isNumber,
  full: isOptionalCapacity,
  draining: isFlag,
  remaining: isNumber,
  reachable: isFlag,
});
const isCrashedRun = objectWith<CrashedRun>({
  task: isText,
  run: isNumber,
  workedFor: isNumber,
});
const isSilence = objectWith<WorkerSilence>({
  aliveAgo: isNumber,
  failedAgo: isNumber,
});
const isOptionalSilence = (
  value: unknown,
): value is WorkerSilence | undefined =>
  value === undefined || isSilence(value);
const isCrash = objectWith<WorkerCrash>({
  worker: isText,
  runs: listOf(isCrashedRun),
  silence: isOptionalSilence,
});
const isCrashList = listOf(isCrash);
const isRunNameList = listOf(isRunName);
const isReport = objectWith<AgentReport>({
  kind: (value): value is "report" => value === "report",
  sentAt: isNumber,
  worker: (value): value is WorkerState | undefined =>
    value === undefined || isWorkerState(value),
  listed: isFlag,
  running: listOf(isRunningTask),
  unsettled: (value): value is RunName[] | undefined =>
    value === undefined || isRunNameList(value),
  ended: listOf(isEndedTask),
  refused: listOf(isRefusedStart),
  absent: listOf(isRunName),
  vacant: isFlag,
  emptied: listOf(isText),
  crashes: (value): value is WorkerCrash[] | undefined =>
    value === undefined || isCrashList(value),
  silence: isOptionalSilence,
});
const isOrders = objectWith<AgentOrders>({
  kind: (value): value is "orders" => value === "orders",
  epoch: isNumber,
  answersReport: isNumber,
  worker: isText,
  capacity: isOptionalCapacity,
  starts: listOf(isStartOrder),
  stops: listOf(isRunName),
  acknowledged: isNumber,
});

/** Returns the message if it is a whole report, otherwise undefined. */
export function decodeReport(message: unknown): AgentReport | undefined {
  return isReport(message) ? message : undefined;
}

/** Returns the message if it is whole orders, otherwise undefined. */
export function decodeOrders(message: unknown): AgentOrders | undefined {
  return isOrders(message) ? message : undefined;
}
