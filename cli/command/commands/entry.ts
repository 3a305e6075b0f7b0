/**
 * Command `entry`: runs an entry as a daemon.
 *
 * @module
 */

import { createStoreRecords, startEntry } from "@dragonflyledge/entry";
import { Part } from "@dragonflyledge/log";
import { createSystemClock, createSystemTimer } from "@dragonflyledge/runtime";
import type { EntrySettings } from "@dragonflyledge/settings";
import { createObserver } from "../daemon/observer.ts";
import { createDaemonRandom } from "../daemon/random.ts";
import { readEntrySettings } from "../daemon/read_settings.ts";
import { runUntilStopped } from "../daemon/run.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerEntry: CommandRegistration = (
  { program, dependencies },
) => {
  program.command("entry")
    .description("Run an entry, which serves agents and callers.")
    .argument("<settings>", "INI file")
    .option("--check", "only check the settings")
    .action(async (file: string, options: { check?: boolean }) => {
      const settings = await readEntrySettings(dependencies, file);
      if (options.check) return dependencies.write(`${file} is valid.\n`);
      await runEntry(settings);
    });
};

/** Runs the entry until the process is told to stop. */
async function runEntry(settings: EntrySettings): Promise<void> {
  const { identity, listen, limits } = settings;
  const observer = createObserver({
    part: Part.Entry,
    id: identity.id,
    level: settings.log.level,
    metrics: settings.metrics,
  });
  const clock = createSystemClock();
  const timer = createSystemTimer();
  const random = createDaemonRandom();
  const start = () =>
    startEntry({
      settings: {
        id: identity.id,
        failureDomain: identity.failureDomain,
        host: listen.host,
        port: listen.port,
        httpPort: listen.httpPort,
        advertise: listen.advertise ?? listen.host,
        bodyLimit: limits.bodyLimit,
        connections: limits.connections,
        operators: settings.operators.tokenDigests ?? [],
      },
      openRecords: (own) =>
        createStoreRecords({
          url: settings.store.url,
          prefix: settings.store.prefix,
          id: identity.id,
          writesPerSecond: limits.storeWrites,
          readsPerSecond: limits.storeReads,
          ...own,
          clock,
          timer,
          random,
          observer,
        }),
      clock,
      timer,
      random,
      observer,
    });
  await runUntilStopped(async () => {
    const entry = await start();
    if (entry.isErr()) throw entry.error;
    return entry.value;
  });
  await observer.close();
}
