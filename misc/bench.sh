#!/usr/bin/env bash
# Compares the dispatch policies in virtual time, with a seed; the same
# arguments print the same table. Then times single decisions on this machine.
# "overload" plays the leased path under load, each decision off in turn.
# Usage: misc/bench.sh [--decisions] [ARGUMENTS OF yardwheel-bench...]
#        misc/bench.sh overload [--factor F] [--seeds N] [--agents N] [--entries N]
#                               [--fleet] [--burst F] [--only VARIANT]
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh build
if [ "${1:-}" = overload ]; then
  shift
  exec build/bench/yardwheel-overload "$@"
fi
if [ "${1:-}" = --decisions ]; then
  exec build/bench/yardwheel-decision-benchmark
fi
exec build/bench/yardwheel-bench "$@"
