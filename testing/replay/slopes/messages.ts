/**
 * Creates messages of given sizes, and measures the size of their frames.
 *
 * @module
 */

import { encodeFrame } from "@dragonflyledge/codec";
import type {
  Attempt,
  Heartbeat,
  MemberReport,
  Message,
  Report,
} from "@dragonflyledge/model";

/** Size of the frame of a message, in bytes. */
export function frameSize(message: Message): number {
  return encodeFrame({ message, peer: "slopes" })._unsafeUnwrap().length;
}

/** A heartbeat with versions as they are after a year. */
export function createHeartbeat(): Heartbeat {
  return {
    kind: "heartbeat",
    versions: { configuration: 150_000, homes: 60_000 },
  };
}

/** Members of gangs with one accelerator each. */
export function createMembers(worker: number, count: number): MemberReport[] {
  return Array.from({ length: count }, (_, index) => ({
    run: {
      job: `01JG${String(worker).padStart(6, "0")}${
        String(index).padStart(8, "0")
      }`,
      epoch: 3,
    },
    member: index,
    team: "quality-lab",
    class: "recipe-tuning",
    urgent: false,
    revocable: true,
    accelerators: [index],
    state: "running",
  }));
}

/** A report of a worker with the given number of members. */
export function createReport(worker: number, members: number): Report {
  return {
    kind: "report",
    worker: workerName(worker),
    incarnation: 1_764_831_600_000,
    versions: { configuration: 150_000, homes: 60_000 },
    leaving: false,
    slotsUsed: 5,
    slotsByClass: { "shift-plan": 3, "image-batch": 2 },
    members: createMembers(worker, members),
    usage: { cores: 17.25, memoryMiB: 51_200, age: 1500 },
  };
}

/** An attempt with a body of the given size. */
export function createAttempt(request: string, bytes: number): Attempt {
  return {
    kind: "attempt",
    attempt: { request, number: 1 },
    incarnation: 1,
    service: "fryer-line-planning",
    path: "/plan",
    team: "quality-lab",
    class: "shift-plan",
    urgent: true,
    classSlots: 8,
    remaining: 10_000,
    idempotent: true,
    contentType: "application/json",
    body: new Uint8Array(bytes),
  };
}

/** Name of a worker by its number. */
export function workerName(worker: number): string {
  return `worker-${String(worker).padStart(4, "0")}`;
}
