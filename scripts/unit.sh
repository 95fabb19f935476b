#!/usr/bin/env bash
# Runs every test with the race detector, except the known failures listed in KNOWN-RED.txt. The tests that bound the memory of whole
# processes run at the end, apart from the others.
# A line of KNOWN-RED.txt starts with the name of the test, up to the first blank.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
known=
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures, not run:"
  cat KNOWN-RED.txt
  known=$(awk 'NF && $1 !~ /^#/ {print "^" $1 "$"}' KNOWN-RED.txt | paste -sd'|')
fi
packages="./cmd/rosemary-ingress ./internal/fleettest"
alone=$(sed -n 's/^func \(Test[A-Za-z0-9]*\)(.*/^\1$/p' cmd/rosemary-ingress/unruly_*_test.go internal/fleettest/unruly_*_test.go | paste -sd'|')
"$go" test -race -count=1 -timeout 5m -skip "$known${known:+|}$alone" ./...
"$go" test -race -count=1 -timeout 10m -p 1 -run "$alone" ${known:+-skip "$known"} $packages
