#!/usr/bin/env bash
# Reprints the slopes that docs/CAPACITY.md works with: memory and processor
# time of each part at three sizes on this machine, and the protocols' costs
# in virtual time.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh build
build/bench/yardwheel-slopes
echo
build/bench/yardwheel-protocol-bench
