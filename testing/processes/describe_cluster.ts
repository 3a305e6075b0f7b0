/**
 * Describes a cluster that does not become ready.
 *
 * @module
 */

import type { AgentNode, EntryNode } from "./cluster.ts";

const LINES_SHOWN = 3;

/**
 * Returns which workers each entry knows, whether each process runs, and what
 * it wrote last.
 */
export async function describeCluster(fields: {
  entries: EntryNode[];
  agents: AgentNode[];
  /** Reads the status document of an entry. */
  status: (entry: EntryNode) => Promise<{ workers: { worker: string }[] }>;
}): Promise<string> {
  const { entries, agents, status } = fields;
  const known = await Promise.all(entries.map(async (entry) => {
    const workers = await status(entry).then(
      (document) => document.workers.map((one) => one.worker).join(" "),
      String,
    );
    return `${entry.id} knows: ${workers}`;
  }));
  const processes = [...entries, ...agents].map(({ id, process }) => {
    const ending = JSON.stringify(process.ending ?? "runs");
    return `${id} ${ending}: ${process.lines.slice(-LINES_SHOWN).join(" ")}`;
  });
  return [...known, ...processes].join("\n");
}
