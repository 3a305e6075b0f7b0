import { test } from "tap";
import type { ControlEffect } from "./mod.ts";
import { announcement, createWithWorker } from "./setup_for_tests.ts";

const textsOf = (effects: ControlEffect[]) =>
  effects.flatMap((effect) => effect.kind === "log" ? [effect.fields] : []);

// Guards against starts for capacity that the worker has lost, and against a
// worker that counts as ready again: an earlier heartbeat arrives after a later.
test("a heartbeat that a later one has overtaken changes nothing", (t) => {
  const { control, reduce } = createWithWorker();
  const announce = (now: number, fields: object) =>
    reduce({ kind: "announced", now, announcement: announcement(fields) });
  announce(100, { sequence: 5, accelerators: 4, draining: true });
  const effects = announce(110, { sequence: 4, accelerators: 8 });
  t.match(control.state.worker?.state, { accelerators: 4, draining: true });
  t.match(textsOf(effects), [{ reason: "sequence", sequence: 4 }]);
  t.end();
});

// Guards against a worker that is replaced by its own former incarnation, whose
// last heartbeat was held back.
test("a heartbeat of a former incarnation changes nothing", (t) => {
  const { control, reduce } = createWithWorker();
  const announce = (now: number, fields: object) =>
    reduce({ kind: "announced", now, announcement: announcement(fields) });
  announce(100, { born: 2000 });
  const effects = announce(110, { born: 1000, sequence: 99 });
  t.equal(control.state.worker?.state.key, "i-1@2000");
  t.match(textsOf(effects), [{ reason: "incarnation", worker: "i-1@1000" }]);
  t.end();
});
