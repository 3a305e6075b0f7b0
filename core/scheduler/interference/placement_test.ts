import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import type { AgentReport } from "../messages.ts";
import { checkJobRequest } from "../record/job_record.ts";
import type { WorkerList } from "./followed_workers.ts";
import { noteProgress } from "./observe.ts";

const WORKERS = 8;
const SLOTS = 8 * WORKERS;
const IMAGES = ["encode", "train", "index"];
/** Gain of a run in percent, between two reports. */
const GAIN = 5;

type Fleet = ReturnType<typeof createFleet>;

function submit(fleet: Fleet, id: string, image: string, count = 1): void {
  fleet.submit(request({ id, steps: [step({ count, image })] }));
  fleet.runStarts();
}

function imageOf(fleet: Fleet, task: string): string {
  const job = fleet.scheduler.state.jobs.get(task.split(".")[0]!)!;
  return job.request.steps[0]!.image;
}

/** Lets all runs proceed; those of `train` are slow beside `encode`. */
function proceed(fleet: Fleet, disturbed: boolean): void {
  fleet.advance(500);
  for (let index = 0; index < WORKERS; index++) {
    const running = fleet.running(index);
    const images = running.map(({ task }) => imageOf(fleet, task));
    const slow = disturbed && images.includes("encode");
    running.forEach((run, position) => {
      const share = slow && images[position] === "train" ? 0.5 : 1;
      run.percent = Math.min(100, run.percent + share * GAIN);
    });
    for (let position = running.length - 1; position >= 0; position--) {
      if (running[position]!.percent >= 100) fleet.end(index, position, "done");
    }
  }
  fleet.runStarts();
}

/** A fleet that has run tasks of all images for a while, and is empty now. */
function createUsedFleet(disturbed: boolean): Fleet {
  const fleet = createFleet({ workers: WORKERS });
  for (let job = 0; job < 150; job++) {
    submit(fleet, `j${job}`, IMAGES[job % 3]!, 1 + (job * 7) % 5);
  }
  const { runs, active } = fleet.scheduler.state;
  while (runs.size > 0 || active.size > 0) proceed(fleet, disturbed);
  return fleet;
}

// Guards against lists of progress that do not reach the estimates, and against
// placement that ignores them while workers are free.
test("tasks that slow each other down are kept apart", (t) => {
  const fleet = createUsedFleet(true);
  t.match(fleet.logsOf("Kinds of tasks kept apart."), [{
    kind: "train",
    beside: "encode",
  }]);
  submit(fleet, "a", "encode");
  submit(fleet, "b", "train");
  submit(fleet, "c", "index");
  t.not(fleet.workerOf("b.0.0.0"), fleet.workerOf("a.0.0.0"));
  t.ok(fleet.workerOf("c.0.0.0") >= 0);
  t.end();
});

// Guards against tasks that wait, or stop others, to be kept apart.
test("a task starts beside one that slows it down if there is no other room", (t) => {
  const fleet = createUsedFleet(true);
  submit(fleet, "a", "encode", SLOTS - 1);
  submit(fleet, "b", "train");
  t.ok(fleet.workerOf("b.0.0.0") >= 0);
  t.match(fleet.logsOf("Tasks placed.").at(-1), { interfering: "encode" });
  t.same(fleet.logsOf("Runs preempted."), []);
  t.end();
});

// Guards against a changed placement where no pair is known.
test("without interference tasks share workers as before", (t) => {
  const fleet = createUsedFleet(false);
  t.same(fleet.logsOf("Kinds of tasks kept apart."), []);
  submit(fleet, "a", "encode");
  submit(fleet, "b", "train");
  t.equal(fleet.workerOf("b.0.0.0"), fleet.workerOf("a.0.0.0"));
  t.end();
});

// Guards against a cold worker whose tasks seem to be slowed by those that
// happened to be there while it was cold.
test("tasks of a cold worker are not measured", (t) => {
  const fleet = createFleet({ workers: 1 });
  submit(fleet, "a", "encode");
  const { state } = fleet.scheduler;
  const [worker] = state.workers.values();
  const report = { running: fleet.running(0), sentAt: 0 } as unknown;
  const lists: WorkerList[] = [];
  state.interference.observe = (list) => lists.push(list);
  for (const warmupLeft of [500, 0]) {
    const cold = { ...worker!, state: { ...worker!.state, warmupLeft } };
    noteProgress(state, cold, report as AgentReport, 0);
  }
  t.same(lists.map(({ runs }) => runs[0]!.measurable), [false, true]);
  t.end();
});

// Guards against jobs that are lost when a newer build reads their records.
test("the record of an older build has no image", (t) => {
  const { image: _, ...older } = step({});
  const record = { ...request({ id: "a", steps: [] }), steps: [older] };
  t.equal(checkJobRequest("a", record)?.steps[0]?.image, "");
  t.end();
});
