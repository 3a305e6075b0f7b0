import { execFileSync } from "node:child_process";
import { once } from "node:events";
import { constants, mkdtempSync, openSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { startPrograms } from "./mod.ts";

const START_TIMEOUT = 20_000;
/** Guaranteed bound on recovery in ms; a job of 300 ms has to end in it. */
const RECOVERY_BOUND = 12_000;
/** Time between SIGTERM and SIGKILL in milliseconds. */
const STOP_GRACE = 6000;
const POLL_INTERVAL = 100;
const PATH = "/plans/00000000000000a1";
const JOB = { spec: "text", steps: [{ count: 3, cpu: 1000, gpu: 1 }] };

/** Returns the write end of a full pipe that nobody reads. */
function fillPipe(directory: string): number {
  const path = join(directory, "output");
  execFileSync("mkfifo", [path]);
  const filler = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  const line = "x".repeat(1024);
  for (;;) {
    try {
      writeSync(filler, line);
    } catch (error) {
      if ((error as { code?: string }).code !== "EAGAIN") throw error;
      return openSync(path, "w");
    }
  }
}

// Guards against a program that blocks on writing its log when the reader of
// its output does not keep up.
test("programs go on while nobody reads their output", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "dragonflyledge-"));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const programs = await startPrograms({
    entries: 2,
    agents: 2,
    duration: 300,
    output: fillPipe(directory),
  });
  t.teardown(() => programs.stop());
  const { entries, agents, call } = programs;
  const until = async (limit: number, condition: () => Promise<boolean>) => {
    const end = performance.now() + limit;
    while (performance.now() < end) {
      if (await condition()) return true;
      await sleep(POLL_INTERVAL);
    }
    return false;
  };
  const accepted = () =>
    call(entries[0]!, "POST", PATH, JOB).then(({ status }) => status === 200);
  t.ok(await until(START_TIMEOUT, accepted), "a job is accepted");
  const done = async () => {
    const { body } = await call(entries[1]!, "GET", PATH);
    return body.includes("completed");
  };
  t.ok(await until(RECOVERY_BOUND, done), "and done");
  for (const process of [...entries, ...agents]) {
    const ended = once(process.child, "exit");
    process.child.kill("SIGTERM");
    const late = sleep(STOP_GRACE, ["late"], { ref: false });
    const [code] = await Promise.race([ended, late]);
    t.equal(code, 0, `${process.name} stops`);
  }
});
