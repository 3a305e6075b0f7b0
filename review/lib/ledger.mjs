/** Everything that clients sent and that workers ran, and the record of it. */
import { appendFileSync, writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

/** Creates a ledger that writes its lines to the file at `path`. */
export function createLedger(path) {
  const begunAt = performance.now();
  const runs = [];
  writeFileSync(path, "");

  const now = () => performance.now() - begunAt;

  function note(text) {
    appendFileSync(path, `${(now() / 1000).toFixed(3)} ${text}\n`);
  }

  return {
    now,
    note,
    /** All runs that workers started, in order. */
    runs,
    started: ({ worker, task, run, spec }) => {
      const begun = { worker, task, run, spec, startedAt: now() };
      runs.push(begun);
      note(`${worker} started ${task} run ${run}`);
      return begun;
    },
    ended: (begun, how) => {
      begun.endedAt = now();
      begun.how = how;
      note(`${begun.worker} ended ${begun.task} run ${begun.run}: ${how}`);
    },
    /** The end was taken note of: `lastSeen` of the system reached it. */
    seen: (begun) => {
      begun.seenAt = now();
    },
  };
}
