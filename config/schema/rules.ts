/**
 * Rules that span several fields of a configuration.
 *
 * @module
 */

import { Adjacency, STORE_VALUE_LIMIT } from "@dragonflyledge/model";
import type { Configuration, Shape, Team } from "@dragonflyledge/model";
import { canonicalJson } from "./canonical.ts";
import type { Problem } from "./problem.ts";

/** In bytes. Half a value of the store: the history adds author and time. */
const DOCUMENT_LIMIT = STORE_VALUE_LIMIT / 2;

/** Returns the number of accelerators that the team is guaranteed. */
export function guaranteedAccelerators(team: Team): number {
  return team.guarantees.reduce(
    (sum, shape) => sum + shape.accelerators * shape.count,
    0,
  );
}

/** Returns the problems within one shape. */
export function checkShape(shape: Shape, path: string): Problem[] {
  const isPowerOfTwo = (shape.accelerators & (shape.accelerators - 1)) === 0;
  if (shape.adjacency !== Adjacency.Worker || isPowerOfTwo) return [];
  return [{
    path: `${path}.accelerators`,
    value: shape.accelerators,
    message: "is no aligned block of one worker",
    hint: "1, 2, 4, 8, 16, 32 or 64, or adjacency rack or any",
  }];
}

/** Returns the problems between the fields of one team, and in its shapes. */
export function checkTeam(team: Team, path: string): Problem[] {
  const problems = team.guarantees.flatMap((shape, index) =>
    checkShape(shape, `${path}.guarantees[${index}]`)
  );
  const guaranteed = guaranteedAccelerators(team);
  if (team.acceleratorQuota < guaranteed) {
    problems.push({
      path: `${path}.acceleratorQuota`,
      value: team.acceleratorQuota,
      message: `is below the ${guaranteed} accelerators of the guarantees`,
      hint: `${guaranteed} or more, or reduce the guarantees`,
    });
  }
  return problems;
}

/** Returns the problems of the rules of a whole document. */
export function checkDocument(configuration: Configuration): Problem[] {
  const problems = configuration.teams.flatMap((team) =>
    checkTeam(team, `teams[${team.name}]`)
  );
  for (const list of ["teams", "classes", "services"] as const) {
    problems.push(...checkNames(list, configuration[list]));
  }
  problems.push(...checkDigests(configuration.teams));
  if (!configuration.classes.some((each) => each.urgent)) {
    problems.push({
      path: "classes",
      value: configuration.classes.map((each) => each.name),
      message: "has no urgent class",
      hint: "urgent: true in at least one class",
    });
  }
  const size = canonicalJson(configuration).length;
  if (size > DOCUMENT_LIMIT) {
    problems.push({
      path: "",
      value: size,
      message: "has too many bytes",
      hint: `a document of at most ${DOCUMENT_LIMIT} bytes`,
    });
  }
  return problems;
}

function checkNames(list: string, members: { name: string }[]): Problem[] {
  const names = members.map((member) => member.name);
  const repeated = names.filter((name, index) => names.indexOf(name) !== index);
  return [...new Set(repeated)].map((name) => ({
    path: `${list}[${name}].name`,
    value: name,
    message: "is used more than once",
    hint: "a different name for each member of the list",
  }));
}

/** Refuses a digest in two teams: the caller's team would be ambiguous. */
function checkDigests(teams: Team[]): Problem[] {
  const owners = new Map<string, string>();
  const problems: Problem[] = [];
  for (const team of teams) {
    team.tokenDigests.forEach((digest, index) => {
      const owner = owners.get(digest);
      owners.set(digest, team.name);
      if (owner === undefined) return;
      problems.push({
        path: `teams[${team.name}].tokenDigests[${index}]`,
        value: digest,
        message: `is a digest of team ${owner} already`,
        hint: "the digest of a token that only this team has",
      });
    });
  }
  return problems;
}
