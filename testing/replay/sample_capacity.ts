/**
 * Samples the capacity that the members running on workers leave free.
 *
 * @module
 */

import { measureFragmentation } from "@dragonflyledge/placement";
import type { HeldMember, WorkerView } from "@dragonflyledge/placement";
import type {
  HomesTable,
  Inventory,
  Milliseconds,
} from "@dragonflyledge/model";
import type { Cluster } from "./cluster/mod.ts";
import type { MemberRun, RunRecord } from "./record.ts";

/** Size of one member for which fragmentation is measured. */
const MEMBER_ACCELERATORS = 4;

/** Adds a sample of a cluster to its record. */
export function sampleCapacity(cluster: Cluster): void {
  const { heap, record, store, machines } = cluster;
  const inventories = [...machines.values()]
    .filter((each) => each.agent?.process.alive)
    .map((each) => each.inventory);
  const homes = store.contents.homes;
  record.samples.push(
    measureCapacity({ record, inventories, homes, now: heap.now }),
  );
}

/** Measures the capacity that running members leave free. */
export function measureCapacity(fields: {
  record: RunRecord;
  inventories: Inventory[];
  homes: HomesTable | undefined;
  now: Milliseconds;
}) {
  const { record, inventories, homes, now } = fields;
  const held = new Map<string, HeldMember[]>();
  for (const job of record.jobs.values()) {
    for (const memberRun of job.memberRuns) {
      if (memberRun.end <= now) continue;
      const list = held.get(memberRun.worker) ?? [];
      held.set(memberRun.worker, list);
      list.push(toHeld(memberRun, job.spec));
    }
  }
  const workers: WorkerView[] = inventories.map((inventory) => ({
    inventory,
    available: true,
    held: held.get(inventory.worker) ?? [],
    free: inventory.capacity,
  }));
  const memberAccelerators = MEMBER_ACCELERATORS;
  return {
    at: now,
    ...measureFragmentation({ workers, homes, memberAccelerators }),
  };
}

function toHeld(
  memberRun: MemberRun,
  spec: { team: string; class: string; revocable: boolean },
): HeldMember {
  return {
    run: { job: memberRun.job, epoch: memberRun.epoch },
    member: memberRun.member,
    team: spec.team,
    class: spec.class,
    urgent: false,
    revocable: spec.revocable,
    accelerators: memberRun.accelerators,
    cores: 0,
    memoryMiB: 0,
  };
}
