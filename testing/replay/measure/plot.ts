/**
 * Plots figures of all schedulers and traces as SVG.
 *
 * @module
 */

import type { Row } from "./compare.ts";

const COLORS = [
  "#1b6ca8",
  "#999999",
  "#c58b2a",
  "#7a9e3f",
  "#a8504b",
  "#7d5ba6",
];
// All lengths are in pixels.
const ROW_HEIGHT = 14;
const LEFT_MARGIN = 150;
const PANEL_WIDTH = 420;
const GAP = 60;
const LEGEND_WIDTH = 110;
/** Room for the value behind the longest bar. */
const VALUE_WIDTH = 50;

/** One panel of bars on a logarithmic scale. */
interface Panel {
  title: string;
  value: (row: Row) => number;
}

const PANELS: readonly Panel[] = [
  {
    title: "urgent p99 wait at the peak, ms (log)",
    value: (row) => row.figures.peakWait.p99,
  },
  {
    title: "mean completion of deferrable requests, ms (log)",
    value: (row) => row.figures.deferrable.mean,
  },
];

/** Draws one bar for each scheduler and trace in each panel. */
export function plot(rows: Row[]): string {
  const schedulers = [...new Set(rows.map((row) => row.scheduler))];
  const height = rows.length * ROW_HEIGHT + GAP * 2;
  const width = LEFT_MARGIN + PANELS.length * (PANEL_WIDTH + GAP);
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
    `height="${height}" font-family="sans-serif" font-size="10">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    ...schedulers.map((name, index) => {
      const x = LEFT_MARGIN + index * LEGEND_WIDTH;
      const fill = COLORS[index % COLORS.length];
      return `<rect x="${x}" y="8" width="10" height="10" fill="${fill}"/>` +
        text(x + 14, 17, name);
    }),
  ];
  PANELS.forEach((panel, index) => {
    const x = LEFT_MARGIN + index * (PANEL_WIDTH + GAP);
    parts.push(text(x, 40, panel.title));
    parts.push(...bars(panel, rows, schedulers, x));
  });
  return [...parts, "</svg>", ""].join("\n");
}

function bars(panel: Panel, rows: Row[], schedulers: string[], x: number) {
  const logs = rows.map((row) => Math.log10(Math.max(1, panel.value(row))));
  const largest = Math.max(1, ...logs);
  return rows.map((row, index) => {
    const y = GAP + index * ROW_HEIGHT;
    const length = (logs[index]! / largest) * (PANEL_WIDTH - VALUE_WIDTH);
    const fill = COLORS[schedulers.indexOf(row.scheduler) % COLORS.length];
    const first = rows[index - 1]?.trace !== row.trace;
    const label = first && x === LEFT_MARGIN ? text(4, y + 10, row.trace) : "";
    return label +
      `<rect x="${x}" y="${y}" width="${length.toFixed(1)}" ` +
      `height="${ROW_HEIGHT - 3}" fill="${fill}"/>` +
      text(x + length + 4, y + 10, panel.value(row).toFixed(0));
  });
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x.toFixed(1)}" y="${y}">${content}</text>`;
}
