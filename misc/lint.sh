#!/usr/bin/env bash
# Runs clang-tidy over all of our sources, several files at a time.
# Usage: misc/lint.sh [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
jobs=$(nproc)
out="$(mktemp)"
trap 'rm -f "$out"' EXIT
if ! git ls-files '*.cpp' | grep -v '\.pb\.' |
  xargs -P "$jobs" -n 2 clang-tidy --quiet -p "$folder" >"$out" 2>/dev/null; then
  grep -E "error|warning" "$out" | sort -u | head -100 >&2
  exit 1
fi
