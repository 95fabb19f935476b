#!/usr/bin/env bash
# Runs every test with the race detector, except the known failures listed in KNOWN-RED.txt.
# A line of KNOWN-RED.txt starts with the name of the test, up to the first blank.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures, not run:"
  cat KNOWN-RED.txt
  names=$(awk 'NF && $1 !~ /^#/ {print "^" $1 "$"}' KNOWN-RED.txt | paste -sd'|')
  [ -z "$names" ] || skip=(-skip "$names")
fi
"$go" test -race -count=1 -timeout 5m "${skip[@]}" ./...
