import { PassThrough } from "node:stream";
import { test } from "tap";
import { ErrorCode, StepError } from "@dragonflyledge/model";
import { createLog, Part } from "./mod.ts";

/** Creates a log whose lines are parsed by `records`. */
function capture(level: "debug" | "info" = "info") {
  const stream = new PassThrough();
  const fields = { id: "entry-1" };
  const log = createLog({ part: Part.Entry, level, stream, fields });
  const records = () =>
    String(stream.read() ?? "").split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line));
  return { log, records };
}

// Guards against log lines that cannot be traced to a part, request or job.
test("messages carry the prefix of their part and their fields", (t) => {
  const { log, records } = capture();
  log.info("Request accepted.", { request: "r1", job: "j1" });
  log.part(Part.Store).warn("Store is 100% down, %s.", { name: "x", pid: 0 });
  log.debug("Not shown.");
  const [first, second, ...rest] = records();
  t.match(first, { msg: "entry: Request accepted.", request: "r1", job: "j1" });
  t.match(first, { id: "entry-1", part: "entry", level: 30 });
  t.match(second, { msg: "store: Store is 100% down, %s.", part: "store" });
  t.match(second, { name: "dragonflyledge", nameField: "x", pidField: 0 });
  t.not(second.pid, 0);
  t.same(rest, []);
  t.end();
});

// Guards against credentials in logs.
test("secrets are redacted at every depth", (t) => {
  const { log, records } = capture("debug");
  const cycle: Record<string, unknown> = { bearerToken: "s3cret" };
  cycle["self"] = cycle;
  log.error("Refused Bearer s3cret.", {
    token: "s3cret",
    headers: { Authorization: "Bearer s3cret", accept: "text/plain" },
    list: [{ clientSecret: "s3cret" }, "authorization: Basic s3cret"],
    cycle,
    bytes: new Uint8Array(3),
    error: new StepError({
      code: ErrorCode.Endpoint,
      step: "call",
      peer: "endpoint",
      message: "sent Bearer s3cret",
    }),
  });
  const [record] = records();
  t.notMatch(JSON.stringify(record), /s3cret/);
  t.equal(record.headers.accept, "text/plain");
  t.match(record.error, { code: "DFL_ENDPOINT", step: "call" });
  t.equal(record.bytes, "[3 bytes]");
  t.end();
});
