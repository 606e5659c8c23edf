#!/usr/bin/env bash
# Measures, outside of CI, on real processes on loopback: a single-task job
# straight to an upstream against the same through yardwheel, resident memory of
# idle roles, and task starts a second of one entry with its processor time.
set -euo pipefail
top="$(cd "$(dirname "$0")/.." && pwd)"
cd "$top"
misc/build.sh build
build="$top/build"
run="$(mktemp -d)"
source misc/lib/cluster.sh
trap 'kill -TERM "${started_pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$run"' EXIT

ctl() {
  "$build/tool/yardwheelctl" --control "$(join_by_comma "${control_http[@]}")" \
    --entry "$(join_by_comma "${entry_http[@]}")" "$@"
}
rss() { awk '/VmRSS/ {printf "%.1f MB", $2 / 1024}' "/proc/$1/status"; }
# Processor time of a process in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

start_cluster 3 1 11 8
wait_ready "http://${entry_http[0]}/readyz" 30
ctl template apply misc/examples/trading-template.yaml >/dev/null
ctl workspace create bids --template trading --set queue_limit=100000 --set capacity=1000 >/dev/null
until ctl job submit bids misc/examples/one-task.json >/dev/null 2>&1; do sleep 0.2; done

echo "== idle memory"
# shellcheck disable=SC2154
echo "control $(rss "$pid_c1"), entry $(rss "$pid_e1"), agent $(rss "$pid_a1")"

echo "== a single-task job of 50 ms, side by side"
upstream=$(grep -o 'http://[^ ]*' "$run/a1.yaml")
load="$build/emulator/yardwheel-load"
for round in 1 2; do
  "$load" --label "direct $round" --urls "$upstream" --body "sleep=50 x" --callers 4 --requests 100
  "$load" --label "through yardwheel $round" --urls "http://${entry_http[0]}/v1/workspaces/bids/jobs" \
    --body '{"tasks":[{"payload":"sleep=50 x"}]}' --callers 4 --requests 100
done

echo "== task starts a second at one entry"
for tasks in 1 10 100; do
  body='{"tasks":['
  for _ in $(seq "$tasks"); do body+='{"payload":"sleep=1 x"},'; done
  body="${body%,}]}"
  before=$(ticks "$pid_e1")
  agent_before=$(ticks "$pid_a1")
  out=$("$load" --label "$tasks tasks a job" --urls "http://${entry_http[0]}/v1/workspaces/bids/jobs" \
    --body "$body" --callers 32 --requests $((6000 / tasks / 32 + 4)))
  after=$(ticks "$pid_e1")
  agent_after=$(ticks "$pid_a1")
  echo "$out" | awk -v t="$tasks" -v c=$((after - before)) -v a=$((agent_after - agent_before)) '{
    jobs = $(0 ~ /ok/ ? 0 : 0); match($0, /ok [0-9]+/); jobs = substr($0, RSTART + 3, RLENGTH - 3);
    match($0, /in [0-9.]+/); s = substr($0, RSTART + 3, RLENGTH - 3);
    print; printf "  %.0f starts/s, entry %.0f us of processor a task, one of 11 agents %.0f us a task of its own\n", jobs * t / s, c * 10000 / (jobs * t), a * 10000 * 11 / (jobs * t) }'
done
