/**
 * Runs commands that make one call and print its answer.
 *
 * @module
 */

import { createClient } from "./client.ts";
import type { ApiCall, ClientOptions } from "./client.ts";
import type { Dependencies } from "./dependencies.ts";

/** Performs the call and prints the answer, as JSON with `--json`. */
export async function printAnswer(fields: {
  dependencies: Dependencies;
  options: ClientOptions;
  call: ApiCall;
  /** Returns the answer as text for people. */
  format: (body: unknown) => string;
}): Promise<void> {
  const { dependencies, options } = fields;
  const client = await createClient({ dependencies, options });
  const { body } = await client(fields.call);
  const text = options.json
    ? JSON.stringify(body, undefined, 2)
    : fields.format(body);
  dependencies.write(`${text}\n`);
}
