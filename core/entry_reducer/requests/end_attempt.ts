/**
 * The end of an attempt, whatever its result.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { currentAgent } from "../members/reduce.ts";
import { freeSlot } from "../members/slots.ts";
import { allowNextProbe } from "../members/work_health.ts";
import type { EntryState } from "../state.ts";
import type { OpenRequest, RunningAttempt } from "./state.ts";
import { serviceLoad } from "./state.ts";

/** Releases the slot and charges the team for the time used. */
export function endAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  ran: boolean = true,
): void {
  const { running } = request;
  if (running === undefined) return;
  if (ran) keepOrphan(state, request, running);
  request.running = undefined;
  const { byWorker, queue } = state.requests;
  const here = byWorker.get(running.worker);
  here?.delete(request);
  if (here?.size === 0) byWorker.delete(running.worker);
  queue.settle(running.charge, ran ? now - running.sentAt : 0);
  const load = serviceLoad(state.requests, request.service);
  load.running--;
  if (!running.urgent) load.deferrable--;
  if (ran) load.wait.slotFreed(now);
  if (ran && !running.urgent) load.deferrableWait.slotFreed(now);
  const agent = state.agents.get(running.worker);
  if (agent?.incarnation !== running.incarnation) return;
  const slot = { class: request.class, accepted: running.accepted };
  freeSlot(state, agent, slot, now);
  const connected = currentAgent(state, agent.worker, agent.incarnation);
  // An attempt from before the quarantine does not stand for the probe.
  if (connected && here?.size === 0) allowNextProbe(state, connected, now);
}

/** The attempt may still hold a slot when its agent comes back. */
function keepOrphan(
  state: EntryState,
  request: OpenRequest,
  running: RunningAttempt,
): void {
  const { worker, incarnation, number } = running;
  const agent = state.agents.get(worker);
  if (agent?.incarnation !== incarnation || agent.connected) return;
  const { orphans } = state.requests;
  const known = orphans.get(worker);
  const attempts = known?.incarnation === incarnation ? known.attempts : [];
  attempts.push({ request: request.id, number });
  orphans.set(worker, { incarnation, attempts });
}
