/**
 * Reads files that hold keys of callers.
 *
 * @module
 */

import type { Dependencies } from "../dependencies.ts";
import { CommandFailure } from "../failure.ts";

/**
 * Reads a configuration of the platform as JSON. Throws a `CommandFailure` that
 * shows nothing of the text, since that holds keys.
 */
export async function readPlatformDocument(
  path: string,
  { readFile }: Dependencies,
): Promise<unknown> {
  let text: string;
  try {
    text = await readFile(path);
  } catch (cause) {
    const message = `cannot read ${path}: ${(cause as Error).message}`;
    throw new CommandFailure({
      exit: "Usage",
      step: "read",
      peer: path,
      message,
    });
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    const at = /at position \d+/.exec((error as Error).message)?.[0] ?? "";
    throw new CommandFailure({
      exit: "Invalid",
      step: "read",
      peer: path,
      message: `${path} is not JSON ${at}`.trim(),
      hint: "Check it with a JSON editor; the text is not shown here.",
    });
  }
}
