import { test } from "tap";
import { assertInvariant, ErrorCode, Invariant, StepError } from "./errors.ts";

// Guards against an error from a violated invariant that does not tell the
// invariant, the step and the peer.
test("the error of a violated invariant names it, the step and the peer", (t) => {
  const violate = () =>
    assertInvariant({
      invariant: Invariant.GangWhole,
      holds: false,
      step: "renew",
      peer: "worker-1",
      detail: "member 2 is missing",
    });
  t.throws(violate, {
    code: ErrorCode.Invariant,
    step: "renew",
    peer: "worker-1",
    message: /gang-whole.*member 2/,
  });
  t.ok(
    new StepError({
      code: ErrorCode.Usage,
      step: "test",
      peer: "none",
      message: "message",
    }).hint === "",
  );
  t.end();
});
