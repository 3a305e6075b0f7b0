/**
 * Rendezvous hashing: choice of a node for a key without coordination.
 *
 * @module
 */

/**
 * FNV-1a with a final mix of the bits, because similar names must not get
 * similar hashes.
 */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Returns the node that is responsible for the key, or undefined if there are
 * no nodes. Callers that know the same nodes get the same result, and a change
 * of the nodes moves only the keys of nodes that were added or removed.
 */
export function rendezvous(fields: {
  key: string;
  nodes: Iterable<string>;
}): string | undefined {
  let best: { node: string; score: number } | undefined;
  for (const node of fields.nodes) {
    const score = hash(`${node}\n${fields.key}`);
    const better = best === undefined || score > best.score ||
      (score === best.score && node < best.node);
    if (better) best = { node, score };
  }
  return best?.node;
}
