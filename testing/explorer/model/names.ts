/**
 * Names of agents.
 *
 * @module
 */

/** Returns the name of the agent with this index. */
export function agentName(index: number): string {
  return `agent-${index}`;
}

/** Returns the index in a name that `agentName` wrote. */
export function agentIndex(name: string): number {
  return Number(name.slice("agent-".length));
}
