/**
 * Events that the agent's reducer takes, and effects that it returns.
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

/** Identity of the task that runs one member of a gang on the worker. */
export interface TaskId {
  run: RunId;
  member: number;
}

/** Event of an agent. `now` is the monotonic time of the event. */
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
  /** An entry sent a heartbeat with the versions of the data that it holds. */
  | {
    kind: "peerVersions";
    now: Milliseconds;
    entry: EntryId;
    versions: { configuration: number; homes: number };
  }
  /** A piece of the endpoint's answer arrived. */
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
   * The call to the endpoint failed. `sent` is false only if no byte of the
   * request reached the endpoint, which proves that the work did not run.
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
  /** Lists the tasks that ran on the worker when the agent started. */
  | { kind: "tasksFound"; now: Milliseconds; members: MemberReport[] }
  /** The worker told how many cores and how much memory are in use. */
  | {
    kind: "usage";
    now: Milliseconds;
    cores: number;
    memoryMiB: number;
    /** How old the figures were at `now`. */
    age: Milliseconds;
  }
  | { kind: "stopRequested"; now: Milliseconds };

/** Effect that the daemon must carry out for the agent's reducer. */
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
    /** State of the member at its start. */
    report: MemberReport;
    perMember: Resources;
    command: string;
    /** The worker stops the task unless the lease is renewed in this time. */
    lease: Milliseconds;
  }
  | { kind: "renewTask"; task: TaskId; lease: Milliseconds }
  | { kind: "checkpointTask"; task: TaskId }
  /** Slows the task to this share of its processor time, in (0, 1]. */
  | { kind: "throttleTask"; task: TaskId; share: number }
  | { kind: "stopTask"; task: TaskId }
  /** Replaces the list of entries with which the agent holds sessions. */
  | { kind: "dialEntries"; entries: { id: EntryId; address: string }[] }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields }
  | { kind: "count"; metric: string; value: number; tags: Fields }
  /** Ends the process: after a stop request, all work has ended. */
  | { kind: "exit" };

/** Severity of a log line. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a log line or tags of a metric. */
export type Fields = Record<string, string | number | boolean>;
