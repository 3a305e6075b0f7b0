/**
 * Parses and checks the configuration document and its parts.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type {
  Configuration,
  Service,
  Shape,
  Team,
  WorkClass,
} from "@dragonflyledge/model";
import {
  classSchema,
  configurationSchema,
  serviceSchema,
  shapeSchema,
  teamSchema,
} from "./document.ts";
import type { Problem } from "./problem.ts";
import { checkDocument, checkShape, checkTeam } from "./rules.ts";
import { validate } from "./validate.ts";

/** Returns the whole document if it is valid, and else all of its problems. */
export function parseConfiguration(
  fields: { value: unknown },
): Result<Configuration, Problem[]> {
  return validate<Configuration>({
    schema: configurationSchema,
    value: fields.value,
    root: "",
  }).andThen((document) => toResult(document, checkDocument(document)));
}

/** Returns one shape, or its problems. `path` is its place in the document. */
export function parseShape(
  fields: { value: unknown; path: string },
): Result<Shape, Problem[]> {
  const { value, path } = fields;
  return validate<Shape>({ schema: shapeSchema, value, root: path })
    .andThen((shape) => toResult(shape, checkShape(shape, path)));
}

/** Returns one team, or its problems. `path` is its place in the document. */
export function parseTeam(
  fields: { value: unknown; path: string },
): Result<Team, Problem[]> {
  const { value, path } = fields;
  return validate<Team>({ schema: teamSchema, value, root: path })
    .andThen((team) => toResult(team, checkTeam(team, path)));
}

/** Returns one class of work, or its problems, as `parseTeam` does. */
export function parseClass(
  fields: { value: unknown; path: string },
): Result<WorkClass, Problem[]> {
  const { value, path } = fields;
  return validate<WorkClass>({ schema: classSchema, value, root: path });
}

/** Returns one service, or its problems, as `parseTeam` does. */
export function parseService(
  fields: { value: unknown; path: string },
): Result<Service, Problem[]> {
  const { value, path } = fields;
  return validate<Service>({ schema: serviceSchema, value, root: path });
}

/** Returns the value if there are no problems. */
function toResult<T>(value: T, problems: Problem[]): Result<T, Problem[]> {
  return problems.length === 0 ? ok(value) : err(problems);
}
