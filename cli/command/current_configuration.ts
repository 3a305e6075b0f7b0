/**
 * Configuration in force, as an entry tells it.
 *
 * @module
 */

import type { Configuration } from "@dragonflyledge/model";
import type { Client } from "./client.ts";
import { asObject } from "./output.ts";
import { checkConfiguration } from "./read_document.ts";

/** Reads and checks the configuration in force, from `prefer` if it answers. */
export async function fetchConfiguration(
  client: Client,
  prefer?: string,
): Promise<Configuration> {
  const { body, entry } = await client({
    method: "GET",
    path: "/v1/configuration",
    preferredEntry: prefer,
    repeatable: true,
  });
  return checkConfiguration(asObject(body)["configuration"], entry);
}
