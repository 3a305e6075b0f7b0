import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "tap";
import { findFreePort } from "./free_port.ts";

const HOST = "127.0.0.1";
const PORTS = 400;

/** Ports that another process finds, which runs until it is told to stop. */
async function findElsewhere(): Promise<{ ports: number[]; stop(): void }> {
  const script = `
    const { findFreePort } = await import(process.argv[1]);
    const ports = [];
    while (ports.length < ${PORTS}) ports.push(await findFreePort("${HOST}"));
    console.log(ports.join());
    process.stdin.once("data", () => process.exit()).resume();
  `;
  const module = new URL("./free_port.js", import.meta.url).href;
  const child = spawn(
    process.execPath,
    ["--input-type=module", "-e", script, module],
    { stdio: ["pipe", "pipe", "inherit"] },
  );
  const [output] = await once(child.stdout, "data");
  return {
    ports: String(output).trim().split(",").map(Number),
    stop: () => child.stdin.end("end"),
  };
}

// Guards against a cluster that does not start since tests beside it, or the
// test itself, have got the same port.
test("a port is given out once among all processes", async (t) => {
  const own: Promise<number>[] = [];
  while (own.length < PORTS) own.push(findFreePort(HOST));
  const others = await Promise.all([findElsewhere(), findElsewhere()]);
  const ports = [
    ...await Promise.all(own),
    ...others.flatMap((other) => other.ports),
  ];
  for (const other of others) other.stop();
  t.equal(ports.length, 3 * PORTS);
  t.equal(new Set(ports).size, ports.length);
});
