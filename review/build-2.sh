#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the stand-in store, workers and clients are one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin2 ./review/standin2
