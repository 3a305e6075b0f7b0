/**
 * Reads pages of the documentation for tests.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** A fenced block with the first line of text after it. */
export interface FencedBlock {
  language: string;
  text: string;
  nextLine: string;
}

/** Returns a page of `docs` as text. */
export function readPage(name: string): string {
  const path = `../../../docs/${name}`;
  return readFileSync(new URL(path, import.meta.url), "utf8");
}

/** Returns the fenced blocks of a page in order. */
export function listBlocks(page: string): FencedBlock[] {
  const pattern = /^```(\w*)\n([\s\S]*?)^```\n\s*(.*)$/gm;
  return [...page.matchAll(pattern)].map(([, language, text, nextLine]) => ({
    language: language!,
    text: text!,
    nextLine: nextLine!,
  }));
}

/** Splits a command line like a POSIX shell, without any expansion. */
export function splitCommandLine(line: string): string[] {
  const pattern = /\\\n|\s+|'[^']*'|"[^"$`\\]*"|[^\s'"\\]+/gy;
  const words: string[] = [];
  let open = false;
  let end = 0;
  for (const { 0: part, index } of line.matchAll(pattern)) {
    end = index + part.length;
    if (/^(\\\n|\s+)$/.test(part)) {
      open = false;
      continue;
    }
    const text = /^['"]/.test(part) ? part.slice(1, -1) : part;
    if (open) words[words.length - 1] += text;
    else words.push(text);
    open = true;
  }
  if (end === line.length) return words;
  throw new Error(`cannot split: ${line.slice(end)}`);
}
