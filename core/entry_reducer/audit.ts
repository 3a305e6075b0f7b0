/**
 * Records for the audit trail about workers and homes.
 *
 * @module
 */

import type { Home, HomesTable, WorkerId } from "@dragonflyledge/model";
import type { Emit, EntryState } from "./state.ts";

/** Most moves in one change that are recorded one by one. */
const MOVE_RECORD_LIMIT = 32;

/** Records a change of one worker, such as its drain or quarantine. */
export function auditWorker(
  state: EntryState,
  fields: { kind: string; worker: WorkerId; reason: string },
  emit: Emit,
): void {
  const common = { team: "", job: "", actor: state.id, detail: {} };
  emit({ kind: "audit", record: { ...common, ...fields } });
}

/**
 * Records each home whose workers or accelerators differ from those of the
 * table before, with the old and the new place. Moves beyond
 * `MOVE_RECORD_LIMIT` are counted in one last record.
 */
export function auditHomes(
  state: EntryState,
  fields: { before: HomesTable | undefined; after: HomesTable },
  emit: Emit,
): void {
  const { before, after } = fields;
  const former = new Map(before?.homes.map((home) => [homeName(home), home]));
  const moves = after.homes.flatMap((home) => {
    const from = describePlace(former.get(homeName(home)));
    return from === describePlace(home) ? [] : [{ home, from }];
  });
  const detail = { from: before?.version ?? 0, to: after.version };
  const common = { kind: "home", job: "", actor: state.id, detail };
  for (const { home, from } of moves.slice(0, MOVE_RECORD_LIMIT)) {
    const { team } = home;
    const worker = home.parts[0]?.worker ?? "";
    const reason = `${homeName(home)}: ${from} -> ${describePlace(home)}`;
    emit({ kind: "audit", record: { ...common, team, worker, reason } });
  }
  if (moves.length <= MOVE_RECORD_LIMIT) return;
  const reason = `${moves.length - MOVE_RECORD_LIMIT} more homes moved`;
  emit({ kind: "audit", record: { ...common, team: "", worker: "", reason } });
}

/** Returns the name of a home in the audit trail: team, shape and instance. */
function homeName(home: Home): string {
  return `${home.team}/${home.shape}/${home.instance}`;
}

/** Describes a home's workers and accelerators, such as `w1[0,1] w2[3]`. */
function describePlace(home: Home | undefined): string {
  if (home === undefined) return "none";
  return home.parts
    .map(({ worker, accelerators }) => `${worker}[${accelerators.join(",")}]`)
    .join(" ");
}
