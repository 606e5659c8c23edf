#!/usr/bin/env bash
# The build command of the deploy file, run in a folder that has a build of other
# sources, makes the present ones. A stale daemon there fails like the fault that
# its sources have fixed.
# Usage: build_command_test.sh SOURCE_FOLDER
set -euo pipefail
command="$(sed -n 's/^build = "\(.*\)"$/\1/p' "$1/deploy/system.toml")"
[ -n "$command" ] || { echo "deploy/system.toml has no build command" >&2; exit 1; }
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# Writes a program that ends with a code. Usage: write CODE TIME
write() {
  echo "int main() { return $1; }" >main.cpp
  touch -d "$2" main.cpp
}

# Changes between the two builds, by name.
sources_with_older_times() { write 2 2020-01-01; }
build_folder_from_another_path() {
  cd ..
  mv first second
  cd second
  write 2 2030-01-01
}
objects_of_another_machine() {
  write 2 2020-01-01
  find target -name '*.o' -exec sh -c 'echo foreign >"$1"' sh {} \;
}

failed=0
for change in sources_with_older_times build_folder_from_another_path \
  objects_of_another_machine; do
  mkdir -p "$work/$change/first"
  cd "$work/$change/first"
  cat >CMakeLists.txt <<'END'
cmake_minimum_required(VERSION 3.25)
project(stand_in CXX)
add_executable(program main.cpp)
END
  write 1 2025-01-01
  bash -c "$command" >first.log 2>&1
  "$change"
  bash -c "$command" >second.log 2>&1 || cat second.log >&2
  code=0
  target/program || code=$?
  if [ "$code" -ne 2 ]; then
    echo "$change: expected the program of the present sources, which ends with 2, found $code" >&2
    failed=1
  fi
done
exit "$failed"
