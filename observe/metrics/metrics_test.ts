import { createSocket } from "node:dgram";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { test } from "tap";
import { createMetrics, METRICS } from "./mod.ts";
import type { MetricDescription } from "./mod.ts";

/** Starts a UDP server that collects the lines it receives. */
async function listen() {
  const socket = createSocket("udp4");
  const lines: string[] = [];
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  socket.on("message", (packet) => lines.push(...String(packet).split("\n")));
  const received = async (count: number) => {
    while (lines.filter((line) => line !== "").length < count) {
      await once(socket, "message");
    }
    return lines.filter((line) => line !== "");
  };
  return { port: socket.address().port, received, close: () => socket.close() };
}

// Guards against metrics that never arrive, or arrive under another name or
// kind.
test("every metric of the table arrives with its kind and tags", async (t) => {
  const server = await listen();
  t.teardown(server.close);
  const metrics = createMetrics({
    host: "127.0.0.1",
    port: server.port,
    prefix: "dfl",
  });
  const table: [string, MetricDescription][] = Object.entries(METRICS);
  for (const [metric, { tags }] of table) {
    const values = Object.fromEntries(tags.map((tag) => [tag, `a-${tag}`]));
    metrics.record({ metric, value: 3, tags: { ...values, request: "r1" } });
  }
  metrics.record({ metric: "toString", value: 1 });
  metrics.record({ metric: "store.calls", value: NaN });
  await metrics.close();
  const lines = await server.received(table.length + 1);
  const marks = { counter: "c", gauge: "g", timer: "ms" };
  for (const [metric, { kind, tags }] of table) {
    const suffix = tags.map((tag) => `${tag}:a-${tag}`).join(",");
    const line = `dfl.${metric}:3|${marks[kind]}${suffix && `|#${suffix}`}`;
    t.ok(lines.includes(line), line);
  }
  t.ok(lines.includes("dfl.metrics.unknown:1|c|#metric:toString"));
  t.equal(lines.length, table.length + 1);
});

// Guards against a daemon that fails when no metrics server is configured or
// reachable.
test("metrics are dropped without a host or a listener", async (t) => {
  const unset = createMetrics({ host: undefined, port: 8125, prefix: "dfl" });
  unset.record({ metric: "store.calls", value: 1 });
  await unset.close();
  const server = await listen();
  server.close();
  const { port } = server;
  const lost = createMetrics({ host: "127.0.0.1", port, prefix: "dfl" });
  lost.record({ metric: "store.calls", value: 1 });
  await t.resolves(lost.close());
});

// Guards against documentation that differs from the table of metrics.
test("docs/METRICS.md lists exactly the metrics of the table", (t) => {
  const file = new URL("../../../docs/METRICS.md", import.meta.url);
  const documented = readFileSync(file, "utf8").split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").map((cell) => cell.trim()).slice(1, -1));
  const table: [string, MetricDescription][] = Object.entries(METRICS);
  t.same(
    documented,
    table.map(([name, { kind, unit, tags, meaning }]) => [
      `\`${name}\``,
      kind,
      unit,
      tags.join(", "),
      meaning,
    ]),
  );
  t.end();
});
