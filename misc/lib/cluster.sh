# Functions that write settings for a small cluster on loopback and start and
# stop its processes. Sourced by the scripts beside it; stops only what it
# started. The caller sets: build (folder of programs) and run (a fresh folder).

started_pids=()
control_http=()
entry_http=()

# Prints a first port of a free range of the given length.
free_range() {
  local length=$1 base port good
  for _ in $(seq 1 50); do
    base=$((20000 + RANDOM % 11000))
    good=yes
    for port in $(seq "$base" $((base + length - 1))); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
        good=no
        break
      fi
    done
    [ "$good" = yes ] && echo "$base" && return 0
  done
  echo "no free ports found" >&2
  return 1
}

# Starts a program in the background with its log in the run folder.
# Usage: launch NAME COMMAND...
launch() {
  local name=$1
  shift
  "$@" >>"$run/$name.log" 2>&1 &
  started_pids+=("$!")
  eval "pid_${name//-/_}=$!"
}

common_settings() { # NODE ROLE PORT DATA_CENTRE RACK
  cat <<S
cluster: demo
node: $1
role: $2
listen: 127.0.0.1:$3
data_centre: $4
rack: $5
heartbeat: 500
clock_allowance: 250
controls:
$controls_yaml
S
}

# Writes settings and starts everything.
# Usage: start_cluster CONTROLS ENTRIES AGENTS SLOTS
start_cluster() {
  local controls=$1 entries=$2 agents=$3 slots=$4 i zone
  local zones=(zagreb-1 zagreb-2 zagreb-3)
  local base
  base=$(free_range $((controls * 2 + entries * 2 + agents * 2)))
  controls_yaml=""
  for i in $(seq 1 "$controls"); do
    controls_yaml+="  - {name: c$i, address: 127.0.0.1:$((base)), http_address: 127.0.0.1:$((base + 1))}"$'\n'
    control_http+=("127.0.0.1:$((base + 1))")
    eval "control_port_$i=$base"
    base=$((base + 2))
  done
  for i in $(seq 1 "$controls"); do
    eval "port=\$control_port_$i"
    {
      common_settings "c$i" control "$port" "${zones[$(((i - 1) % 3))]}" "control-$i"
      printf 'control:\n  data_dir: %s/c%s\n  http_listen: 127.0.0.1:%s\n  lease: 2000\n' \
        "$run" "$i" "$((port + 1))"
    } >"$run/c$i.yaml"
    "$build/main/yardwheeld" --settings "$run/c$i.yaml" --init
    launch "c$i" "$build/main/yardwheeld" --settings "$run/c$i.yaml"
  done
  for i in $(seq 1 "$agents"); do
    zone=${zones[$(((i - 1) % 3))]}
    {
      common_settings "a$i" agent "$base" "$zone" "rack-$(((i - 1) / 3))"
      printf 'agent:\n  minion_url: http://127.0.0.1:%s/run\n  pool: bids\n  slots: %s\n' \
        "$((base + 1))" "$slots"
    } >"$run/a$i.yaml"
    launch "m$i" "$build/emulator/yardwheel-fake-upstream" --name "m$i" \
      --listen "127.0.0.1:$((base + 1))" --start_log "$run/starts.log" \
      --shortest_ms 20 --longest_ms 80 --seed "$i"
    launch "a$i" "$build/main/yardwheeld" --settings "$run/a$i.yaml"
    base=$((base + 2))
  done
  for i in $(seq 1 "$entries"); do
    {
      common_settings "e$i" entry "$base" "${zones[$(((i - 1) % 3))]}" "entry-$i"
      printf 'entry:\n  http_listen: 127.0.0.1:%s\n' "$((base + 1))"
    } >"$run/e$i.yaml"
    launch "e$i" "$build/main/yardwheeld" --settings "$run/e$i.yaml"
    entry_http+=("127.0.0.1:$((base + 1))")
    base=$((base + 2))
  done
}

# Waits until a URL answers 200. Usage: wait_ready URL SECONDS
wait_ready() {
  local url=$1 deadline=$((SECONDS + $2))
  until curl -sf -o /dev/null --max-time 2 "$url"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "$url did not become ready" >&2
      return 1
    fi
    sleep 0.2
  done
}

join_by_comma() { local IFS=,; echo "$*"; }

# Asks every started process to stop and checks that each ended well.
stop_cluster() {
  local pid status=0 code
  # Entries first, so that requests in flight still find their upstreams.
  for ((i = ${#started_pids[@]} - 1; i >= 0; i--)); do
    pid=${started_pids[$i]}
    kill -TERM "$pid" 2>/dev/null || true
    code=0
    wait "$pid" || code=$?
    if [ "$code" -ne 0 ]; then
      echo "process $pid ended with $code" >&2
      status=1
    fi
  done
  started_pids=()
  return $status
}
