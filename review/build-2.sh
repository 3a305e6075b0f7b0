#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start besides the programs.
# Their stand-ins are plain modules of Node, which need no build; this checks
# that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  node --check "$file"
done
