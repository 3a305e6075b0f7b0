/**
 * Schemas of the configuration document. Each description completes the hint
 * "write ..." of a problem.
 *
 * @module
 */

import { z } from "zod";
import {
  Adjacency,
  KIBIBYTE,
  MAX_REQUEST_DEADLINE,
} from "@dragonflyledge/model";

/** Largest request body, in bytes; a frame also holds the other fields. */
export const BODY_LIMIT = 512 * KIBIBYTE;
/** Number of accelerators of the largest gang. */
export const SHAPE_LIMIT = 64;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/).describe(
  "a name of 1 to 63 lower-case letters, digits and hyphens",
);

function wholeNumber(minimum: number, maximum: number) {
  return z.int().min(minimum).max(maximum).describe(
    `a whole number from ${minimum} to ${maximum}`,
  );
}

/** Capacity shape that a team is guaranteed. */
export const shapeSchema = z.strictObject({
  accelerators: wholeNumber(1, SHAPE_LIMIT),
  adjacency: z.enum(Adjacency).describe(
    `one of ${Object.values(Adjacency).join(", ")}`,
  ),
  count: wholeNumber(1, 10000),
}).describe("a shape with accelerators, adjacency and count");

/** Team with its guarantees, quota and weight. */
export const teamSchema = z.strictObject({
  name,
  tokenDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/).describe(
      "a SHA-256 digest of 64 lower-case hex characters, from tokenDigest()",
    ),
  ).min(1).describe("a list of at least one token digest"),
  guarantees: z.array(shapeSchema).describe("a list of shapes, maybe empty"),
  acceleratorQuota: wholeNumber(0, 1000000),
  weight: z.number().positive().max(1000).describe(
    "a number above 0 and at most 1000",
  ),
}).describe("a team");

/** Class of work; the deadline is in milliseconds. */
export const classSchema = z.strictObject({
  name,
  urgent: z.boolean().describe("true or false"),
  slotShare: z.number().positive().max(1).describe(
    "a number above 0 and at most 1",
  ),
  defaultDeadline: z.int().min(1).max(MAX_REQUEST_DEADLINE).describe(
    `milliseconds, a whole number from 1 to ${MAX_REQUEST_DEADLINE}`,
  ),
  queueLimit: wholeNumber(1, 100000),
}).describe("a class of work");

/** Service; the body limit is in bytes. */
export const serviceSchema = z.strictObject({
  name,
  path: z.string().regex(/^\/[\w\-./~%]{0,200}$/).describe(
    "a path that starts with / and has no query",
  ),
  bodyLimit: z.int().min(1).max(BODY_LIMIT).describe(
    `bytes, a whole number from 1 to ${BODY_LIMIT} (512 KiB)`,
  ),
}).describe("a service");

/** Whole document, without the rules that span several fields. */
export const configurationSchema = z.strictObject({
  version: z.int().min(0).describe("a whole number, 0 before submission"),
  teams: z.array(teamSchema).describe("a list of teams"),
  classes: z.array(classSchema).describe("a list of classes of work"),
  services: z.array(serviceSchema).describe("a list of services"),
}).describe("an object with version, teams, classes and services");
