#!/usr/bin/env bash
# Starts a local fleet, runs the demo on it, prints explanations and stops the fleet. Exits with status 0 only
# if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/fleet.sh &
fleet=$!
stop_fleet() {
  kill -TERM "$fleet" 2>/dev/null || true
  wait "$fleet" 2>/dev/null || true
}
trap stop_fleet EXIT

# Files of an earlier fleet may be left in run/ until the new fleet removes them.
is_up() { [ "$(cat run/pids/fleet 2>/dev/null)" = "$fleet" ] && [ -f run/fleet.env ]; }
until is_up; do
  if ! kill -0 "$fleet" 2>/dev/null; then
    echo "The fleet did not start; its logs are in run/logs." >&2
    exit 1
  fi
  sleep 0.1
done
set -a
# shellcheck disable=SC1091
. run/fleet.env
set +a

bin/rosemary-load demo --pids run/pids --subjects run/demo.env
# shellcheck disable=SC1091
. run/demo.env
echo
echo "== rosemary explain"
bin/rosemary explain request "$DEMO_REQUEST"
bin/rosemary explain item "$DEMO_JOB" "$DEMO_ITEM"
bin/rosemary explain job "$DEMO_JOB"
echo
echo "All steps succeeded."
