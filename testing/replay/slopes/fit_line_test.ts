import { test } from "tap";
import { fitLine } from "./fit_line.ts";

// Guards against slopes that are not those of the points.
test("a line is found exactly, and deviations are reported", (t) => {
  const exact = fitLine([[0, 5], [10, 25], [20, 45]]);
  t.equal(exact.slope, 2);
  t.equal(exact.intercept, 5);
  t.equal(exact.slopeError, 0);
  const bent = fitLine([[0, 0], [1, 3], [2, 0]]);
  t.equal(bent.slope, 0);
  t.equal(bent.intercept, 1);
  t.equal(bent.worst, 2);
  t.ok(bent.slopeError > 0);
  t.throws(() => fitLine([[0, 0], [1, 1]]));
  t.end();
});
