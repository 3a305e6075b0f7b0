/**
 * Steps that every end of an attempt has in common.
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

/**
 * Ends the running attempt, if there is one: frees its slot and corrects the
 * charge of its team to the time used.
 *
 * @param ran false if the attempt provably never ran, which charges nothing
 */
export function endAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  ran: boolean = true,
): void {
  const { running } = request;
  if (running === undefined) return;
  if (ran) recordOrphan(state, request, running);
  request.running = undefined;
  const { byWorker, queue } = state.requests;
  const onWorker = byWorker.get(running.worker);
  onWorker?.delete(request);
  if (onWorker?.size === 0) byWorker.delete(running.worker);
  queue.adjustCharge(running.charge, ran ? now - running.sentAt : 0);
  const load = serviceLoad(state.requests, request.service);
  load.running--;
  if (!running.urgent) load.deferrable--;
  if (ran) load.wait.recordFreedSlot(now);
  if (ran && !running.urgent) load.deferrableWait.recordFreedSlot(now);
  const agent = state.agents.get(running.worker);
  if (agent?.incarnation !== running.incarnation) return;
  const slot = { class: request.class, accepted: running.accepted };
  freeSlot(state, agent, slot, now);
  const connected = currentAgent(state, agent.worker, agent.incarnation);
  // While attempts from before the quarantine still run on the worker, the end
  // of one of them must not count as the end of the probe.
  if (connected && onWorker?.size === 0) allowNextProbe(state, connected, now);
}

/**
 * Remembers an attempt on an agent that is not connected, since the attempt may
 * still hold a slot when the agent returns.
 */
function recordOrphan(
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
