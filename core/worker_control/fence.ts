/**
 * Fencing tokens of the calls to the worker.
 *
 * A call names only the worker's id, so that a worker that starts again under
 * its id also carries out calls for its former incarnation. The leader gives
 * each holder, which is one process of the agent together with one worker
 * incarnation, a number of its own. Once the worker has answered a call with
 * that number, it does nothing for calls of earlier holders.
 *
 * @module
 */

import { FENCES_PER_EPOCH } from "@dragonflyledge/scheduler";
import type { AgentOrders } from "@dragonflyledge/scheduler";
import type { ControlState } from "./state.ts";

/** Names the present holder: this process with the worker that it controls. */
export function holderOf(state: ControlState): string {
  return `${state.process} ${state.worker?.state.key ?? ""}`;
}

/**
 * Applies the number in orders of the present leader. The first orders of a
 * leader replace what a former one has given.
 */
export function noteFence(
  state: ControlState,
  { fence }: AgentOrders,
  isNewLeader: boolean,
): void {
  const known = state.fence?.number ?? 0;
  if (!isNewLeader && (fence?.number ?? 0) < known) return;
  state.fence = fence;
}

/**
 * Returns the token for calls to the worker, or undefined if the leader has not
 * numbered the present holder yet. Under a leader of an older build, which gives
 * no numbers, it is the epoch alone.
 */
export function callToken(state: ControlState): number | undefined {
  if (state.epoch === 0) return undefined;
  if (state.fence && state.fence.holder !== holderOf(state)) return undefined;
  return latestToken(state);
}

/**
 * Returns the highest token of this process, whichever of its holders it belongs
 * to, for calls that extend no lease and start nothing.
 */
export function latestToken({ epoch, fence }: ControlState): number {
  return epoch * FENCES_PER_EPOCH + (fence?.number ?? 0);
}
