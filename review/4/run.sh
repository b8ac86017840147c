#!/bin/bash
# Run in a checkout after the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec node review/4/case.mjs
