#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B target >/dev/null
cmake --build target -j 4
