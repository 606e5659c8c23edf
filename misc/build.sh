#!/usr/bin/env bash
# Configures and builds. Usage: misc/build.sh [FOLDER] [CMAKE OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
[ $# -gt 0 ] && shift
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
# The build's own lines are of use only when it fails.
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
if ! cmake --build "$folder" >"$log" 2>&1; then
  grep -E "error|FAILED" "$log" | head -50 >&2
  exit 1
fi
