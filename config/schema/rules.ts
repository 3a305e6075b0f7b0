/**
 * Rules that span several fields of a configuration.
 *
 * @module
 */

import { Adjacency, STORE_VALUE_LIMIT } from "@dragonflyledge/model";
import type { Configuration, Shape, Team } from "@dragonflyledge/model";
import { canonicalJson } from "./canonical.ts";
import type { Problem } from "./problem.ts";

/** Half of what the store holds: the history keeps author and time beside it. */
const DOCUMENT_LIMIT = STORE_VALUE_LIMIT / 2;

/** Accelerators that the team's guarantees add up to. */
export function guaranteedAccelerators(team: Team): number {
  return team.guarantees.reduce(
    (sum, shape) => sum + shape.accelerators * shape.count,
    0,
  );
}

/** Finds faults within one shape. */
export function checkShape(shape: Shape, path: string): Problem[] {
  const power = (shape.accelerators & (shape.accelerators - 1)) === 0;
  if (shape.adjacency !== Adjacency.Worker || power) return [];
  return [{
    path: `${path}.accelerators`,
    value: shape.accelerators,
    message: "is no aligned block of one worker",
    hint: "1, 2, 4, 8, 16, 32 or 64, or adjacency rack or any",
  }];
}

/** Finds faults within one team. */
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

/** Finds faults between the parts of a document. */
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

/** A digest in two teams would make the caller's team ambiguous. */
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
