/**
 * Unknown numbers, measured sums of two of them each, and what these tell of
 * each number (Gaussian belief propagation).
 *
 * Load pattern: 13,000 running tasks, whose edges are visited several times a
 * second. All figures are in flat arrays, since objects would cost several
 * times as much.
 *
 * @module
 */

/** A normal distribution as precision and precision-weighted mean. */
export interface Evidence {
  precision: number;
  weighted: number;
}

/** Figures of a node: precision and weighted mean of all that is told of it. */
const NODE_SIZE = 2;
/**
 * Figures of an edge: value and variance of the measured sum, the nodes at both
 * ends, and the message to each of them as precision and weighted mean.
 */
const EDGE_SIZE = 8;
const FIRST_CAPACITY = 256;

/** Nodes and edges, by numbers that are used again after their removal. */
export interface EvidenceGraph {
  /** Adds a number of which only the prior is known. */
  addNode(prior: Evidence): number;
  removeNode(node: number): void;
  /** Adds evidence from elsewhere about a node. */
  add(node: number, precision: number, weighted: number): void;
  precisionOf(node: number): number;
  weightedOf(node: number): number;
  /** Adds a sum of two nodes that has not been measured yet. */
  addEdge(first: number, second: number): number;
  /** Removes the edge; what it told remains. */
  removeEdge(edge: number): void;
  /** Sets the measured sum, and its variance. */
  measure(edge: number, value: number, variance: number): void;
  /** Tells both ends what the other edges make of the sum. */
  exchange(edge: number): void;
  /** What the edge tells its first or its second node. */
  toldBy(edge: number, end: 0 | 1): Evidence;
  /** Takes back what the edge told. */
  retract(edge: number): void;
}

/** Creates a graph without nodes. */
export function createEvidenceGraph(): EvidenceGraph {
  const nodes = createTable(NODE_SIZE);
  const edges = createTable(EDGE_SIZE);

  /** Replaces the message at `at` to the node, and its share in the sums. */
  function replace(
    at: number,
    node: number,
    precision: number,
    weighted: number,
  ): void {
    const sums = nodes.values;
    const messages = edges.values;
    sums[node]! += precision - messages[at]!;
    sums[node + 1]! += weighted - messages[at + 1]!;
    messages[at] = precision;
    messages[at + 1] = weighted;
  }

  /** Tells `to` the difference of the sum and `from`. */
  function tell(
    edge: number,
    ends: { from: number; heard: number; to: number; told: number },
  ): void {
    const { from, heard, to, told } = ends;
    const sums = nodes.values;
    const figures = edges.values;
    const precision = sums[from]! - figures[heard]!;
    const mean = (sums[from + 1]! - figures[heard + 1]!) / precision;
    const weight = 1 / (figures[edge + 1]! + 1 / precision);
    replace(told, to, weight, weight * (figures[edge]! - mean));
  }

  return {
    addNode: ({ precision, weighted }) => {
      const node = nodes.take();
      nodes.values[node] = precision;
      nodes.values[node + 1] = weighted;
      return node;
    },
    removeNode: nodes.release,
    add: (node, precision, weighted) => {
      nodes.values[node]! += precision;
      nodes.values[node + 1]! += weighted;
    },
    precisionOf: (node) => nodes.values[node]!,
    weightedOf: (node) => nodes.values[node + 1]!,
    addEdge: (first, second) => {
      const edge = edges.take();
      edges.values.fill(0, edge, edge + EDGE_SIZE);
      edges.values[edge + 1] = Infinity;
      edges.values[edge + 2] = first;
      edges.values[edge + 3] = second;
      return edge;
    },
    removeEdge: edges.release,
    measure: (edge, value, variance) => {
      edges.values[edge] = value;
      edges.values[edge + 1] = variance;
    },
    exchange: (edge) => {
      const first = edges.values[edge + 2]!;
      const second = edges.values[edge + 3]!;
      const toFirst = edge + 4;
      const toSecond = edge + 6;
      tell(edge, { from: second, heard: toSecond, to: first, told: toFirst });
      tell(edge, { from: first, heard: toFirst, to: second, told: toSecond });
    },
    toldBy: (edge, end) => {
      const at = edge + 4 + 2 * end;
      return {
        precision: edges.values[at]!,
        weighted: edges.values[at + 1]!,
      };
    },
    retract: (edge) => {
      replace(edge + 4, edges.values[edge + 2]!, 0, 0);
      replace(edge + 6, edges.values[edge + 3]!, 0, 0);
    },
  };
}

/** Adds evidence to a sum. */
export function addEvidence(
  sum: Evidence,
  { precision, weighted }: Evidence,
): void {
  sum.precision += precision;
  sum.weighted += weighted;
}

/** Rows of equal size in one array; a row is named by its first position. */
function createTable(size: number) {
  const free: number[] = [];
  let end = 0;
  const table = {
    values: new Float64Array(FIRST_CAPACITY * size),
    take: (): number => {
      const reused = free.pop();
      if (reused !== undefined) return reused;
      const row = end;
      end += size;
      if (end > table.values.length) {
        const grown = new Float64Array(2 * table.values.length);
        grown.set(table.values);
        table.values = grown;
      }
      return row;
    },
    release: (row: number): void => {
      free.push(row);
    },
  };
  return table;
}
