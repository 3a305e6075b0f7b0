import { readFileSync } from "node:fs";
import { test } from "tap";
import { createInstruments, INSTRUMENTS } from "./mod.ts";

const page = new URL("../../../docs/PLATFORM_METRICS.md", import.meta.url);

// Guards against counts and durations that are missing on the metrics endpoint.
test("counts and times are served as text", async (t) => {
  const instruments = createInstruments();
  instruments.increment("requests_total", { method: "POST", status: "200" });
  instruments.time("request_seconds", { method: "POST" }, 40);
  const text = await instruments.text();
  t.match(
    text,
    /dragonflyledge_requests_total\{method="POST",status="200"\} 1/,
  );
  t.match(text, /request_seconds_bucket\{le="0.05",method="POST"\} 1/);
});

// Guards against instruments without documentation.
test("docs/PLATFORM_METRICS.md lists every instrument", (t) => {
  const text = readFileSync(page, "utf8");
  for (const name of Object.keys(INSTRUMENTS)) {
    t.ok(text.includes(`\`dragonflyledge_${name}\``), name);
  }
  t.end();
});
