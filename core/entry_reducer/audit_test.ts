import { test } from "tap";
import { createRandom } from "@dragonflyledge/model";
import type {
  AuditRecord,
  EntryEffect,
  HomesTable,
} from "@dragonflyledge/model";
import { auditHomes } from "./audit.ts";
import { createEntryReducer } from "./reducer.ts";

function table(version: number, places: string[]): HomesTable {
  const homes = places.map((worker, instance) => ({
    team: "a",
    shape: 0,
    instance,
    parts: [{ worker, accelerators: [0, 1] }],
  }));
  return { version, configurationVersion: 1, homes, unplaced: [] };
}

/** Returns the audit records that a change of the homes table causes. */
function auditedRecords(before: HomesTable | undefined, after: HomesTable) {
  const random = createRandom(1);
  const { state } = createEntryReducer({ id: "e1", incarnation: 1, random });
  const records: AuditRecord[] = [];
  auditHomes(state, { before, after }, (effect: EntryEffect) => {
    if (effect.kind === "audit") records.push(effect.record);
  });
  return records;
}

// Guards against homes whose moves can't be traced afterwards.
test("each home that moved is recorded with its old and new place", (t) => {
  const before = table(1, ["w1", "w2"]);
  const records = auditedRecords(before, table(2, ["w1", "w3"]));
  t.match(records, [{
    kind: "home",
    team: "a",
    worker: "w3",
    actor: "e1",
    reason: "a/0/1: w2[0,1] -> w3[0,1]",
    detail: { from: 1, to: 2 },
  }]);
  t.equal(records.length, 1);
  t.end();
});

// Guards against an audit trail that the loss of a failure domain fills with
// a record for every home.
test("moves beyond the first 32 are recorded as one number", (t) => {
  const places = Array.from({ length: 40 }, (_, index) => `w${index}`);
  const records = auditedRecords(undefined, table(1, places));
  t.equal(records.length, 33);
  t.equal(records.at(-1)!.reason, "8 more homes moved");
  t.end();
});
