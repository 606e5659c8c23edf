#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B build/review-2 >/dev/null
cmake --build build/review-2 -j "$(nproc)"
