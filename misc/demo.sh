#!/usr/bin/env bash
# Builds yardwheel and shows it at work: the trading unit in small, with three
# control replicas, two entries and eleven agents beside fake upstreams.
# Usage: misc/demo.sh [--stay]
set -euo pipefail
top="$(cd "$(dirname "$0")/.." && pwd)"
cd "$top"
stay=no
[ "${1:-}" = --stay ] && stay=yes

misc/install.sh
misc/build.sh build
build="$top/build"
run="$(mktemp -d)"
source misc/lib/cluster.sh

cleanup() {
  code=$?
  if [ "${#started_pids[@]}" -gt 0 ]; then
    kill -TERM "${started_pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
  fi
  if [ "$code" -ne 0 ]; then
    echo "the demo failed; last lines of the logs:" >&2
    tail -n 3 "$run"/*.log >&2 || true
  fi
  rm -rf "$run"
  exit "$code"
}
trap cleanup EXIT

echo "== starting 3 control replicas, 2 entries, 11 agents"
start_cluster 3 2 11 8
for address in "${control_http[@]}" "${entry_http[@]}"; do
  wait_ready "http://$address/readyz" 30
done
ctl() {
  "$build/tool/yardwheelctl" --control "$(join_by_comma "${control_http[@]}")" \
    --entry "$(join_by_comma "${entry_http[@]}")" "$@"
}

echo "== a workspace from a template"
ctl template apply misc/examples/trading-template.yaml
ctl workspace create bids --template trading --set weight=200
ctl workspace show bids

echo "== waiting for the ledger's holders and the upstreams"
for _ in $(seq 1 100); do
  code=0
  ctl job submit bids misc/examples/one-task.json >/dev/null 2>&1 || code=$?
  [ "$code" -eq 0 ] && break
  sleep 0.2
done
ctl status
ctl minions

echo "== jobs from misc/examples/jobs"
for job in misc/examples/jobs/*.json; do
  echo "-- $job"
  ctl job submit bids "$job"
done

echo "== the workspace's histogram at the first entry"
curl -sf "http://${entry_http[0]}/metrics" | grep '^yardwheel_response_ms' || true
ctl policy compare bids

if [ "$stay" = yes ]; then
  cat <<T

Everything is left running; Ctrl-C stops it. Try, in another shell:
  ctl="$build/tool/yardwheelctl --control $(join_by_comma "${control_http[@]}") --entry $(join_by_comma "${entry_http[@]}")"
  \$ctl workspace set bids --set policy=two_choices
  \$ctl policy start bids slot_borrow=50 two_choices=50
  \$ctl job submit bids $top/misc/examples/one-task.json
  curl -s http://${entry_http[0]}/metrics
T
  # Ends with the first process that ends, or when interrupted.
  trap 'exit 0' INT TERM
  wait -n || true
fi

echo "== stopping everything gracefully"
stop_cluster
echo "demo: done"
