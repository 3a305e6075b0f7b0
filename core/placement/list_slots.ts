/**
 * Finds the accelerators of one worker that members of a gang may use.
 *
 * @module
 */

import type { JobSpec, RunId } from "@dragonflyledge/model";
import { runKey } from "./choose_victims.ts";
import { findBlockStart, listBlock } from "./find_block.ts";
import type { HeldMember, HomeIndex, WorkerView } from "./worker_view.ts";

/** How a gang may use an accelerator. Lower levels are preferred. */
export const AccessLevel = {
  /** In a home of the gang's team, and free. */
  OwnFree: 0,
  /**
   * In a home of the gang's team, and held by a revocable gang of another team
   * or, if the gang is urgent, by a deferrable one of any team. The gang that
   * holds it is stopped.
   */
  OwnReclaimed: 1,
  /** In no home, and free. */
  Unassigned: 2,
  /** In a home of another team, and free; only for revocable gangs. */
  Borrowed: 3,
  /**
   * In no home, and held by a deferrable revocable gang, which is stopped; only
   * for urgent gangs.
   */
  Preempted: 4,
  /** Not available to the gang. */
  Unusable: 5,
} as const;
/** One of the values of `AccessLevel`. */
export type AccessLevel = typeof AccessLevel[keyof typeof AccessLevel];

/** The gang to be placed. */
export interface Gang {
  spec: JobSpec;
  /** Whether the class of the gang is urgent. */
  urgent: boolean;
}

/** A worker and accelerators on it that one member of the gang could use. */
export interface MemberPlacement {
  view: WorkerView;
  accelerators: number[];
  /** Gangs that hold these accelerators and would have to be stopped. */
  victims: RunId[];
  /** Position in the order of preference of `packGang`; lower is better. */
  rank: number;
}

/**
 * Returns the access level of each accelerator of the worker for the gang, and
 * the member that holds each accelerator.
 */
export function listAccessLevels(fields: {
  view: WorkerView;
  homes: HomeIndex;
  gang: Gang;
  /** Treats the worker as if no member held capacity on it. */
  idle: boolean;
}): { levels: AccessLevel[]; holders: (HeldMember | undefined)[] } {
  const { view, homes, gang } = fields;
  const owners = homes.get(view.inventory.worker) ?? [];
  const holders: (HeldMember | undefined)[] = [];
  if (!fields.idle) {
    for (const held of view.held) {
      for (const index of held.accelerators) holders[index] = held;
    }
  }
  const levels: AccessLevel[] = [];
  for (let index = 0; index < view.inventory.capacity.accelerators; index++) {
    levels.push(accessLevelOf(gang, owners[index], holders[index]));
  }
  return { levels, holders };
}

/** Returns the access level of an accelerator with this owner and holder. */
function accessLevelOf(
  gang: Gang,
  owner: string | undefined,
  holder: HeldMember | undefined,
): AccessLevel {
  const team = gang.spec.team;
  if (holder === undefined) {
    if (owner === team) return AccessLevel.OwnFree;
    if (owner === undefined) return AccessLevel.Unassigned;
    return gang.spec.revocable ? AccessLevel.Borrowed : AccessLevel.Unusable;
  }
  if (!holder.revocable) return AccessLevel.Unusable;
  const mayPreempt = gang.urgent && !holder.urgent;
  if (owner === team) {
    const lent = holder.team !== team;
    return lent || mayPreempt ? AccessLevel.OwnReclaimed : AccessLevel.Unusable;
  }
  if (owner === undefined && mayPreempt) return AccessLevel.Preempted;
  return AccessLevel.Unusable;
}

/**
 * Lists up to `maxCount` placements on the worker that use accelerators of
 * levels up to `limit` and do not overlap. All of them fit at the same time.
 */
export function listMemberPlacements(fields: {
  view: WorkerView;
  levels: readonly AccessLevel[];
  holders: readonly (HeldMember | undefined)[];
  spec: JobSpec;
  limit: AccessLevel;
  maxCount: number;
  /** Treats the worker as if no member held capacity on it. */
  idle: boolean;
}): MemberPlacement[] {
  const { view, levels, holders, spec, limit } = fields;
  const { accelerators: size, cores, memoryMiB } = spec.perMember;
  const usable = levels.map((level) => level <= limit);
  const free = { ...(fields.idle ? view.inventory.capacity : view.free) };
  const placements: MemberPlacement[] = [];
  while (placements.length < fields.maxCount) {
    const accelerators = size === 0
      ? []
      : chooseAccelerators(usable, levels, spec);
    if (accelerators === undefined) break;
    const stopped = listHoldersOf(accelerators, holders);
    // Counts only the cores and memory that this placement itself frees, so that
    // any subset of the worker's placements fits.
    const needCores = Math.max(0, cores - sumHeld(stopped, "cores"));
    const needMemory = Math.max(0, memoryMiB - sumHeld(stopped, "memoryMiB"));
    if (needCores > free.cores || needMemory > free.memoryMiB) break;
    free.cores -= needCores;
    free.memoryMiB -= needMemory;
    for (const index of accelerators) usable[index] = false;
    placements.push({
      view,
      accelerators,
      victims: distinctRuns(stopped),
      rank: 0,
    });
  }
  return placements;
}

/**
 * Chooses accelerators for one member: the aligned block with the lowest sum of
 * levels or, unless the accelerators must be adjacent, those of the lowest
 * levels.
 */
function chooseAccelerators(
  usable: boolean[],
  levels: readonly AccessLevel[],
  spec: JobSpec,
): number[] | undefined {
  const size = spec.perMember.accelerators;
  const cost = (start: number) =>
    listBlock(start, size).reduce(
      (sum, index) => sum + (levels[index] ?? 0),
      0,
    );
  const start = findBlockStart({ usable, size, cost });
  if (start >= 0) return listBlock(start, size);
  if (spec.adjacency === "worker") return undefined;
  const indexes = usable.flatMap((isUsable, index) => isUsable ? [index] : []);
  if (indexes.length < size) return undefined;
  indexes.sort((a, b) => (levels[a] ?? 0) - (levels[b] ?? 0) || a - b);
  return indexes.slice(0, size).sort((a, b) => a - b);
}

/** Returns the members that hold any of the accelerators, each once. */
function listHoldersOf(
  accelerators: number[],
  holders: readonly (HeldMember | undefined)[],
): HeldMember[] {
  const members = new Set<HeldMember>();
  for (const index of accelerators) {
    const holder = holders[index];
    if (holder !== undefined) members.add(holder);
  }
  return [...members];
}

/** Sums the cores or memory that the members hold. */
function sumHeld(members: HeldMember[], field: "cores" | "memoryMiB"): number {
  return members.reduce((total, member) => total + member[field], 0);
}

function distinctRuns(members: HeldMember[]): RunId[] {
  const runs = new Map(members.map(({ run }) => [runKey(run), run]));
  return [...runs.values()];
}
