#!/bin/bash
# Builds the stand-ins of the third review into target/review-3/. The daemon
# that the scripts start comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target/review-3 -DCMAKE_BUILD_TYPE=Release \
  -DYARDWHEEL_DAEMON_ONLY=ON \
  -DCMAKE_PROJECT_yardwheel_INCLUDE="$PWD/review/third/defer.cmake"
cmake --build target/review-3 --target review_shared_id -j"$(nproc)"
