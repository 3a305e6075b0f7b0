/**
 * Submits a configuration to a development system.
 *
 * @module
 */

import { request } from "undici";
import { canonicalJson } from "@dragonflyledge/schema";
import { ErrorCode, StepError } from "@dragonflyledge/model";
import type { Configuration } from "@dragonflyledge/model";
import { DEV_OPERATOR_TOKEN } from "./operator.ts";

/**
 * Submits the first configuration of a system, which must have none yet. Throws
 * a `StepError` with the answer if the entry refuses.
 */
export async function submitConfiguration(fields: {
  url: string;
  configuration: Configuration;
}): Promise<void> {
  const answer = await request(`${fields.url}/v1/configuration`, {
    method: "PUT",
    headers: {
      authorization: `Bearer ${DEV_OPERATOR_TOKEN}`,
      "if-match": "0",
    },
    body: canonicalJson(fields.configuration),
  });
  const text = await answer.body.text();
  if (answer.statusCode === 200) return;
  throw new StepError({
    code: ErrorCode.Configuration,
    step: "submitConfiguration",
    peer: fields.url,
    message: `entry answered ${answer.statusCode}: ${text}`,
  });
}
