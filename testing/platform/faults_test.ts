import { test } from "tap";
import {
  drawFault,
  FAULT_NAMES,
  FAULTS,
  FORMER_FAULT_NAMES,
  LONG_FAULTS,
} from "./soak/faults.ts";
import { RETURNED_WORKER_FAULTS } from "./soak/returned_worker_faults.ts";

/** Longest time for which a start that was ordered may still be carried out. */
const GRANT = 8000;

// Guards against faults that are over before the agent's grant, so that no
// message is overtaken, and against a misspelt name that draws nothing.
test("faults last for a time within their bounds", (t) => {
  for (const name of ["formerLinks", "pauseAgentLong", "lapseWorker"]) {
    t.ok(drawFault(name, () => 0).time > GRANT, name);
  }
  for (const [name, { shortest, longest }] of Object.entries(LONG_FAULTS)) {
    t.equal(drawFault(name, () => 0).time, shortest);
    t.equal(drawFault(name, () => 1).time, longest);
    t.notOk(name in FAULTS, "the short soak does not draw it");
  }
  for (const name of Object.keys(RETURNED_WORKER_FAULTS)) {
    t.ok(drawFault(name, () => 0).time > GRANT, name);
    t.ok(FAULT_NAMES.includes(name), "the long soak draws it");
    t.notOk(FORMER_FAULT_NAMES.includes(name), "former seeds do not draw it");
  }
  for (const name of Object.keys(FAULTS)) {
    t.ok(drawFault(name, () => 1).time < GRANT, name);
  }
  t.throws(() => drawFault("formerLink", () => 0), { message: /formerLink/ });
  t.end();
});
