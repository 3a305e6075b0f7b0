/**
 * Parsing of the configuration document and of its parts.
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

/** Checks a whole document and returns it, or all of its problems. */
export function parseConfiguration(
  fields: { value: unknown },
): Result<Configuration, Problem[]> {
  return validate<Configuration>({
    schema: configurationSchema,
    value: fields.value,
    root: "",
  }).andThen((document) => toResult(document, checkDocument(document)));
}

/** Checks one shape; `path` says where it stands. */
export function parseShape(
  fields: { value: unknown; path: string },
): Result<Shape, Problem[]> {
  const { value, path } = fields;
  return validate<Shape>({ schema: shapeSchema, value, root: path })
    .andThen((shape) => toResult(shape, checkShape(shape, path)));
}

/** Checks one team. */
export function parseTeam(
  fields: { value: unknown; path: string },
): Result<Team, Problem[]> {
  const { value, path } = fields;
  return validate<Team>({ schema: teamSchema, value, root: path })
    .andThen((team) => toResult(team, checkTeam(team, path)));
}

/** Checks one class of work. */
export function parseClass(
  fields: { value: unknown; path: string },
): Result<WorkClass, Problem[]> {
  const { value, path } = fields;
  return validate<WorkClass>({ schema: classSchema, value, root: path });
}

/** Checks one service. */
export function parseService(
  fields: { value: unknown; path: string },
): Result<Service, Problem[]> {
  const { value, path } = fields;
  return validate<Service>({ schema: serviceSchema, value, root: path });
}

function toResult<T>(value: T, problems: Problem[]): Result<T, Problem[]> {
  return problems.length === 0 ? ok(value) : err(problems);
}
