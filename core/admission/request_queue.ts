/**
 * Queue of requests that wait for a slot: urgent work first, then teams by
 * weighted share of observed service time, then the earliest deadline.
 *
 * Shares use start-time fair queueing: a team's start tag grows by the run
 * time that it received divided by its weight, and the team with the lowest
 * tag is next. A team that was idle resumes at the current virtual time, so
 * it cannot save up service, and owes at most `DEBT_LIMIT` for earlier use.
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

/** Without a bound, one very long run would keep its team out for as long. */
const DEBT_LIMIT = 30 * SECOND;

/** A request as the queue sees it. */
export interface QueuedRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly class: ClassName;
  readonly deadline: Milliseconds;
}

/** What one dispatch charged to a team, to be corrected later. */
export interface Charge {
  flow: object;
  cost: Milliseconds;
}

export interface RequestQueue<Item extends QueuedRequest> {
  readonly size: number;
  sizeOf(team: TeamName, workClass: ClassName): number;
  sizeOfService(service: ServiceName, urgent: boolean): number;
  /** Returns false, and leaves the item out, if its team's queue is full. */
  push(
    item: Item,
    terms: { urgent: boolean; weight: number; limit: number },
  ): boolean;
  /** First item in order whose team and class may run now; it stays queued. */
  next(
    service: ServiceName,
    admissible: (item: Item) => boolean,
  ): Item | undefined;
  /** Removes an item that is being dispatched, and charges its team. */
  take(item: Item, cost: Milliseconds): Charge;
  /** Replaces the estimated cost by the observed one; 0 for a refusal. */
  adjustCharge(charge: Charge, observed: Milliseconds): void;
  remove(item: Item): boolean;
  /** Removes and returns the items whose deadline has passed. */
  expire(now: Milliseconds): Item[];
  /**
   * Requests of the same urgency that would be served before a new one of
   * this team.
   */
  countAhead(
    request: QueuedRequest,
    terms: { urgent: boolean; weight: number },
  ): number;
}

interface Flow<Item> {
  startTag: number;
  weight: number;
  size: number;
  classes: Map<ClassName, IndexedHeap<Item>>;
}

interface Tier<Item> {
  virtualTime: number;
  size: number;
  flows: Map<TeamName, Flow<Item>>;
}

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
  const places = new Map<Item, QueuePosition<Item>>();
  const counts = new Map<string, number>();
  const expiry = createIndexedHeap<Item>({ before: earlier });

  const count = (item: Item, change: number) => {
    const key = countKey(item.team, item.class);
    const size = (counts.get(key) ?? 0) + change;
    if (size === 0) counts.delete(key);
    else counts.set(key, size);
  };
  const remove = (item: Item): boolean => {
    const place = places.get(item);
    if (place === undefined) return false;
    places.delete(item);
    place.heap.remove(item);
    expiry.remove(item);
    place.flow.size--;
    place.tier.size--;
    count(item, -1);
    return true;
  };
  return {
    get size() {
      return places.size;
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
      places.set(item, { tier, flow, heap });
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
      const { flow, tier } = places.get(item)!;
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

function countKey(team: TeamName, workClass: ClassName): string {
  return `${team}\0${workClass}`;
}

function tierKey(service: ServiceName, urgent: boolean): string {
  return `${service}\0${urgent}`;
}

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

function flowOf<Item>(tier: Tier<Item>, team: TeamName): Flow<Item> {
  let flow = tier.flows.get(team);
  if (flow === undefined) {
    flow = { startTag: 0, weight: 1, size: 0, classes: new Map() };
    tier.flows.set(team, flow);
  }
  return flow;
}

function resumeFlow<Item>(flow: Flow<Item>, tier: Tier<Item>): void {
  const latest = tier.virtualTime + DEBT_LIMIT / flow.weight;
  flow.startTag = Math.min(Math.max(flow.startTag, tier.virtualTime), latest);
}

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

/** While this team is served n times, another is served n times its weight. */
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
