/**
 * Commands that read one path and print it.
 *
 * @module
 */

import { createClient } from "./client.ts";
import type { Call, RemoteFlags } from "./client.ts";
import type { Dependencies } from "./dependencies.ts";

/** Performs the call and prints the answer as JSON or as text. */
export async function show(fields: {
  dependencies: Dependencies;
  options: RemoteFlags;
  call: Call;
  /** Returns lines for people. */
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
