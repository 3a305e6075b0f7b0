import { test } from "tap";
import { fitLine } from "./fit_line.ts";
import {
  createAttempt,
  createHeartbeat,
  createReport,
  frameSize,
} from "./messages.ts";

// Guards against control traffic beyond the 9 KB/s that a node may cost: four
// sessions with heartbeats both ways each second and a report each 5 s.
test("heartbeats and reports of a full worker are within the budget", (t) => {
  const members = 16;
  const perSession = 2 * frameSize(createHeartbeat()) +
    frameSize(createReport(1, members)) / 5;
  t.ok(4 * perSession < 9000, `${4 * perSession} bytes a second`);
  t.end();
});

// Guards against frames that grow faster than what they carry.
test("reports grow linearly with members, attempts with their body", (t) => {
  const members = fitLine(
    [0, 4, 8, 16, 64].map((count) => [
      count,
      frameSize(createReport(1, count)),
    ]),
  );
  t.ok(members.slopeError < 0.02 * members.slope);
  const body = fitLine(
    [1000, 10_000, 50_000].map((bytes) => [
      bytes,
      frameSize(createAttempt("r1", bytes)),
    ]),
  );
  t.ok(Math.abs(body.slope - 1) < 0.001);
  t.end();
});
