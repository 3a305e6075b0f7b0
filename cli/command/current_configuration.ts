/**
 * Configuration in force, as an entry tells it.
 *
 * @module
 */

import type { Configuration } from "@dragonflyledge/model";
import type { Client } from "./client.ts";
import { asFields } from "./output.ts";
import { checked } from "./read_document.ts";

/** Reads and checks the configuration in force. */
export async function fetchConfiguration(
  client: Client,
): Promise<Configuration> {
  const { body, entry } = await client({
    method: "GET",
    path: "/v1/configuration",
    repeatable: true,
  });
  return checked(asFields(body)["configuration"], entry);
}
