/**
 * Asks all entries regularly what the newest configuration allows and what only
 * the one before it allowed.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { versionKey } from "../configuration.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import { sendRequest } from "./callers.ts";
import type { ConfigurationVersions } from "./configuration_versions.ts";
import { latestUsed } from "./version_check.ts";

/** Guaranteed bound until a configuration is in force, in milliseconds. */
const CONFIGURATION_BOUND = 2000;
/** Time in ms after which an entry may not go back to an older version. */
const ROLLBACK_SLACK = 250;
/** Time between two probes of the entries, in milliseconds. */
const PROBE_INTERVAL = 250;

/** Latest version that a process was seen to use, and when. */
interface SeenVersion {
  version: number;
  at: number;
}

/** Probes all entries until `done` returns true, and reports broken bounds. */
export async function probeConfigurations(fields: {
  programs: Programs;
  versions: ConfigurationVersions;
  /** Whether no fault affected the entry up to now, shortly before the time. */
  isInTouch: (entry: ProgramProcess, time: number) => boolean;
  report: (rule: string, text: string) => void;
  done: () => boolean;
}): Promise<void> {
  const { programs, versions, isInTouch, report, done } = fields;
  const seen = new Map<ProgramProcess["child"], SeenVersion>();

  /** Asks for what one version allows, and compares what must be in force. */
  async function probe(
    entry: ProgramProcess,
    asked: number,
    request: { path: string; key?: string },
  ): Promise<void> {
    const { child } = entry;
    const sentAt = performance.now();
    const answer = await sendRequest({ entry, method: "GET", ...request });
    const newest = versions.newest();
    const { status } = answer;
    const used = latestUsed({ asked, status, newest });
    if (used === undefined || entry.child !== child) return;
    const what = `${entry.name} answers ${status} to ${request.path}`;
    const due = versions.acknowledgedBy(sentAt - CONFIGURATION_BOUND);
    if (used < due && isInTouch(entry, sentAt)) {
      report("CONFIG", `${what} by ${used} or older, not ${due}`);
    }
    const known = seen.get(child);
    if (known && used < known.version && sentAt > known.at + ROLLBACK_SLACK) {
      report("CONFIG", `${what} by ${used} or older, after ${known.version}`);
    }
    if (status === 200 && asked > (known?.version ?? 0)) {
      seen.set(child, { version: asked, at: performance.now() });
    }
  }

  while (!done()) {
    await sleep(PROBE_INTERVAL);
    for (const entry of programs.entries) {
      const newest = versions.newest();
      for (const version of [newest, newest - 1].filter((each) => each > 0)) {
        await probe(entry, version, { path: `/v${version}/` });
        await probe(entry, version, {
          path: "/plans/",
          key: versionKey(version),
        });
      }
    }
  }
}
