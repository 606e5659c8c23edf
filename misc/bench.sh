#!/usr/bin/env bash
# Compares the dispatch policies in virtual time, with a seed; the same
# arguments print the same table. Then times single decisions on this machine.
# Usage: misc/bench.sh [--decisions] [ARGUMENTS OF yardwheel-bench...]
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh build
if [ "${1:-}" = --decisions ]; then
  exec build/bench/yardwheel-decision-benchmark
fi
exec build/bench/yardwheel-bench "$@"
