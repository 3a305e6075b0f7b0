/**
 * The machine of an agent and its worker: pauses, suspensions and restarts of
 * the agent's process.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentReport } from "@dragonflyledge/scheduler";
import type { ControlEffect } from "@dragonflyledge/worker-control";
import type { AgentSetup, Happening } from "../inputs.ts";
import type { Ledger } from "../ledger.ts";
import type { Agenda } from "./agenda.ts";
import { startAgentModel } from "./agent.ts";
import type { AgentModel } from "./agent.ts";
import { createCalls } from "./calls.ts";
import { agentName, domainOf } from "./names.ts";
import type { LinkEnd, Network } from "./network.ts";
import { createProcess } from "./process.ts";
import type { Process } from "./process.ts";
import type { StoreModel } from "./store.ts";
import { HEARTBEAT_INTERVAL } from "./times.ts";
import type { Work } from "./work.ts";
import { startWorkerMachine } from "./worker_machine.ts";

/** Time after a disturbance in which the agent may not know all yet. */
const RECOVERY: Milliseconds = 3000 + HEARTBEAT_INTERVAL;

/** Faults of an agent's machine. */
export type MachineFault = Extract<
  Happening,
  {
    kind:
      | "crashWorker"
      | "drain"
      | "resize"
      | "repeatHeartbeat"
      | "pauseAgent"
      | "suspendAgent"
      | "restartAgent"
      | "slowCalls"
      | "hideWorker";
  }
>;

/** Starts the machine of the agent `index`. */
export function startAgentMachine(fields: {
  index: number;
  setup: AgentSetup;
  agenda: Agenda;
  network: Network;
  ledger: Ledger;
  store: StoreModel;
  work: Work;
  callsOutliveWorkers: boolean;
  onLog: (effect: Extract<ControlEffect, { kind: "log" }>) => void;
}): { disturb(fault: MachineFault): void } {
  const { agenda, network, index, store } = fields;
  let process: Process;
  let agent: AgentModel | undefined;
  let links: LinkEnd<AgentReport>[] = [];
  let suspended: Milliseconds = 0;
  /** Latest time in which the agent was paused or down. */
  let silence = { from: -Infinity, until: -Infinity };

  const worker = startWorkerMachine({
    ...fields,
    listener: {
      onHeartbeat: (announcement) => {
        if (!calls.isHidden()) agent?.onHeartbeat(announcement);
      },
      onLeft: (id) => agent?.onLeft(id),
    },
  });
  const calls = createCalls({ ...fields, worker });

  function start(): void {
    process = createProcess(agenda);
    agent = startAgentModel({
      ...fields,
      network: { ...network, listen },
      calls,
      process,
      suspended: () => suspended,
      knownSince: () => {
        const isRecent = silence.until + RECOVERY > agenda.now();
        return isRecent ? silence.from : agenda.now();
      },
      evacuatedAt: () => store.evacuated.get(domainOf(index)),
      register: () => {
        const name = agentName(index);
        if (!store.agents.has(name)) store.addAgent(name);
      },
    });
  }

  /** Keeps the ends of all links, which close when the process ends. */
  const listen: Network["listen"] = (agent, listener) =>
    network.listen(agent, (end) => {
      links.push(end);
      return listener!(end);
    });

  function isRunning(): boolean {
    return agent !== undefined && !process.isPaused();
  }

  function noteSilence(duration: Milliseconds): void {
    const until = agenda.now() + duration;
    const from = silence.until + RECOVERY > agenda.now()
      ? silence.from
      : agenda.now();
    silence = { from, until: Math.max(silence.until, until) };
  }

  function restart(downFor: Milliseconds): void {
    noteSilence(downFor);
    process.end();
    agent = undefined;
    network.listen(index, undefined);
    for (const link of links) link.close();
    links = [];
    agenda.after(downFor, start);
  }

  function disturb(fault: MachineFault): void {
    switch (fault.kind) {
      case "pauseAgent":
        if (!isRunning()) return;
        noteSilence(fault.duration);
        return process.pause(fault.duration);
      case "suspendAgent":
        if (!isRunning()) return;
        noteSilence(fault.duration);
        return process.pause(fault.duration, () => {
          suspended += fault.duration;
        });
      case "restartAgent":
        return isRunning() ? restart(fault.downFor) : undefined;
      case "hideWorker":
        noteSilence(fault.duration);
        return calls.hide(fault.duration);
      case "slowCalls":
        return calls.disturb(fault);
      default:
        return worker.disturb(fault);
    }
  }

  start();
  return { disturb };
}
