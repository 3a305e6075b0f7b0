/**
 * Queue of requests that wait for a slot: urgent work first, then teams by
 * weighted share of observed run time, then the earliest deadline.
 *
 * Shares use start-time fair queueing: a team's start tag grows by the run
 * time that its requests used, divided by its weight, and the team with the
 * lowest tag is next. A team that had nothing queued resumes at the current
 * virtual time or later: it gets no credit for the idle time, and at most
 * `DEBT_LIMIT` of the run time that it used before counts against it.
 *
 * @module
 */

import type {
  ClassName,
  Milliseconds,
  RequestId,
  ServiceName,
  TeamName,
} from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import { createIndexedHeap, type IndexedHeap } from "./indexed_heap.ts";

/**
 * Most run time that still counts against a team after it was idle. Without a
 * limit, one very long run would keep its team from service for as long.
 */
const DEBT_LIMIT = 30 * SECOND;

/** What the queue needs to know about a request. */
export interface QueuedRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly class: ClassName;
  readonly deadline: Milliseconds;
}

/** Run time charged to a team for one dispatched request. */
export interface Charge {
  /** The team's flow, which only the queue uses. */
  flow: object;
  /** Estimated at dispatch, and observed after `adjustCharge`. */
  cost: Milliseconds;
}

/** Queue of the requests of all services. */
export interface RequestQueue<Item extends QueuedRequest> {
  readonly size: number;
  /** Number of queued requests of a team and class. */
  sizeOf(team: TeamName, workClass: ClassName): number;
  /** Number of queued requests of a service, either urgent or deferrable. */
  sizeOfService(service: ServiceName, urgent: boolean): number;
  /**
   * Adds a request. Returns false, and does not add it, if `limit` requests of
   * its team and class are queued already.
   */
  push(
    item: Item,
    terms: { urgent: boolean; weight: number; limit: number },
  ): boolean;
  /**
   * Returns the first request of the service, in the order of the queue, that
   * is `admissible`. It stays queued.
   */
  next(
    service: ServiceName,
    admissible: (item: Item) => boolean,
  ): Item | undefined;
  /** Removes a request to dispatch it, and charges its team the given cost. */
  take(item: Item, cost: Milliseconds): Charge;
  /**
   * Replaces the estimated run time of a charge by the observed one, which is 0
   * if the request did not run.
   */
  adjustCharge(charge: Charge, observed: Milliseconds): void;
  /** Removes a request, and returns whether it was queued. */
  remove(item: Item): boolean;
  /** Removes and returns the requests whose deadline has passed. */
  expire(now: Milliseconds): Item[];
  /**
   * Estimates how many queued requests of the same service and urgency would be
   * served before a new one, according to its deadline and its team's weight.
   */
  countAhead(
    request: QueuedRequest,
    terms: { urgent: boolean; weight: number },
  ): number;
}

/** Queued requests of one team within a tier. */
interface Flow<Item> {
  /** Virtual time: run time used, in milliseconds, divided by the weight. */
  startTag: number;
  weight: number;
  /** Number of queued requests. */
  size: number;
  /** Requests of each class, with the earliest deadline first. */
  classes: Map<ClassName, IndexedHeap<Item>>;
}

/** Queued requests of one service that are all urgent or all deferrable. */
interface Tier<Item> {
  /** Highest start tag of a team at the time it was served. */
  virtualTime: number;
  /** Number of queued requests. */
  size: number;
  flows: Map<TeamName, Flow<Item>>;
}

/** Where a queued request is stored, for its removal. */
interface QueuePosition<Item> {
  tier: Tier<Item>;
  flow: Flow<Item>;
  heap: IndexedHeap<Item>;
}

/** Creates an empty queue. */
export function createRequestQueue<
  Item extends QueuedRequest,
>(): RequestQueue<Item> {
  const earlier = (left: Item, right: Item) => left.deadline < right.deadline;
  const tiers = new Map<string, Tier<Item>>();
  const positions = new Map<Item, QueuePosition<Item>>();
  const counts = new Map<string, number>();
  const expiry = createIndexedHeap<Item>({ before: earlier });

  const count = (item: Item, change: number) => {
    const key = countKey(item.team, item.class);
    const size = (counts.get(key) ?? 0) + change;
    if (size === 0) counts.delete(key);
    else counts.set(key, size);
  };
  const remove = (item: Item): boolean => {
    const position = positions.get(item);
    if (position === undefined) return false;
    positions.delete(item);
    position.heap.remove(item);
    expiry.remove(item);
    position.flow.size--;
    position.tier.size--;
    count(item, -1);
    return true;
  };
  return {
    get size() {
      return positions.size;
    },
    sizeOf: (team, workClass) => counts.get(countKey(team, workClass)) ?? 0,
    sizeOfService: (service, urgent) =>
      tiers.get(tierKey(service, urgent))?.size ?? 0,
    push(item, { urgent, weight, limit }) {
      if ((counts.get(countKey(item.team, item.class)) ?? 0) >= limit) {
        return false;
      }
      const tier = tierOf(tiers, tierKey(item.service, urgent));
      const flow = flowOf(tier, item.team);
      flow.weight = weight;
      if (flow.size === 0) resumeFlow(flow, tier);
      let heap = flow.classes.get(item.class);
      if (heap === undefined) {
        heap = createIndexedHeap<Item>({ before: earlier });
        flow.classes.set(item.class, heap);
      }
      heap.push(item);
      expiry.push(item);
      flow.size++;
      tier.size++;
      count(item, 1);
      positions.set(item, { tier, flow, heap });
      return true;
    },
    next(service, admissible) {
      for (const urgent of [true, false]) {
        const tier = tiers.get(tierKey(service, urgent));
        const item = tier && firstOfTier(tier, admissible);
        if (item !== undefined) return item;
      }
      return undefined;
    },
    take(item, cost) {
      const { flow, tier } = positions.get(item)!;
      remove(item);
      tier.virtualTime = Math.max(tier.virtualTime, flow.startTag);
      flow.startTag += cost / flow.weight;
      return { flow, cost };
    },
    adjustCharge(charge, observed) {
      const flow = charge.flow as Flow<Item>;
      flow.startTag += (observed - charge.cost) / flow.weight;
      charge.cost = observed;
    },
    remove,
    expire(now) {
      const expired: Item[] = [];
      for (
        let item = expiry.peek();
        item !== undefined && item.deadline <= now;
        item = expiry.peek()
      ) {
        remove(item);
        expired.push(item);
      }
      return expired;
    },
    countAhead(request, { urgent, weight }) {
      const tier = tiers.get(tierKey(request.service, urgent));
      return countAheadInTier(tier, request, weight);
    },
  };
}

/** Returns the key of a team and class in the counts of queued requests. */
function countKey(team: TeamName, workClass: ClassName): string {
  return `${team}\0${workClass}`;
}

function tierKey(service: ServiceName, urgent: boolean): string {
  return `${service}\0${urgent}`;
}

/** Returns the tier, which is created if it does not exist. */
function tierOf<Item>(
  tiers: Map<string, Tier<Item>>,
  key: string,
): Tier<Item> {
  let tier = tiers.get(key);
  if (tier === undefined) {
    tier = { virtualTime: 0, size: 0, flows: new Map() };
    tiers.set(key, tier);
  }
  return tier;
}

/** Returns the team's flow, which is created if it does not exist. */
function flowOf<Item>(tier: Tier<Item>, team: TeamName): Flow<Item> {
  let flow = tier.flows.get(team);
  if (flow === undefined) {
    flow = { startTag: 0, weight: 1, size: 0, classes: new Map() };
    tier.flows.set(team, flow);
  }
  return flow;
}

/** Sets the start tag of a team that had nothing queued. */
function resumeFlow<Item>(flow: Flow<Item>, tier: Tier<Item>): void {
  const latest = tier.virtualTime + DEBT_LIMIT / flow.weight;
  flow.startTag = Math.min(Math.max(flow.startTag, tier.virtualTime), latest);
}

/** Returns the next admissible request of the team with the lowest tag. */
function firstOfTier<Item extends QueuedRequest>(
  tier: Tier<Item>,
  admissible: (item: Item) => boolean,
): Item | undefined {
  let first: Item | undefined;
  let lowest = Infinity;
  for (const flow of tier.flows.values()) {
    if (flow.size === 0 || flow.startTag >= lowest) continue;
    const item = firstOfFlow(flow, admissible);
    if (item === undefined) continue;
    first = item;
    lowest = flow.startTag;
  }
  return first;
}

/** Returns the admissible request with the earliest deadline of a team. */
function firstOfFlow<Item extends QueuedRequest>(
  flow: Flow<Item>,
  admissible: (item: Item) => boolean,
): Item | undefined {
  let first: Item | undefined;
  for (const heap of flow.classes.values()) {
    const item = heap.peek();
    if (item === undefined) continue;
    if (first !== undefined && first.deadline <= item.deadline) continue;
    if (admissible(item)) first = item;
  }
  return first;
}

/**
 * Counts what is ahead of a new request: requests of its own team with earlier
 * deadlines, and, for each of these and the new one, requests of other teams in
 * proportion to their weights.
 */
function countAheadInTier<Item extends QueuedRequest>(
  tier: Tier<Item> | undefined,
  request: QueuedRequest,
  weight: number,
): number {
  if (tier === undefined || tier.size === 0) return 0;
  const own = tier.flows.get(request.team);
  let before = 0;
  for (const heap of own?.classes.values() ?? []) {
    before += heap.countBefore(request as Item);
  }
  let total = before;
  for (const [team, flow] of tier.flows) {
    if (team === request.team || flow.size === 0) continue;
    total += Math.min(flow.size, (before + 1) * flow.weight / weight);
  }
  return total;
}
