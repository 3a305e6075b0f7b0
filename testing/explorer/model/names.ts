/**
 * Names of agents and of their failure domains.
 *
 * @module
 */

/** Returns the name of the agent with this index. */
export function agentName(index: number): string {
  return `agent-${index}`;
}

/** Returns the failure domain of the agent; there are two. */
export function domainOf(index: number): string {
  return `domain-${index % 2}`;
}

/** Returns the index in a name that `agentName` wrote. */
export function agentIndex(name: string): number {
  return Number(name.slice("agent-".length));
}
