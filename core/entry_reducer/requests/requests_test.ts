import { test } from "tap";
import { createHarness } from "../test_support.ts";

// Guards against a request that is sent but whose answer is not passed on.
test("a request runs on an agent and gets its answer", (t) => {
  const h = createHarness(["w1"]);
  h.request("r1");
  t.equal(h.attempt("r1")?.worker, "w1");
  h.reply("r1", { kind: "attemptAccepted" });
  h.answer("r1");
  t.equal(h.outcome("r1"), "done: 200");
  t.equal(h.state.requests.open.size, 0);
  t.end();
});
