#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs all tests under ctest.
# Usage: misc/test.sh [--sanitize address|thread] [--fast]
#   --sanitize  builds into a folder of its own and runs the tests there.
#   --fast      leaves the linter out, for use between two edits.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitize=""
fast=no
while [ $# -gt 0 ]; do
  case "$1" in
  --sanitize) sanitize="$2"; shift 2 ;;
  --fast) fast=yes; shift ;;
  *) echo "expected --sanitize address|thread or --fast, found $1" >&2; exit 2 ;;
  esac
done

misc/install.sh
folder=build
options=()
if [ -n "$sanitize" ]; then
  folder="build-$sanitize"
  options=(-DYARDWHEEL_SANITIZE="$sanitize")
  # Sanitizers look at memory and threads, for which fewer stories will do:
  # they run about ten times slower.
  export YARDWHEEL_SEEDS="${YARDWHEEL_SEEDS:-200}"
  # Also for the daemons that tests start.
  export TSAN_OPTIONS="suppressions=$PWD/misc/tsan.supp"
fi
echo "== build"
misc/build.sh "$folder" "${options[@]}"

if [ -z "$sanitize" ]; then
  echo "== format"
  git ls-files '*.cpp' '*.h' | grep -v '\.pb\.' |
    xargs clang-format --dry-run --Werror
  if [ "$fast" = no ]; then
    echo "== lint"
    misc/lint.sh "$folder"
  fi
fi

echo "== tests"
# A test that is known to fail stands in KNOWN-RED.txt, a line each; the name that
# ctest knows comes first, before a comma.
known=""
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail:"
  cat KNOWN-RED.txt
  known="^($(cut -d, -f1 KNOWN-RED.txt | paste -sd'|'))\$"
fi
if [ -n "$known" ]; then
  ctest --test-dir "$folder" -j "$(nproc)" --output-on-failure -R "$known" || true
  ctest --test-dir "$folder" -j "$(nproc)" --output-on-failure -E "$known"
else
  ctest --test-dir "$folder" -j "$(nproc)" --output-on-failure
fi
