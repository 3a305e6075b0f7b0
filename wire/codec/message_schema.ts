/**
 * Schemas of all messages of the protocol, for the validation of what a peer
 * sends.
 *
 * @module
 */

import { z } from "zod";
import { MemberState } from "@dragonflyledge/model";
import type { Message } from "@dragonflyledge/model";

/** Non-negative integer, also for versions, epochs and other numbers. */
const count = z.int().nonnegative();
const name = z.string().min(1).max(256);
const milliseconds = z.number().finite();
const bytes = z.instanceof(Uint8Array);
const versions = z.object({ configuration: count, homes: count });
const attempt = z.object({ request: name, number: count });
const run = z.object({ job: name, epoch: count });
const resources = z.object({
  accelerators: z.number().nonnegative(),
  cores: z.number().nonnegative(),
  memoryMiB: z.number().nonnegative(),
});
const inventory = z.object({
  worker: name,
  location: z.object({ region: name, failureDomain: name, rack: name }),
  capacity: resources,
  service: name,
  slots: count,
  connections: count,
});
const member = z.object({
  run,
  member: count,
  team: name,
  class: name,
  urgent: z.boolean(),
  revocable: z.boolean(),
  accelerators: z.array(count),
  state: z.enum(MemberState),
});
const configuration = z.looseObject({
  version: count,
  teams: z.array(z.looseObject({ name })),
  classes: z.array(z.looseObject({ name })),
  services: z.array(z.looseObject({ name })),
});
const homes = z.looseObject({
  version: count,
  configurationVersion: count,
  homes: z.array(z.looseObject({ team: name })),
  unplaced: z.array(z.looseObject({ team: name })),
});

/** One schema for each kind of message. */
const schemas = [
  z.object({
    kind: z.literal("hello"),
    protocol: count,
    role: z.enum(["entry", "agent"]),
    id: name,
    incarnation: count,
    versions,
    inventory: inventory.optional(),
    members: z.array(member).optional(),
    address: z.string().optional(),
  }),
  z.object({ kind: z.literal("heartbeat"), versions }),
  z.object({
    kind: z.literal("attempt"),
    attempt,
    incarnation: count,
    service: name,
    path: z.string(),
    team: name,
    class: name,
    urgent: z.boolean(),
    classSlots: count,
    remaining: milliseconds,
    idempotent: z.boolean(),
    contentType: z.string(),
    body: bytes,
  }),
  z.object({ kind: z.literal("cancelAttempt"), attempt }),
  z.object({ kind: z.literal("queryAttempt"), attempt }),
  z.object({ kind: z.literal("attemptAccepted"), attempt }),
  z.object({
    kind: z.literal("attemptRefused"),
    attempt,
    reason: z.enum([
      "busy",
      "class-limit",
      "leaving",
      "stale-incarnation",
      "tombstoned",
      "duplicate",
      "expired",
      "unreachable",
    ]),
  }),
  z.object({
    kind: z.literal("attemptAnswer"),
    attempt,
    status: count,
    contentType: z.string(),
    sequence: count,
    last: z.boolean(),
    piece: bytes,
  }),
  z.object({ kind: z.literal("attemptBroken"), attempt, cause: z.string() }),
  z.object({
    kind: z.literal("attemptState"),
    attempt,
    state: z.enum(["absent", "running", "done", "broken", "cancelled"]),
  }),
  z.object({
    kind: z.literal("reserve"),
    run,
    team: name,
    class: name,
    urgent: z.boolean(),
    revocable: z.boolean(),
    members: z.array(
      z.object({ member: count, accelerators: z.array(count) }),
    ),
    perMember: resources,
    command: z.string(),
    remaining: milliseconds,
  }),
  z.object({ kind: z.literal("commit"), run, lease: milliseconds }),
  z.object({ kind: z.literal("release"), run }),
  z.object({ kind: z.literal("renew"), run, lease: milliseconds }),
  z.object({ kind: z.literal("stop"), run, checkpoint: z.boolean() }),
  z.object({ kind: z.literal("throttle"), run, share: z.number() }),
  z.object({ kind: z.literal("reserved"), run }),
  z.object({ kind: z.literal("reserving"), run, remaining: milliseconds }),
  z.object({
    kind: z.literal("reserveRefused"),
    run,
    reason: z.enum(["no-capacity", "not-revocable", "leaving", "stale-epoch"]),
  }),
  z.object({ kind: z.literal("runState"), run, members: z.array(member) }),
  z.object({
    kind: z.literal("reclaimNotice"),
    run,
    remaining: milliseconds,
    by: z.string(),
  }),
  z.object({
    kind: z.literal("report"),
    worker: name,
    incarnation: count,
    versions,
    leaving: z.boolean(),
    slotsUsed: count,
    slotsByClass: z.record(z.string(), count),
    members: z.array(member),
    usage: z.object({
      cores: z.number(),
      memoryMiB: z.number(),
      age: milliseconds,
    }),
  }),
  z.object({ kind: z.literal("configuration"), configuration }),
  z.object({ kind: z.literal("homes"), homes }),
  z.object({ kind: z.literal("fetch"), versions }),
  z.object({
    kind: z.literal("entries"),
    entries: z.array(z.object({ id: name, address: name })),
  }),
  z.object({ kind: z.literal("drain") }),
] as const;

const messages = z.discriminatedUnion("kind", schemas);

/**
 * Validates a decoded value.
 *
 * @returns the message, or the path and the reason of the first problem
 */
export function checkMessage(fields: { value: unknown }):
  | { message: Message }
  | { problem: string } {
  const checked = messages.safeParse(fields.value);
  // Configurations and homes tables are checked only in part, since they are
  // checked in full when they enter the system.
  if (checked.success) return { message: checked.data as unknown as Message };
  const issue = checked.error.issues[0];
  const path = issue?.path.join(".") ?? "";
  return { problem: `${path || "message"}: ${issue?.message ?? "invalid"}` };
}
