#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the daemon, which the build of the deploy file makes. The
# stand-ins are plain modules of review/lib-2 that need no build, so this only checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs [0-9]*/run.mjs; do
  node --check "$module"
done
