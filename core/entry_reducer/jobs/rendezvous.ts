/**
 * Rendezvous hashing.
 *
 * @module
 */

/** FNV-1a with a final mix, since close names must not have close hashes. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/** The node to which all nodes assign the key, if they know the same nodes. */
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
