/**
 * HTTP routes for operators.
 *
 * @module
 */

import type { EntryState } from "@dragonflyledge/entry-reducer";
import type { Clock, EntryEvent, TeamName } from "@dragonflyledge/model";
import { createConfigurationApi } from "./http/configuration_api.ts";
import { createOperatorApi } from "./http/operator_api.ts";
import type { HttpRequest, Route } from "./http/server.ts";
import type { Records } from "./records.ts";
import { describeStatus } from "./status.ts";
import type { WaitingCounts } from "./status.ts";

/** Creates the routes for configuration, status, audit trail and drains. */
export function createAdministrationRoutes(fields: {
  state: EntryState;
  records: Records;
  clock: Clock;
  /** Returns the name of the operator who makes the request, or undefined. */
  findOperator: (request: HttpRequest) => string | undefined;
  countWaiting: (team: TeamName) => WaitingCounts;
  dispatch: (event: EntryEvent) => void;
}): Route[] {
  const { state, clock } = fields;
  const configuration = createConfigurationApi({
    ...fields,
    configuration: () => state.configuration,
    inventories: () =>
      [...state.agents.values()].map((agent) => agent.inventory),
  });
  const operator = createOperatorApi({
    ...fields,
    status: () =>
      describeStatus({ state, clock, waiting: fields.countWaiting }),
    knowsWorker: (worker) => state.agents.has(worker),
    ready: () => state.configuration !== undefined && !state.stopping,
  });
  return [...configuration, ...operator];
}
