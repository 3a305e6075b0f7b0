/**
 * Finds the queue, the team and the job that a caller's request names.
 *
 * @module
 */

import { CallerHeader, isJobId } from "@dragonflyledge/platform";
import type { Deployment, Queue } from "@dragonflyledge/platform";
import type { HttpAnswer, HttpRequestHead } from "@dragonflyledge/program";
import { Status } from "./caller_answers.ts";

/** What a request concerns. */
export interface CallTarget {
  queue: Queue;
  /** Undefined without a valid key. */
  team: string | undefined;
  /** Id of the job; empty for the number of pending jobs of the queue. */
  id: string;
}

/** What a request concerns; the answer if it is refused for its headers. */
export function findTarget(
  deployment: Deployment,
  head: HttpRequestHead,
): CallTarget | HttpAnswer {
  const queue = findQueue(deployment, head);
  if (!queue) return { status: Status.NotFound };
  const team = findTeam(deployment, head);
  if (team === undefined && !queue.anonymous) {
    return { status: Status.Unauthorized };
  }
  const id = head.path.split("?")[0]!.slice(queue.prefix.length);
  const asksForCount = head.method === "GET" && id === "";
  if (!asksForCount && !isJobId(id)) return { status: Status.NotFound };
  return { queue, team, id };
}

/** Finds the queue of the request's host with the longest matching prefix. */
function findQueue(
  deployment: Deployment,
  request: HttpRequestHead,
): Queue | undefined {
  const host = (request.headers.host ?? "").toLowerCase().split(":")[0];
  let best: Queue | undefined;
  for (const queue of deployment.queues) {
    if (queue.host !== host || !request.path.startsWith(queue.prefix)) continue;
    if (!best || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best;
}

/** Finds the team of the request's API key; undefined without a valid key. */
function findTeam(
  deployment: Deployment,
  request: HttpRequestHead,
): string | undefined {
  const key = request.headers[CallerHeader.Key];
  if (typeof key !== "string" || key === "") return undefined;
  return deployment.teams.find((team) => team.keys.includes(key))?.name;
}
