/**
 * The operator of systems that run for trials.
 *
 * @module
 */

import { tokenDigest } from "@dragonflyledge/declare";
import type { Operator } from "@dragonflyledge/entry";

/** Bearer token that is printed and must not be used elsewhere. */
export const DEV_OPERATOR_TOKEN = "example-token-operator";

export const DEV_OPERATOR: Operator = {
  name: "dev",
  tokenDigest: tokenDigest(DEV_OPERATOR_TOKEN),
};
