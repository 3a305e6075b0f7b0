/**
 * Command `agent`: runs the agent of one endpoint as a daemon.
 *
 * @module
 */

import { startAgent } from "@dragonflyledge/agent";
import { Part } from "@dragonflyledge/log";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import type { AgentSettings } from "@dragonflyledge/settings";
import { createObserver } from "../daemon/observer.ts";
import { createDaemonRandom } from "../daemon/random.ts";
import { readAgentSettings } from "../daemon/read_settings.ts";
import { runUntilStopped } from "../daemon/run.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerAgent: CommandRegistration = (
  { program, dependencies },
) => {
  program.command("agent")
    .description("Run the agent of one endpoint.")
    .argument("<settings>", "INI file")
    .option("--check", "only check the settings")
    .action(async (file: string, options: { check?: boolean }) => {
      const settings = await readAgentSettings(dependencies, file);
      if (options.check) return dependencies.write(`${file} is valid.\n`);
      await runAgent(settings);
    });
};

/** Runs the agent until the process is told to stop. */
async function runAgent(settings: AgentSettings): Promise<void> {
  const { identity, worker, endpoint, entries } = settings;
  const observer = createObserver({
    part: Part.Agent,
    id: identity.id,
    level: settings.log.level,
    metrics: settings.metrics,
  });
  const start = () =>
    startAgent({
      settings: {
        inventory: {
          worker: identity.id,
          location: {
            region: identity.region,
            failureDomain: identity.failureDomain,
            rack: identity.rack,
          },
          capacity: {
            accelerators: worker.accelerators,
            cores: worker.cores,
            memoryMiB: worker.memoryMib,
          },
          service: endpoint.service,
          slots: endpoint.slots,
          connections: endpoint.connections,
        },
        seeds: entries.seeds.map(({ host, port }) => `${host}:${port}`),
        endpointUrl: endpoint.url,
        workerUrl: worker.url,
      },
      clock: createSystemClock(),
      timer: createSystemTimer(),
      random: createDaemonRandom(),
      observer,
    });
  await runUntilStopped(start);
  await observer.close();
}
