/**
 * HTTP routes with which operators read and submit the configuration, and read
 * its history.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  checkFit,
  diffConfigurations,
  formatChange,
  formatProblem,
  parseConfiguration,
} from "@dragonflyledge/schema";
import type {
  AuditRecord,
  Clock,
  Configuration,
  EntryEvent,
  Inventory,
} from "@dragonflyledge/model";
import type { ConfigurationRecord } from "@dragonflyledge/store";
import type { Records } from "../records.ts";
import { json, problem } from "./server.ts";
import type { HttpAnswer, HttpRequest, Route } from "./server.ts";

/** Creates the routes for the configuration. */
export function createConfigurationApi(fields: {
  clock: Clock;
  records: Records;
  configuration: () => Configuration | undefined;
  /** Returns the name of the operator who makes the request, or undefined. */
  findOperator: (request: HttpRequest) => string | undefined;
  inventories: () => Inventory[];
  dispatch: (event: EntryEvent) => void;
}): Route[] {
  const { clock, records, dispatch } = fields;

  /**
   * Returns the configuration in the store, or the one that this entry knows
   * while the store is unavailable.
   */
  async function current(): Promise<ConfigurationRecord | undefined> {
    const read = await records.readConfiguration();
    const known = fields.configuration();
    const stored = read.unwrapOr(undefined);
    if (stored || known === undefined) return stored;
    return { configuration: known, actor: "", submitted: "" };
  }

  /** Lets only operators call the handler. */
  function requireOperator(
    handler: (request: HttpRequest, author: string) => Promise<HttpAnswer>,
  ): (request: HttpRequest) => Promise<HttpAnswer> {
    return async (request) => {
      const author = fields.findOperator(request);
      if (author === undefined) {
        return problem(401, "the bearer token is not an operator's");
      }
      return await handler(request, author);
    };
  }

  async function read(): Promise<HttpAnswer> {
    const record = await current();
    if (!record) return problem(404, "no configuration has been submitted");
    const { configuration, actor: author, submitted } = record;
    const revision = configuration.version;
    return json(200, { configuration, revision, author, submitted });
  }

  async function submit(
    request: HttpRequest,
    author: string,
  ): Promise<HttpAnswer> {
    const expected = Number(request.headers["if-match"] ?? NaN);
    if (!Number.isInteger(expected) || expected < 0) {
      return problem(428, "if-match must contain the version that you read");
    }
    const parsed = parseBody(request.body, expected + 1);
    if (parsed instanceof Array) return json(400, { problems: parsed });
    const misfit = checkFit({
      configuration: parsed,
      inventories: fields.inventories(),
    });
    if (fields.inventories().length > 0 && misfit.isErr()) {
      // Status 409 would mean that another change came first.
      return json(422, { problems: misfit.error.map(formatProblem) });
    }
    const submitted = clock.date().toISOString();
    const record = { configuration: parsed, actor: author, submitted };
    const before = await records.readConfiguration();
    const result = await records.submitConfiguration(record);
    if (result.isErr()) {
      const { code, message } = result.error;
      // The write may have taken effect, and status 503 would mean that it has
      // not.
      return json(502, { outcome: "unknown", error: { code, message } });
    }
    if (result.value.kind === "conflict") {
      return conflict(parsed, result.value.winner);
    }
    audit(author, before.unwrapOr(undefined)?.configuration, parsed);
    const now = clock.now();
    dispatch({ kind: "configurationSeen", now, configuration: parsed });
    return json(200, { version: parsed.version });
  }

  function conflict(
    submitted: Configuration,
    current: ConfigurationRecord | undefined,
  ): HttpAnswer {
    const differences = current
      ? diffConfigurations({
        before: current.configuration,
        after: submitted,
      }).map(formatChange)
      : [];
    return json(409, {
      current: current?.configuration.version ?? 0,
      author: current?.actor ?? "",
      submitted: current?.submitted ?? "",
      differences,
    });
  }

  function audit(
    actor: string,
    before: Configuration | undefined,
    after: Configuration,
  ): void {
    const changes = before
      ? diffConfigurations({ before, after }).map(formatChange)
      : ["first configuration"];
    const record: AuditRecord = {
      kind: "configuration",
      team: "",
      worker: "",
      job: "",
      reason: changes.join("; "),
      actor,
      detail: { from: before?.version ?? 0, to: after.version },
    };
    records.appendAudit(record);
  }

  async function history(): Promise<HttpAnswer> {
    const listed = await records.listConfigurations();
    if (listed.isErr()) return problem(503, listed.error.message);
    const history = listed.value.map((record, index) => ({
      version: record.configuration.version,
      author: record.actor,
      at: record.submitted,
      changes: describeChanges(listed.value[index - 1], record),
    }));
    return json(200, { history });
  }

  const path = "/v1/configuration";
  return [
    { method: "GET", pattern: path, handler: requireOperator(read) },
    { method: "PUT", pattern: path, handler: requireOperator(submit) },
    {
      method: "GET",
      pattern: `${path}/history`,
      handler: requireOperator(history),
    },
  ];
}

function describeChanges(
  before: ConfigurationRecord | undefined,
  after: ConfigurationRecord,
): string {
  if (!before) return "first version";
  return diffConfigurations({
    before: before.configuration,
    after: after.configuration,
  }).map(formatChange).join("; ");
}

/** Returns the configuration, or a message for each problem in the body. */
function parseBody(
  body: Uint8Array,
  version: number,
): Configuration | string[] {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return ["the body is not JSON"];
  }
  if (typeof value !== "object" || value === null) {
    return ["the body is not a JSON object"];
  }
  const parsed = parseConfiguration({ value: { ...value, version } });
  return parsed.match(
    (configuration) => configuration,
    (problems) => problems.map(formatProblem),
  );
}
