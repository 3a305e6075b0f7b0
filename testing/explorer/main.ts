/**
 * Command line of the explorer:
 * `npm run explore -- --seeds N --first-seed S --events N --seconds T`. Exits
 * with 1 if a guarantee was broken.
 *
 * @module
 */

import process from "node:process";
import { Command, InvalidArgumentError, Option } from "commander";
import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { OMISSIBLE } from "./draw_plan.ts";
import { explore } from "./explore.ts";
import type { FoundCase, Progress } from "./explore.ts";

/** Time between two lines of progress. */
const PROGRESS_INTERVAL: Milliseconds = 10 * SECOND;

interface ExploreOptions {
  seeds: number;
  firstSeed: number;
  events: number;
  seconds: number;
  without: string[];
}

const program = new Command("explore")
  .description("Explore orders of messages between leader and agents.")
  .option("--seeds <count>", "number of seeds", parseCount, 1000)
  .option("--first-seed <seed>", "first seed", parseCount, 1)
  .option("--events <count>", "jobs and faults of each seed", parseCount, 60)
  .option("--seconds <time>", "end after this time", parseCount, 3600)
  .addOption(
    new Option("--without <kinds...>", "leave out").choices(OMISSIBLE)
      .default([]),
  )
  .action(run);

function parseCount(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new InvalidArgumentError("This is no whole number.");
  }
  return value;
}

function run(options: ExploreOptions): void {
  let shownAt: Milliseconds = 0;
  const progress = explore({
    firstSeed: options.firstSeed,
    seeds: options.seeds,
    inputs: options.events,
    without: options.without,
    time: options.seconds * SECOND,
    now: () => performance.now(),
    onCase: (found) => console.log(formatCase(found)),
    onSeed: (state) => {
      if (state.elapsed < shownAt + PROGRESS_INTERVAL) return;
      shownAt = state.elapsed;
      console.log(formatProgress(state));
    },
  });
  console.log(formatProgress(progress));
  process.exitCode = progress.cases.length === 0 ? 0 : 1;
}

function formatProgress({ seeds, events, cases, elapsed }: Progress): string {
  const rate = Math.round(events * SECOND / Math.max(1, elapsed));
  return `${seeds} seeds, ${events} events, ${rate} events/s, ` +
    `${cases.length} violations`;
}

function formatCase(found: FoundCase): string {
  const { seed, violation, events, inputs, shrunk } = found;
  return [
    `seed ${seed}: "${violation.guarantee}" is broken after ${events} events ` +
    `(${inputs} inputs): ${violation.text}`,
    `shrunk to ${shrunk.inputs.length} inputs:`,
    JSON.stringify(shrunk),
  ].join("\n");
}

program.parse();
