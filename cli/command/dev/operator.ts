/**
 * Operator account of development systems.
 *
 * @module
 */

import { tokenDigest } from "@dragonflyledge/declare";
import type { Operator } from "@dragonflyledge/entry";

/**
 * Bearer token of the operator. It is public, since `dev` prints it, and must
 * not be used for any other system.
 */
export const DEV_OPERATOR_TOKEN = "example-token-operator";

/** Operator that may submit configurations to a development system. */
export const DEV_OPERATOR: Operator = {
  name: "dev",
  tokenDigest: tokenDigest(DEV_OPERATOR_TOKEN),
};
