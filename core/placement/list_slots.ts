/**
 * Places for members of a gang on one worker.
 *
 * @module
 */

import type { JobSpec, RunId } from "@dragonflyledge/model";
import { runKey } from "./choose_victims.ts";
import { findBlockStart, listBlock } from "./find_block.ts";
import type { HeldMember, HomeIndex, WorkerView } from "./worker_view.ts";

/** How an accelerator may be used by a gang, the best first. */
export const AccessLevel = {
  OwnFree: 0,
  OwnReclaimed: 1,
  Unassigned: 2,
  Borrowed: 3,
  Preempted: 4,
  Unusable: 5,
} as const;
/** One of the levels; lower is better. */
export type AccessLevel = typeof AccessLevel[keyof typeof AccessLevel];

/** The gang to be placed. */
export interface Gang {
  spec: JobSpec;
  urgent: boolean;
}

/** A place for one member. */
export interface MemberPlacement {
  view: WorkerView;
  accelerators: number[];
  victims: RunId[];
  rank: number;
}

/** Level of each accelerator of the worker for this gang. */
export function listAccessLevels(fields: {
  view: WorkerView;
  homes: HomeIndex;
  gang: Gang;
  /** Treats the worker as if nothing ran on it. */
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
  const outranks = gang.urgent && !holder.urgent;
  if (owner === team) {
    const lent = holder.team !== team;
    return lent || outranks ? AccessLevel.OwnReclaimed : AccessLevel.Unusable;
  }
  if (owner === undefined && outranks) return AccessLevel.Preempted;
  return AccessLevel.Unusable;
}

/** Places on one worker at levels up to `limit`, at most `most`. */
export function listMemberPlacements(fields: {
  view: WorkerView;
  levels: readonly AccessLevel[];
  holders: readonly (HeldMember | undefined)[];
  spec: JobSpec;
  limit: AccessLevel;
  maxCount: number;
  idle: boolean;
}): MemberPlacement[] {
  const { view, levels, holders, spec, limit } = fields;
  const { accelerators: size, cores, memoryMiB } = spec.perMember;
  const usable = levels.map((level) => level <= limit);
  const free = { ...(fields.idle ? view.inventory.capacity : view.free) };
  const slots: MemberPlacement[] = [];
  while (slots.length < fields.maxCount) {
    const accelerators = size === 0
      ? []
      : chooseAccelerators(usable, levels, spec);
    if (accelerators === undefined) break;
    const stopped = listHoldersOf(accelerators, holders);
    // Only capacity that this place itself frees counts for it, so that any
    // subset of the places of a worker fits.
    const needCores = Math.max(0, cores - sumHeld(stopped, "cores"));
    const needMemory = Math.max(0, memoryMiB - sumHeld(stopped, "memoryMiB"));
    if (needCores > free.cores || needMemory > free.memoryMiB) break;
    free.cores -= needCores;
    free.memoryMiB -= needMemory;
    for (const index of accelerators) usable[index] = false;
    slots.push({ view, accelerators, victims: distinctRuns(stopped), rank: 0 });
  }
  return slots;
}

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
  const loose = usable.flatMap((isUsable, index) => isUsable ? [index] : []);
  if (loose.length < size) return undefined;
  loose.sort((a, b) => (levels[a] ?? 0) - (levels[b] ?? 0) || a - b);
  return loose.slice(0, size).sort((a, b) => a - b);
}

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

function sumHeld(members: HeldMember[], field: "cores" | "memoryMiB"): number {
  return members.reduce((total, member) => total + member[field], 0);
}

function distinctRuns(members: HeldMember[]): RunId[] {
  const runs = new Map(members.map(({ run }) => [runKey(run), run]));
  return [...runs.values()];
}
