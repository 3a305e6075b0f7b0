/**
 * Configurations of two example deployments.
 *
 * @module
 */

export { configuration as nyabugogo } from "./nyabugogo/configuration.ts";
export { configuration as sahil } from "./sahil/configuration.ts";
