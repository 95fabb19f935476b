#!/usr/bin/env bash
# Starts the stand-ins and the daemons of three entry VMs on 127.0.0.1 and stays in the foreground until
# Ctrl-C. Settings, keys, logs and process IDs are in run/; run/fleet.env holds the fleet's URLs and keys.
set -euo pipefail
cd "$(dirname "$0")/.."

api_key=sk-development-caller
operator_key=sk-development-operator
zones=(az-a az-b az-c)
# Time in seconds for a graceful stop of the daemons before they are killed.
stop_timeout=20
# Process that the script waits for; "" until the fleet is up.
sleep_pid=

# runs_as PID PATTERN succeeds if the process runs a command that matches the pattern.
runs_as() { [ -d "/proc/$1" ] && tr '\0' ' ' < "/proc/$1/cmdline" | grep -q "$2"; }

if [ -f run/pids/fleet ] && runs_as "$(cat run/pids/fleet)" 'fleet\.sh'; then
  echo "A fleet is already running, with process ID $(cat run/pids/fleet)." >&2
  exit 1
fi
# Processes of an earlier fleet may still run if its script was killed.
for file in run/pids/*; do
  [ -f "$file" ] || continue
  pid=$(cat "$file")
  if runs_as "$pid" '^bin/rosemary-.* --config run/config/'; then
    echo "Killing $(basename "$file") of an earlier fleet." >&2
    kill -KILL "$pid" 2>/dev/null || true
  fi
done
rm -rf run
mkdir -p run/pids run/logs run/config
echo $$ > run/pids/fleet

digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND... runs a command in the background and writes its process ID to run/pids/NAME.
start() {
  local name=$1
  shift
  "$@" 2> "run/logs/$name.log" &
  echo $! > "run/pids/$name"
  # Without disown, the shell would print a message when the demo kills the process.
  disown $!
}

# is_running PID succeeds if the process exists.
is_running() { kill -0 "$1" 2>/dev/null; }

# stop NAME... sends SIGTERM to all named processes and kills those that do not exit within stop_timeout.
stop() {
  local name pid
  for name in "$@"; do
    kill -TERM "$(cat "run/pids/$name")" 2>/dev/null || true
  done
  for name in "$@"; do
    pid=$(cat "run/pids/$name")
    for _ in $(seq $((stop_timeout * 10))); do
      is_running "$pid" || break
      sleep 0.1
    done
    if is_running "$pid"; then
      echo "$name did not stop within $stop_timeout s; killing it." >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
    rm -f "run/pids/$name"
  done
}

# Stops the stand-ins after the daemons, which need the platform for a graceful stop.
stop_all() {
  trap '' INT TERM
  local names
  names=$(cd run/pids && ls | grep -E '^(entry|batch|operator)-' || true)
  # shellcheck disable=SC2086
  stop $names
  [ ! -f run/pids/standin-1 ] || stop standin-1
  [ -z "$sleep_pid" ] || kill "$sleep_pid" 2>/dev/null || true
  rm -f run/pids/fleet run/fleet.env
}
trap stop_all EXIT
trap 'exit 0' INT TERM

write_standin_config() {
  cat > run/config/standin.yaml <<YAML
platform: 127.0.0.1:9000
control: 127.0.0.1:9001
vm_list_lag: 2s
weights: {drafting: 16000000000, summaries: 16000000000}
entry_vms:
  - {name: vm-1, address: "127.0.0.1:8201", availability_zone: az-a}
  - {name: vm-2, address: "127.0.0.1:8202", availability_zone: az-b}
  - {name: vm-3, address: "127.0.0.1:8203", availability_zone: az-c}
engines:
YAML
  local i
  for i in 1 2 3 4 5; do
    cat >> run/config/standin.yaml <<YAML
  - name: engine-$i
    address: 127.0.0.1:910$i
    availability_zone: ${zones[$(((i - 1) % 3))]}
    model: $(model_of "$i")
    speed: {slots: 8}
    load_lag: 500ms
    cache_event_lag: 500ms
    cache_event_gap: 7
    checks_fencing: $(if [ "$i" = 2 ]; then echo false; else echo true; fi)
    crash_prompt: crash-the-engine
YAML
  done
  cat >> run/config/standin.yaml <<YAML
services:
  - {name: echo-1, address: "127.0.0.1:9201", availability_zone: az-a, kind: echo}
  - {name: booking-1, address: "127.0.0.1:9202", availability_zone: az-b, kind: booking}
YAML
}

model_of() { if [ "$1" = 5 ]; then echo summaries; else echo drafting; fi; }

# write_vm_configs I writes the configuration files of the three daemons of VM I.
write_vm_configs() {
  local i=$1 name
  for name in entry batch operator; do
    cat > "run/config/$name-$i.yaml" <<YAML
vm: {name: vm-$i, availability_zone: ${zones[$((i - 1))]}, region: r1}
platform: {url: "http://127.0.0.1:9000", timeout: 2s}
tls: {ca: run/keys/ca.pem, certificate: run/keys/vm-$i.pem, key: run/keys/vm-$i.key}
YAML
  done
  cat >> "run/config/entry-$i.yaml" <<YAML
status: 127.0.0.1:860$i
peers: 127.0.0.1:820$i
callers: 127.0.0.1:810$i
batch_peers: 127.0.0.1:830$i
operator_peers: 127.0.0.1:840$i
YAML
  cat >> "run/config/batch-$i.yaml" <<YAML
status: 127.0.0.1:870$i
peers: 127.0.0.1:830$i
entry: 127.0.0.1:820$i
YAML
  cat >> "run/config/operator-$i.yaml" <<YAML
status: 127.0.0.1:880$i
peers: 127.0.0.1:840$i
operators: 127.0.0.1:850$i
entry: 127.0.0.1:820$i
root_key_sha256: $(digest "$operator_key")
YAML
}

write_settings() {
  cat > run/config/fleet-settings.yaml <<YAML
fleet/models/drafting: {max_tokens: 1024}
fleet/models/summaries: {max_tokens: 1024}
YAML
  local i
  for i in 1 2 3 4 5; do
    cat >> run/config/fleet-settings.yaml <<YAML
fleet/targets/engine-$i:
  address: 127.0.0.1:910$i
  availability_zone: ${zones[$(((i - 1) % 3))]}
  model: $(model_of "$i")
  slots: 8
  checks_fencing: $(if [ "$i" = 2 ]; then echo false; else echo true; fi)
YAML
  done
  cat >> run/config/fleet-settings.yaml <<YAML
fleet/targets/echo-1: {address: "127.0.0.1:9201", availability_zone: az-a, service: echo, slots: 16}
fleet/targets/booking-1: {address: "127.0.0.1:9202", availability_zone: az-b, service: booking, slots: 16}
teams/dispatch/services/echo: {timeout: 10s}
teams/dispatch/services/booking: {timeout: 10s}
teams/dispatch/clients/desk:
  key_sha256: [$(digest "$api_key")]
YAML
}

write_fleet_env() {
  cat > run/fleet.env.new <<ENV
ENTRIES=http://127.0.0.1:8101,http://127.0.0.1:8102,http://127.0.0.1:8103
OPERATOR=http://127.0.0.1:8501
API_KEY=$api_key
OPERATOR_KEY=$operator_key
ENV
  mv run/fleet.env.new run/fleet.env
}

# wait_for URL... waits until all URLs respond with status 200.
wait_for() {
  local status=0
  bin/rosemary-load wait --timeout 60s "$@" || status=1
  check_processes
  return $status
}

# check_processes exits with an error if a process of this fleet has exited, for example because its address is
# in use: the process that responds at that address then belongs to another fleet.
check_processes() {
  local file
  for file in run/pids/*; do
    is_running "$(cat "$file")" && continue
    echo "$(basename "$file") has exited; the end of its log:" >&2
    tail -n 3 "run/logs/$(basename "$file").log" >&2
    exit 1
  done
}

bin/rosemary keys --dir run/keys vm-1 vm-2 vm-3 > /dev/null
write_standin_config
write_settings
start standin-1 bin/rosemary-standin --config run/config/standin.yaml
wait_for http://127.0.0.1:9000/vms
for i in 1 2 3; do
  write_vm_configs "$i"
  start "entry-$i" bin/rosemary-entry --config "run/config/entry-$i.yaml"
  start "batch-$i" bin/rosemary-batch --config "run/config/batch-$i.yaml"
  start "operator-$i" bin/rosemary-operator --config "run/config/operator-$i.yaml"
done
wait_for http://127.0.0.1:880{1,2,3}/readyz
bin/rosemary --operator http://127.0.0.1:8501 --operator-key "$operator_key" settings apply run/config/fleet-settings.yaml > /dev/null
wait_for http://127.0.0.1:8{6,7}0{1,2,3}/readyz
bin/rosemary-load wait --timeout 60s --api-key "$api_key" http://127.0.0.1:810{1,2,3}/v1/models
write_fleet_env
echo "The fleet is up; run/fleet.env holds its URLs and keys. Ctrl-C stops it."
# Waiting for a background process lets a signal run its trap at once.
sleep infinity &
sleep_pid=$!
wait "$sleep_pid"
