/**
 * Fetches the configuration in force from an entry.
 *
 * @module
 */

import type { Configuration } from "@dragonflyledge/model";
import type { Client } from "./client.ts";
import { asObject } from "./output.ts";
import { checkConfiguration } from "./read_document.ts";

/**
 * Fetches and checks the configuration in force. Throws a `CommandFailure` if
 * no entry answers or the configuration is invalid.
 */
export async function fetchConfiguration(
  client: Client,
  /** URL of the entry to ask first. */
  preferredEntry?: string,
): Promise<Configuration> {
  const { body, entry } = await client({
    method: "GET",
    path: "/v1/configuration",
    preferredEntry,
    repeatable: true,
  });
  return checkConfiguration(asObject(body)["configuration"], entry);
}
