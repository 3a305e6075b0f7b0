/**
 * Events and effects of the agent's reducer.
 *
 * @module
 */

import type { Milliseconds } from "./clock.ts";
import type {
  AgentMessage,
  AttemptId,
  EntryMessage,
  Hello,
  MemberReport,
  RunId,
} from "./messages.ts";
import type { EntryId, Resources, ServiceName } from "./resources.ts";

/** Identity of one task on the worker. */
export interface TaskId {
  run: RunId;
  member: number;
}

/** What may happen to an agent. `now` is monotonic time. */
export type AgentEvent =
  | { kind: "tick"; now: Milliseconds }
  | { kind: "entryConnected"; now: Milliseconds; entry: EntryId; hello: Hello }
  | { kind: "entryLost"; now: Milliseconds; entry: EntryId }
  | {
    kind: "message";
    now: Milliseconds;
    entry: EntryId;
    message: EntryMessage;
  }
  /** Heartbeat of an entry, with the versions that it holds. */
  | {
    kind: "peerVersions";
    now: Milliseconds;
    entry: EntryId;
    versions: { configuration: number; homes: number };
  }
  | {
    kind: "endpointAnswer";
    now: Milliseconds;
    attempt: AttemptId;
    status: number;
    contentType: string;
    piece: Uint8Array;
    last: boolean;
  }
  /**
   * The call failed. `sent` is false only if no byte reached the endpoint,
   * which proves that the work did not run.
   */
  | {
    kind: "endpointFailed";
    now: Milliseconds;
    attempt: AttemptId;
    sent: boolean;
    cause: string;
  }
  | { kind: "taskStarted"; now: Milliseconds; task: TaskId }
  | { kind: "taskCheckpointed"; now: Milliseconds; task: TaskId }
  | {
    kind: "taskEnded";
    now: Milliseconds;
    task: TaskId;
    ending: "finished" | "failed" | "stopped";
    cause: string;
  }
  /** Tasks that the worker was found running when the agent started. */
  | { kind: "tasksFound"; now: Milliseconds; members: MemberReport[] }
  | {
    kind: "usage";
    now: Milliseconds;
    cores: number;
    memoryMiB: number;
    /** Age of the figures when they were read. */
    age: Milliseconds;
  }
  | { kind: "stopRequested"; now: Milliseconds };

/** What the agent's shell must do. */
export type AgentEffect =
  | { kind: "send"; entry: EntryId; message: AgentMessage }
  | {
    kind: "callEndpoint";
    attempt: AttemptId;
    service: ServiceName;
    path: string;
    contentType: string;
    body: Uint8Array;
    timeout: Milliseconds;
  }
  | { kind: "abortCall"; attempt: AttemptId }
  | {
    kind: "startTask";
    task: TaskId;
    report: MemberReport;
    perMember: Resources;
    command: string;
    lease: Milliseconds;
  }
  | { kind: "renewTask"; task: TaskId; lease: Milliseconds }
  | { kind: "checkpointTask"; task: TaskId }
  | { kind: "throttleTask"; task: TaskId; share: number }
  | { kind: "stopTask"; task: TaskId }
  /** New list of entries to hold sessions with. */
  | { kind: "dialEntries"; entries: { id: EntryId; address: string }[] }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields }
  | { kind: "count"; metric: string; value: number; tags: Fields }
  /** Everything in flight has ended after a stop was requested. */
  | { kind: "exit" };

export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a log line or tags of a metric. */
export type Fields = Record<string, string | number | boolean>;
