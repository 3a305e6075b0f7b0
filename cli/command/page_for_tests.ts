/**
 * Reads pages of the documentation, for tests that check them.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Fenced code block of a page. */
export interface FencedBlock {
  language: string;
  text: string;
  /** First line after the block that is not empty. */
  nextLine: string;
}

/** Returns the text of a page of the folder `docs`. */
export function readPage(name: string): string {
  const path = `../../../docs/${name}`;
  return readFileSync(new URL(path, import.meta.url), "utf8");
}

/** Returns the fenced code blocks of a page in order. */
export function listBlocks(page: string): FencedBlock[] {
  const pattern = /^```(\w*)\n([\s\S]*?)^```\n\s*(.*)$/gm;
  return [...page.matchAll(pattern)].map(([, language, text, nextLine]) => ({
    language: language!,
    text: text!,
    nextLine: nextLine!,
  }));
}

/**
 * Splits a command line into words like a POSIX shell, without any expansion.
 * Throws for text that would need one.
 */
export function splitCommandLine(line: string): string[] {
  const pattern = /\\\n|\s+|'[^']*'|"[^"$`\\]*"|[^\s'"\\]+/gy;
  const words: string[] = [];
  let inWord = false;
  let end = 0;
  for (const { 0: part, index } of line.matchAll(pattern)) {
    end = index + part.length;
    if (/^(\\\n|\s+)$/.test(part)) {
      inWord = false;
      continue;
    }
    const text = /^['"]/.test(part) ? part.slice(1, -1) : part;
    if (inWord) words[words.length - 1] += text;
    else words.push(text);
    inWord = true;
  }
  if (end === line.length) return words;
  throw new Error(`cannot split the command line at: ${line.slice(end)}`);
}
