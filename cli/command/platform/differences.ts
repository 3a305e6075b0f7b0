/**
 * Differences between two configurations of the platform, as an operator thinks
 * of them: queues, teams, keys and limits. No key is shown.
 *
 * @module
 */

import { fieldPath, listPath } from "@dragonflyledge/platform";
import type {
  Located,
  StrictConfiguration,
  StrictQueue,
  StrictTeam,
} from "@dragonflyledge/platform";

/** What became of an item. */
export const ChangeKind = {
  Added: "added",
  Removed: "removed",
  Changed: "changed",
} as const;
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind];

/** One difference. */
export interface Difference {
  kind: ChangeKind;
  /** Such as `queue plans` or `team lab`. */
  what: string;
  /** Place in the later configuration, or in the earlier one if removed. */
  path: string;
  text: string;
}

type Named = Located & { name: string };

/** Lists the differences, in the order of the document's parts. */
export function listDifferences(
  before: StrictConfiguration,
  after: StrictConfiguration,
): Difference[] {
  return [
    ...compareItems({
      what: "queue",
      before: before.queues,
      after: after.queues,
      describe: describeQueue,
      compare: (a, b) => compareFields(a, b, "queue"),
    }),
    ...compareItems({
      what: "service",
      before: before.services,
      after: after.services,
      describe: () => "",
      compare: (a, b) => compareFields(a, b, "service"),
    }),
    ...compareItems({
      what: "team",
      before: before.teams,
      after: after.teams,
      describe: describeTeam,
      compare: compareTeams,
    }),
    ...compareFields(
      { ...before.limits, name: "" },
      { ...after.limits, name: "" },
      "limits",
    ),
  ];
}

/** Formats a difference as one line that begins with `+`, `-` or `~`. */
export function formatDifference(
  { kind, what, path, text }: Difference,
): string {
  const sign = { added: "+", removed: "-", changed: "~" }[kind];
  const detail = text === "" ? "" : `: ${text}`;
  return `${sign} ${what} ${kind}${detail} (${path})`;
}

/** Compares items by name; those without one by their place. */
function compareItems<T extends Named>(fields: {
  what: string;
  before: T[];
  after: T[];
  describe: (item: T) => string;
  compare: (before: T, after: T) => Difference[];
}): Difference[] {
  const { what, before, after, describe, compare } = fields;
  const earlier = new Map(before.map((item) => [item.name || item.path, item]));
  const later = new Map(after.map((item) => [item.name || item.path, item]));
  const whole = (kind: ChangeKind, item: T): Difference => ({
    kind,
    what: `${what} ${item.name}`.trim(),
    path: item.path,
    text: describe(item),
  });
  const removed = [...earlier].filter(([name]) => !later.has(name))
    .map(([, item]) => whole(ChangeKind.Removed, item));
  const others = [...later].flatMap(([name, item]) => {
    const known = earlier.get(name);
    return known ? compare(known, item) : [whole(ChangeKind.Added, item)];
  });
  return [...removed, ...others];
}

/** Compares all fields but for the place, the name and keys. */
function compareFields<T extends Named>(
  before: T,
  after: T,
  what: string,
): Difference[] {
  const hidden = new Set(["path", "name", "keys"]);
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...fields].filter((field) => !hidden.has(field)).flatMap((field) => {
    const from = format((before as Record<string, unknown>)[field]);
    const to = format((after as Record<string, unknown>)[field]);
    if (from === to) return [];
    return [{
      kind: ChangeKind.Changed,
      what: `${what} ${after.name}`.trim(),
      path: fieldPath(after, field),
      text: `${from} -> ${to}`,
    }];
  });
}

function compareTeams(before: StrictTeam, after: StrictTeam): Difference[] {
  const what = `key of team ${after.name}`;
  const keyOf = (kind: ChangeKind, team: StrictTeam, index: number) => ({
    kind,
    what,
    path: fieldPath(team, listPath("keys", index)),
    text: "",
  });
  const removed = before.keys.flatMap((key, index) =>
    after.keys.includes(key) ? [] : [keyOf(ChangeKind.Removed, before, index)]
  );
  const added = after.keys.flatMap((key, index) =>
    before.keys.includes(key) ? [] : [keyOf(ChangeKind.Added, after, index)]
  );
  return [...compareFields(before, after, "team"), ...removed, ...added];
}

function describeQueue(queue: StrictQueue): string {
  return `${queue.host}${queue.prefix} to service ${queue.service}, priority ` +
    queue.priority;
}

function describeTeam({ keys, guaranteedAccelerators }: StrictTeam): string {
  return `${keys.length} keys, ${guaranteedAccelerators} accelerators ` +
    "guaranteed";
}

function format(value: unknown): string {
  return value === undefined ? "none" : JSON.stringify(value);
}
