import { test } from "tap";
import { runProgram } from "./mod.ts";

type Fields = Record<string, unknown>;

/** A log line of the second `at` of a minute. */
function logLine(at: number, msg: string, fields: Fields = {}): string {
  const time = new Date(Date.UTC(2026, 9, 12) + at * 1000).toISOString();
  return JSON.stringify({
    node: "entry-1",
    msg: `entry: ${msg}`,
    time,
    ...fields,
  });
}

/** Lines of a job that is handed in at `at` and begins after `wait` seconds. */
function story(job: string, at: number, wait: number, priority = 0): string[] {
  return [
    logLine(at, "Submission answered.", { job, result: "stored" }),
    logLine(at + 0.01, "Job taken up.", { job, priority }),
    logLine(at + wait, "Tasks placed.", { job }),
  ];
}

async function runCauses(lines: string[], ...options: string[]) {
  let output = "";
  const code = await runProgram({
    arguments: ["causes", "day.log", ...options],
    dependencies: {
      write: (text) => output += text,
      writeError: (text) => output += text,
      readFile: () => Promise.resolve(lines.join("\n")),
      loadModule: () => Promise.reject(new Error("not used")),
      send: () => Promise.reject(new Error("not used")),
      environment: {},
    },
  });
  return { code, output };
}

/** Causes by job, as the command prints them. */
async function causesOf(lines: string[]): Promise<Record<string, string>> {
  const { output } = await runCauses(lines, "--json");
  return Object.fromEntries(
    (JSON.parse(output) as { job: string; trouble: string; cause: string }[])
      .map(({ job, trouble, cause }) => [job, `${trouble}: ${cause}`]),
  );
}

// Guards against a job in trouble that gets no cause, or the wrong one.
test("each job that was not served in time has a cause", async (t) => {
  const causes = await causesOf([
    ...story("in-time", 1, 0.02),
    logLine(2, "Leadership lost."),
    ...story("leaderless", 2.1, 1.5),
    logLine(3.5, "Leadership won."),
    ...story("killed", 4.2, 0.8),
    logLine(4.9, "Leadership won.", { node: "entry-2" }),
    ...story("stops", 5.2, 0.6),
    logLine(5.3, "Runs preempted.", { job: "stops" }),
    ...story("no-place", 6, 2),
    logLine(7, "Urgent tasks wait.", { job: "no-place", victims: 0 }),
    ...story("batch", 8, 4, 2),
    logLine(13, "The store does not answer."),
    logLine(13.1, "Submission answered.", { job: "away", result: "refused" }),
    ...story("kept", 13.2, 1),
    logLine(14, "The store answers again."),
    ...story("fails", 15, 0.02, 1),
    logLine(16, "Run ended.", { job: "fails", ending: "failed" }),
    logLine(16, "Job finished.", { job: "fails", status: "failed" }),
    ...story("deadly", 16.5, 0.02, 1),
    logLine(16.9, "Job finished.", {
      job: "deadly",
      status: "failed",
      failure: "workers-crashed",
    }),
    ...story("beside", 16.6, 0.02, 1),
    logLine(16.8, "Run lost.", { job: "beside", reason: "worker crashed" }),
    ...story("suspect", 16.7, 0.02, 1),
    logLine(16.8, "A worker crashed under a task.", {
      job: "suspect",
      suspect: true,
    }),
    logLine(16.8, "Run lost.", { job: "suspect", reason: "worker crashed" }),
    ...story("unwanted", 17, 2),
    logLine(18, "Job finished.", { job: "unwanted", status: "cancelled" }),
    ...story("unclear", 20, 1),
    logLine(30, "Worker capacity changed.", { worker: "i-1", shrunk: true }),
    ...story("shrunk", 30.1, 2, 1),
    logLine(33, "Worker capacity changed.", { worker: "i-1", shrunk: false }),
    ...story("later", 34, 2, 1),
  ]);
  t.same(causes, {
    "leaderless": "late: no leader",
    "killed": "late: no leader",
    "stops": "late: stops not yet done",
    "no-place": "late: no place",
    "batch": "late: behind in the queue",
    "away": "refused: store away",
    "kept": "late: store away",
    "fails": "failed: runs failed",
    "deadly": "failed: workers crashed",
    "beside": "restarted: workers crashed",
    "suspect": "restarted: suspected of crashes",
    "unclear": "late: other",
    "shrunk": "late: capacity shrunk",
    "later": "late: behind in the queue",
  });
});

// Guards against a table that hides how many jobs a cause concerns.
test("causes counts jobs by priority, trouble and cause", async (t) => {
  const { code, output } = await runCauses([
    ...story("a", 1, 4, 2),
    ...story("b", 2, 5, 2),
    ...story("c", 3, 0.02),
  ]);
  t.equal(code, 0);
  t.match(output, /behind in the queue +2 +late +2 +5000 +a, b/);
  t.equal(output.trim().split("\n").length, 2);
});

// Guards against empty output, which does not show whether the search ran.
test("causes says so if all jobs were served in time", async (t) => {
  const { output } = await runCauses(story("a", 1, 0.02));
  t.match(output, /No job was refused/);
});
