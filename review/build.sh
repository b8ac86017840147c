#!/bin/bash
# The stand-ins in review/lib are plain modules, which need no build: checks that each can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs */case.mjs; do
  node --check "$file" || exit 1
done
