#!/usr/bin/env bash
# Runs the driver of a case. Usage: run_case.sh NUMBER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
driver="review/target/case_$1"
if [ ! -x "$driver" ] || [ ! -x target/main/yardwheeld ]; then
  echo "expected $driver and target/main/yardwheeld to be built" >&2
  exit 2
fi
timeout --kill-after=3 110 "$driver" "review/$1/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
