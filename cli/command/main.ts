#!/usr/bin/env node
/**
 * Executable of the command line: runs the program with the files, the
 * network and the environment of the process.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { resolve } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers/promises";
import { text } from "node:stream/consumers";
import { pathToFileURL } from "node:url";
import { runProgram } from "./program.ts";
import { sendRequest } from "./send_request.ts";

// EPIPE means that the reader, such as `head`, closed the pipe early. That is
// not an error.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
});

process.exitCode = await runProgram({
  arguments: process.argv.slice(2),
  dependencies: {
    write: (output) => void process.stdout.write(output),
    writeError: (output) => void process.stderr.write(output),
    readFile: (path) =>
      path === "-" ? text(process.stdin) : readFile(path, "utf8"),
    wait: async (delay) => {
      await setTimeout(delay);
      return true;
    },
    loadModule: (path) => import(pathToFileURL(resolve(path)).href),
    send: sendRequest,
    environment: process.env,
  },
});
